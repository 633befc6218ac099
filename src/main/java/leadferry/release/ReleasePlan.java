package leadferry.release;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import leadferry.disruption.DisruptionState;
import leadferry.disruption.TargetType;

/**
 * What a release changes, in which order, and what must hold meanwhile; as the log holds it, with
 * its targets by name. Times are ms.
 *
 * @param name the release's own in the fleet
 * @param of proxies or hosts
 * @param version what its targets are once it is done
 * @param from what they were, and are again by the way back
 * @param steps in their order; a target stands in one of them
 * @param actionMs one target has so long from its grant until it is back in service; longer halts
 *     the release
 * @param longestMs the release has so long until it halts
 * @param haltLost so many lost that the release did not take out itself halt it, 0 for none
 * @param haltOnTakeover whether a driver that was lost halts it, in place of the next driver going
 *     on
 * @param skipMissing whether steps go on without targets that are lost; it is done only once they
 *     are, too
 * @param hold what comes back with another version than it was given: held out of service, or back
 *     into the queue
 * @param backOnVerdict whether a verdict against the new begins the way back, in place of a halt
 * @param guard bounds of the verdict
 * @param carry how targets are changed: {@code by} "command" with argument lists, or "agent"; the
 *     ledger only keeps it
 */
public record ReleasePlan(
    String name,
    TargetType of,
    String version,
    String from,
    List<Step> steps,
    long actionMs,
    long longestMs,
    int haltLost,
    boolean haltOnTakeover,
    boolean skipMissing,
    boolean hold,
    boolean backOnVerdict,
    CanaryAnalysis.Bounds guard,
    JsonNode carry) {
  /**
   * Names of releases and steps: those of members but for the colon, which parts the names of
   * timers.
   */
  public static final String NAME = "[A-Za-z0-9_][A-Za-z0-9_.-]{0,63}";

  /** A plan with more targets is refused. */
  static final int MOST_TARGETS = 20_000;

  private static final long LONGEST_MS = 30L * 24 * 3_600_000;

  /** Targets that go together, and what holds for them. */
  public record Step(String name, List<String> targets, int atOnce, long bakeMs) {
    public Step {
      targets = List.copyOf(targets);
    }
  }

  public ReleasePlan {
    steps = List.copyOf(steps);
  }

  /** Its targets, in their order. */
  public List<String> targets() {
    return steps.stream().flatMap(s -> s.targets().stream()).toList();
  }

  /** The plan as the log holds it. */
  public void write(ObjectNode to) {
    to.put("name", name).put("of", of.word()).put("version", version).put("from", from);
    to.put("action_ms", actionMs).put("longest_ms", longestMs).put("halt_lost", haltLost);
    to.put("on_takeover", haltOnTakeover ? "halt" : "go")
        .put("on_missing", skipMissing ? "skip" : "wait");
    to.put("on_wrong", hold ? "hold" : "queue").put("on_verdict", backOnVerdict ? "back" : "halt");
    guard.write(to.putObject("guard"));
    to.set("carry", carry);
    ArrayNode ss = to.putArray("steps");
    for (Step s : steps) {
      ObjectNode n =
          ss.addObject()
              .put("name", s.name())
              .put("at_once", s.atOnce())
              .put("bake_ms", s.bakeMs());
      s.targets().forEach(n.putArray("targets")::add);
    }
  }

  /**
   * Reads a plan; what is wrong with it goes to {@code faults}.
   *
   * @return the plan, or null where there was a fault
   */
  public static ReleasePlan read(JsonNode n, List<String> faults) {
    int before = faults.size();
    String name = named(n, "name", NAME, faults);
    String version = named(n, "version", DisruptionState.NAME, faults);
    String from = named(n, "from", DisruptionState.NAME, faults);
    if (version.equals(from) && !version.isEmpty()) {
      faults.add("from: '" + from + "' (expected: another than version)");
    }
    TargetType of = TargetType.of(n.path("of").asText(""));
    if (of == null) {
      faults.add("of: '" + n.path("of").asText("") + "' (expected: proxy or host)");
    }
    List<Step> steps = new ArrayList<>();
    Map<String, String> taken = new HashMap<>();
    Set<String> names = new HashSet<>();
    for (JsonNode s : n.path("steps")) {
      String step = named(s, "name", NAME, faults);
      if (!names.add(step)) {
        faults.add("step " + step + ": a second time (expected: a name of its own)");
      }
      List<String> targets = new ArrayList<>();
      for (JsonNode t : s.path("targets")) {
        String other = taken.putIfAbsent(t.asText(), step);
        if (other != null) {
          faults.add(
              "step "
                  + step
                  + ", targets: "
                  + t.asText()
                  + " stands in step "
                  + other
                  + " already (expected: once)");
        }
        targets.add(t.asText());
      }
      if (targets.isEmpty()) {
        faults.add("step " + step + ": no targets (expected: one or more)");
      }
      steps.add(
          new Step(
              step,
              targets,
              (int) number(s, "at_once", 1, 1, 100_000, faults),
              number(s, "bake_ms", 0, 0, LONGEST_MS, faults)));
    }
    if (steps.isEmpty() || taken.size() > MOST_TARGETS) {
      faults.add(
          "steps: "
              + steps.size()
              + " with "
              + taken.size()
              + " targets (expected: one or more, and at most "
              + MOST_TARGETS
              + " targets)");
    }
    CanaryAnalysis.Bounds guard = CanaryAnalysis.Bounds.read(n.path("guard"), faults);
    ReleasePlan plan =
        new ReleasePlan(
            name,
            of,
            version,
            from,
            steps,
            number(n, "action_ms", 300_000, 100, LONGEST_MS, faults),
            number(n, "longest_ms", 24 * 3_600_000L, 100, LONGEST_MS, faults),
            (int) number(n, "halt_lost", 2, 0, 100_000, faults),
            word(n, "on_takeover", "go", "halt", faults),
            word(n, "on_missing", "wait", "skip", faults),
            word(n, "on_wrong", "queue", "hold", faults),
            word(n, "on_verdict", "halt", "back", faults),
            guard,
            n.path("carry").deepCopy());
    return faults.size() > before ? null : plan;
  }

  private static String named(JsonNode n, String key, String form, List<String> faults) {
    String t = n.path(key).asText("");
    if (!t.matches(form)) {
      faults.add(key + ": '" + t + "' (expected: letters, digits, _, - and ., at most 64)");
    }
    return t;
  }

  private static long number(
      JsonNode n, String key, long otherwise, long least, long most, List<String> faults) {
    JsonNode v = n.path(key);
    if (v.isMissingNode()) {
      return otherwise;
    }
    if (!v.canConvertToLong() || v.asLong() < least || v.asLong() > most) {
      faults.add(key + ": " + v + " (expected: " + least + " to " + most + ")");
      return otherwise;
    }
    return v.asLong();
  }

  /** Whether a choice of two is the second one; the first where nothing is said. */
  private static boolean word(
      JsonNode n, String key, String first, String second, List<String> faults) {
    String t = n.path(key).asText(first).toLowerCase(Locale.ROOT);
    if (!t.equals(first) && !t.equals(second)) {
      faults.add(key + ": '" + t + "' (expected: " + first + " or " + second + ")");
    }
    return t.equals(second);
  }
}
