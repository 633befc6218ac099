package leadferry.release;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the driver of one release does next, by what the ledger says now; it remembers only what it
 * has begun itself. Without I/O; whoever runs it carries out what {@link #next} returns and tells
 * what came of commands.
 *
 * <pre>
 *   target IN       --Submit intended-->              (granted by budgets, or asked again)
 *   target LEAVING  --out everywhere: Submit acting-->(halted meanwhile: Submit observed, untouched)
 *   target ACTING   --begun by this driver: Run; ended, or begun by another: Look--> Submit observed
 *   step baked      --Submit verdict-->
 * </pre>
 *
 * <p>A command is run only while the log says ACTING under this driver's own fence with nothing
 * found since, and once for each such entry: nobody else can have written it. So two drivers never
 * both believe that they may run it; one whose lease is over and who does not know it yet is turned
 * away by whoever carries the action out, by the number that goes with it.
 */
public final class ReleaseController {
  /** What is to be done. */
  public sealed interface Next permits Submit, Run, Look {}

  /** An entry for the log. */
  public record Submit(String op, Map<String, Object> with) implements Next {}

  /** The command that changes a target; {@code version} is what it is to be. */
  public record Run(String target, long action, int tries, long fence, String version)
      implements Next {}

  /** A look at what a target is; {@code tries} tells looks of one action apart. */
  public record Look(String target, long action, int tries, long fence) implements Next {}

  /** What became of a command: whether it ended as it should, and what it said. */
  public record Ended(boolean well, String text) {}

  /** What a look saw: a version, or "". */
  public record Seen(String version) {}

  private record Try(long action, int tries) {}

  private final String driver;
  private final long leaseMs;
  private final Map<Try, Ended> runs = new HashMap<>();
  private final Map<Try, Seen> looks = new HashMap<>();
  private final Map<Try, Long> lookedAt = new HashMap<>();
  private static final Ended UNDER_WAY = new Ended(false, "under way");
  private static final Seen LOOKING = new Seen("looking");

  /**
   * A look that saw nothing is repeated after so long (ns) while the target may still be starting.
   */
  private static final long LOOK_AGAIN_NANOS = 300_000_000L;

  private long baking;
  private long bakedAt = Long.MIN_VALUE;
  private Map<String, Map<String, OutcomeCount>> baseline = Map.of();

  /**
   * A driver of that name, its own among all processes that ever drive, with a lease of that
   * length.
   */
  public ReleaseController(String driver, long leaseMs) {
    this.driver = driver;
    this.leaseMs = leaseMs;
  }

  /** The command of a {@link Run} has ended. */
  public void ended(Run run, Ended how) {
    runs.put(new Try(run.action(), run.tries()), how);
  }

  /** A {@link Look} has seen something; null where it could not look. */
  public void seen(Look look, Seen what) {
    if (what == null) {
      looks.remove(new Try(look.action(), look.tries()));
    } else {
      looks.put(new Try(look.action(), look.tries()), what);
    }
  }

  /** Whether the release is under this driver's hand. */
  public boolean drives(JsonNode release) {
    return release.path("driver").asText().equals(driver);
  }

  /** Whether there is nothing left for any driver to do. */
  public static boolean over(JsonNode release) {
    return List.of("done", "returned", "ended").contains(release.path("state").asText());
  }

  /**
   * What to do now.
   *
   * @param release the release as the ledger tells of it
   * @param reports what members tell, or null where they were not asked for
   * @param leaseHolds whether this driver's lease holds at this moment; commands begin only then
   * @param now ns of a monotonic clock
   */
  public List<Next> next(JsonNode release, JsonNode reports, boolean leaseHolds, long now) {
    if (over(release)) {
      return List.of();
    }
    if (!drives(release)) {
      return release.path("driver").asText().isEmpty()
          ? List.of(new Submit("release_drive", Map.of("driver", driver, "lease_ms", leaseMs)))
          : List.of();
    }
    List<Next> out = new ArrayList<>();
    long fence = release.path("fence").asLong();
    boolean running = release.path("state").asText().equals("running");
    for (JsonNode t : release.path("targets")) {
      switch (t.path("phase").asText()) {
        case "leaving" -> leaving(release, t, running, fence, out);
        case "acting" -> acting(release, t, running, fence, leaseHolds, now, out);
        case "coming" -> {
          // On the way back, what did not come up is not waited for.
          boolean back = running && release.path("direction").asText().equals("back");
          if (back && !t.path("at").asText().equals(t.path("wanted").asText()) && missing(t)) {
            out.add(submit("release_intend", t, fence, Map.of()));
          }
        }
        default -> {}
      }
    }
    if (running) {
      JsonNode candidate = candidate(release);
      if (candidate != null) {
        out.add(submit("release_intend", candidate, fence, Map.of()));
      }
      judge(release, reports, fence, now, out);
    }
    return out;
  }

  /** Whether a target is not there: lost, ended, or up and not serving. */
  private static boolean missing(JsonNode t) {
    String out = t.path("out").asText("");
    return t.path("lost").asBoolean() || out.startsWith("l") || out.equals("does not serve");
  }

  private static Submit submit(String op, JsonNode target, long fence, Map<String, Object> more) {
    Map<String, Object> with = new TreeMap<>(more);
    with.put("fence", fence);
    if (target != null) {
      with.put("target", target.path("name").asText());
      if (!op.equals("release_intend")) {
        with.put("action", target.path("action").asLong());
      }
    }
    return new Submit(op, with);
  }

  /** The version that a word of the ledger stands for. */
  private static String version(JsonNode release, String at) {
    return at.equals("new")
        ? release.path("version").asText()
        : at.equals("old") ? release.path("from").asText() : "";
  }

  private static void leaving(
      JsonNode release, JsonNode t, boolean running, long fence, List<Next> out) {
    boolean change = !t.path("at").asText().equals(t.path("wanted").asText());
    if (!running && t.path("held").asBoolean()) {
      return;
    }
    if (!running || !change) {
      out.add(
          submit(
              "release_observed",
              t,
              fence,
              Map.of("found", version(release, t.path("at").asText()), "text", "not touched")));
    } else if (t.path("carried_out").asBoolean()) {
      out.add(submit("release_acting", t, fence, Map.of()));
    }
  }

  private void acting(
      JsonNode release,
      JsonNode t,
      boolean running,
      long fence,
      boolean leaseHolds,
      long now,
      List<Next> out) {
    String name = t.path("name").asText();
    Try at = new Try(t.path("action").asLong(), t.path("tries").asInt());
    boolean mine = t.path("fence").asLong() == fence;
    String found = t.path("found").asText();
    Ended run = runs.get(at);
    if (mine && found.isEmpty() && run == null) {
      if (leaseHolds) {
        runs.put(at, UNDER_WAY);
        out.add(
            new Run(
                name, at.action(), at.tries(), fence, version(release, t.path("wanted").asText())));
      }
      return;
    }
    if (run == UNDER_WAY) {
      return;
    }
    // What was found halts the release unless it is as before; that it runs again is an operator's
    // word to try anew.
    boolean again =
        !found.isEmpty()
            && running
            && !t.path("at").asText().equals(t.path("wanted").asText())
            && List.of("", found).contains(t.path("told").asText());
    if (again && mine) {
      out.add(
          submit(
              "release_acting",
              t,
              fence,
              Map.of())); // seen to be as before: the action did not take place, or in vain
      return;
    }
    if (mine && !found.isEmpty() && !running && !t.path("at").asText().equals("unknown")) {
      // Halted with it: what is known to be one or the other serves again.
      out.add(submit("release_observed", t, fence, Map.of("found", found, "text", "halted")));
      return;
    }
    if (mine && !found.isEmpty() && (!running || t.path("at").asText().equals("unknown"))) {
      look(release, t, at, fence, found, leaseHolds, now, out); // it may still come
      return;
    }
    look(release, t, at, fence, null, leaseHolds, now, out);
  }

  /** Looks at a target and tells what was seen, unless that is {@code known} already. */
  private void look(
      JsonNode release,
      JsonNode t,
      Try at,
      long fence,
      String known,
      boolean leaseHolds,
      long now,
      List<Next> out) {
    Ended run = runs.get(at);
    String text = run == null ? "begun by a driver that was lost" : run.well() ? "" : run.text();
    boolean told = !release.path("carry").path("check").isArray();
    Seen seen = looks.get(at);
    String version = t.path("told").asText();
    if (!version.isEmpty()) {
      seen = new Seen(version); // its own word since the action began is newer than any look
    } else if (told) {
      // A proxy tells of itself once it is back; what tells nothing is waited for, up to the
      // action's time.
      seen = run != null && !run.well() ? new Seen("") : null;
      if (seen == null) {
        // Begun by a driver that was lost, and nothing is to be seen for a lease: begun anew, under
        // a higher fence.
        boolean lost =
            t.path("fence").asLong() != fence && release.path("state").asText().equals("running");
        if (lost && now - lookedAt.computeIfAbsent(at, k -> now) >= leaseMs * 1_000_000L) {
          out.add(submit("release_acting", t, fence, Map.of()));
        }
        return;
      }
    } else if (seen == null
        || (seen != LOOKING
            && known != null
            && now - lookedAt.getOrDefault(at, now) >= LOOK_AGAIN_NANOS)) {
      if (leaseHolds) {
        looks.put(at, LOOKING);
        lookedAt.put(at, now);
        out.add(new Look(t.path("name").asText(), at.action(), at.tries(), fence));
      }
      return;
    } else if (seen == LOOKING) {
      return;
    }
    String word = seen.version().isEmpty() ? "nothing that tells its version" : seen.version();
    if (!word.equals(known)) {
      out.add(submit("release_observed", t, fence, Map.of("found", seen.version(), "text", text)));
    }
  }

  /**
   * Who is next: forward in the plan's order, back with the one that came last; null where as many
   * as may are under way.
   */
  private static JsonNode candidate(JsonNode release) {
    int open = 0;
    List<JsonNode> next = new ArrayList<>();
    boolean forward = release.path("direction").asText().equals("forward");
    for (JsonNode t : release.path("targets")) {
      boolean in = t.path("phase").asText().equals("in");
      open += in ? 0 : 1;
      boolean may = t.path("out").isNull() || (!forward && missing(t));
      if (in
          && !t.path("gone").asBoolean()
          && may
          && !t.path("at").asText().equals(t.path("wanted").asText())) {
        next.add(t);
      }
    }
    if (!forward) {
      next.sort(Comparator.comparingLong((JsonNode t) -> t.path("order").asLong()).reversed());
    }
    return next.isEmpty()
            || open
                >= release
                    .path("steps")
                    .path(next.get(0).path("step").asInt())
                    .path("at_once")
                    .asInt()
        ? null
        : next.get(0);
  }

  // --- judging a step

  private void judge(JsonNode release, JsonNode reports, long fence, long now, List<Next> out) {
    long since = release.path("baking").asLong();
    if (since == 0 || !release.path("direction").asText().equals("forward")) {
      baking = 0;
      return;
    }
    if (reports == null) {
      return;
    }
    Map<String, Map<String, OutcomeCount>> counts = counts(release, reports);
    if (baking != since) {
      baking = since;
      baseline = counts;
      bakedAt = Long.MIN_VALUE;
      return;
    }
    CanaryAnalysis.Bounds bounds = CanaryBoundsCodec.read(release.path("guard"), new ArrayList<>());
    Map<String, OutcomeCount> fresh = new TreeMap<>();
    Map<String, OutcomeCount> old = new TreeMap<>();
    difference(counts, "new ", fresh);
    difference(counts, "old ", old);
    if (old.isEmpty()) {
      // Nothing old is left there: this step's are held against those that were judged before.
      fresh.clear();
      difference(counts, "new now ", fresh);
      difference(counts, "new before ", old);
    }
    List<String> missing = new ArrayList<>();
    reports.path("missing").forEach(m -> missing.add(m.asText()));
    reports
        .path("reports")
        .properties()
        .forEach(
            r -> {
              if (r.getValue().path("age_ms").asLong() > leaseMs) {
                missing.add(r.getKey());
              }
            });
    CanaryAnalysis.Verdict v = new CanaryAnalysis(bounds).judge(fresh, old, missing);
    boolean baked = release.path("baked").asBoolean();
    if (baked && bakedAt == Long.MIN_VALUE) {
      bakedAt = now;
    }
    boolean waitedInVain =
        baked
            && v.decision() == CanaryAnalysis.Decision.WAIT
            && now - bakedAt > bounds.waitMillis() * 1_000_000L;
    if (v.decision() == CanaryAnalysis.Decision.HALT
        || waitedInVain
        || (baked && v.decision() == CanaryAnalysis.Decision.PROCEED)) {
      boolean go = v.decision() == CanaryAnalysis.Decision.PROCEED;
      out.add(
          submit(
              "release_verdict",
              null,
              fence,
              Map.of(
                  "step",
                  release.path("goal").asInt() - 1,
                  "go",
                  go,
                  "text",
                  waitedInVain ? "waited in vain: " + v.evidence() : v.evidence())));
    }
  }

  /** What was counted since the baseline by all whose key begins so. */
  private void difference(
      Map<String, Map<String, OutcomeCount>> counts, String of, Map<String, OutcomeCount> to) {
    counts.forEach(
        (key, byClass) -> {
          if (key.startsWith(of)) {
            Map<String, OutcomeCount> before =
                baseline.getOrDefault(key, baseline.isEmpty() ? Map.of() : byClass);
            byClass.forEach(
                (c, n) ->
                    to.merge(
                        c, n.since(before.getOrDefault(c, OutcomeCount.NONE)), OutcomeCount::plus));
          }
        });
  }

  /**
   * What members have counted since they began: by "new now", "new before" or "old", the member's
   * session and, of hosts, the host; by class. What is out, cold or settling is in neither; the old
   * only count in zones in which there is something new, like held against like.
   */
  private static Map<String, Map<String, OutcomeCount>> counts(JsonNode release, JsonNode reports) {
    Map<String, JsonNode> targets = new HashMap<>();
    Map<String, Boolean> zones = new HashMap<>();
    for (JsonNode t : release.path("targets")) {
      targets.put(t.path("name").asText(), t);
      if (t.path("at").asText().equals("new") && settled(t)) {
        zones.put(t.path("zone").asText(), true);
      }
    }
    Map<String, Map<String, OutcomeCount>> out = new TreeMap<>();
    int step = release.path("goal").asInt() - 1;
    boolean hosts = release.path("of").asText().equals("host");
    for (Map.Entry<String, JsonNode> r : reports.path("reports").properties()) {
      JsonNode told = r.getValue().path("told");
      String of = r.getKey() + " " + r.getValue().path("session").asText();
      if (hosts) {
        told.path("hosts")
            .properties()
            .forEach(
                h ->
                    put(
                        out,
                        targets.get(h.getKey()),
                        zones,
                        step,
                        of + " " + h.getKey(),
                        h.getValue()));
      } else {
        put(out, targets.get(r.getKey()), zones, step, of, told.path("own"));
      }
    }
    return out;
  }

  private static boolean settled(JsonNode t) {
    return t.path("phase").asText().equals("in") && t.path("out").isNull();
  }

  private static void put(
      Map<String, Map<String, OutcomeCount>> out,
      JsonNode target,
      Map<String, Boolean> zones,
      int step,
      String of,
      JsonNode byClass) {
    if (target == null
        || !settled(target)
        || target.path("at").asText().equals("unknown")
        || !zones.containsKey(target.path("zone").asText())) {
      return;
    }
    String at = target.path("at").asText();
    String key =
        at.equals("new")
            ? at + (target.path("step").asInt() == step ? " now " : " before ") + of
            : at + " " + of;
    Map<String, OutcomeCount> counts = out.computeIfAbsent(key, k -> new TreeMap<>());
    byClass
        .properties()
        .forEach(
            c ->
                counts.put(
                    c.getKey(),
                    new OutcomeCount(
                        c.getValue().path(0).asLong(), c.getValue().path(1).asLong())));
  }
}
