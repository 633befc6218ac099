package leadferry.release;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import leadferry.disruption.DisruptionState;
import leadferry.disruption.Outcome;
import leadferry.disruption.Outcome.Status;

/**
 * All releases of a fleet, as the log's entries have brought them about; those that are over are
 * kept for a while. Two that want one target are never under way at once: the one that comes later
 * in the log is refused.
 */
public final class Releases {
  /** So many are under way at most, and so many that are over are remembered. */
  private static final int MOST_ACTIVE = 32;

  private static final int REMEMBERED = 50;

  /** The bounds of a driver's lease (ms). */
  private static final long LEAST_LEASE_MS = 200;

  private static final long LONGEST_LEASE_MS = 600_000;

  private final Map<String, Release> releases = new TreeMap<>();
  private long numbers;
  private long fences;
  private long actions;

  /** Applies a command and tells what became of it. */
  public Outcome apply(ReleaseCommand command, DisruptionState disruption) {
    if (command instanceof ReleaseCommand.StartRelease start) {
      return start(start, disruption);
    }
    Release release = releases.get(command.release());
    if (release == null) {
      return Outcome.of(Status.UNKNOWN, "no release '" + command.release() + "'");
    }
    return applyTo(release, command, disruption);
  }

  private Outcome applyTo(Release release, ReleaseCommand command, DisruptionState disruption) {
    if (command instanceof ReleaseCommand.AcquireLease lease) {
      return drive(release, lease);
    }
    if (command instanceof ReleaseCommand.YieldLease lease) {
      release.undriven(lease.fence(), true);
      return Outcome.of(Status.DONE);
    }
    if (command instanceof ReleaseCommand.IntendChange intent) {
      Outcome outcome = release.intend(intent.fence(), intent.target(), actions + 1, disruption);
      actions = Math.max(actions, outcome.number());
      return outcome;
    }
    if (command instanceof ReleaseCommand.BeginChange change) {
      return release.acting(change.fence(), change.target(), change.action(), disruption);
    }
    if (command instanceof ReleaseCommand.RecordObservation seen) {
      return release.observed(
          seen.fence(), seen.target(), seen.action(), seen.found(), seen.text(), disruption);
    }
    if (command instanceof ReleaseCommand.RecordReport report) {
      return release.reported(report.target(), report.action(), report.attempt(), report.found());
    }
    if (command instanceof ReleaseCommand.RecordVerdict verdict) {
      return release.verdict(
          verdict.fence(), verdict.step(), verdict.proceed(), verdict.evidence());
    }
    return operator(release, command, disruption);
  }

  private Outcome operator(Release release, ReleaseCommand command, DisruptionState disruption) {
    if (command instanceof ReleaseCommand.PauseRelease pause) {
      return release.pause(pause.why());
    }
    if (command instanceof ReleaseCommand.ResumeRelease resume) {
      return release.resume(resume.why());
    }
    if (command instanceof ReleaseCommand.HaltRelease halt) {
      return release.halted(halt.why());
    }
    if (command instanceof ReleaseCommand.RollBack rollback) {
      return back(release, rollback);
    }
    if (command instanceof ReleaseCommand.OverrideCheck override) {
      return release.override(override.check(), override.why(), disruption);
    }
    if (command instanceof ReleaseCommand.EndRelease end) {
      return release.end(end.why());
    }
    throw new IllegalArgumentException("command: " + command + " (expected: one of a release)");
  }

  private Outcome start(ReleaseCommand.StartRelease command, DisruptionState disruption) {
    ReleasePlan plan = command.plan();
    List<String> faults = new ArrayList<>();
    Set<String> names = disruption.byName(plan.of()).keySet();
    for (String t : plan.targets()) {
      if (!names.contains(t)) {
        faults.add("no " + plan.of().word() + " '" + t + "'");
      }
    }
    Release known = releases.get(plan.name());
    if (known != null) {
      faults.add("the name " + plan.name() + " was used before");
    }
    for (Release r : releases.values()) {
      if (!r.state.over() && r.shares(plan)) {
        faults.add(
            "release "
                + r.plan.name()
                + " is "
                + r.state.word()
                + " and has some of these targets");
      }
    }
    if (active() >= MOST_ACTIVE) {
      faults.add(active() + " releases are under way (expected: fewer)");
    }
    if (!faults.isEmpty()) {
      return new Outcome(Status.REFUSED, "", faults);
    }
    releases.put(plan.name(), new Release(plan, ++numbers, command.who(), command.why()));
    while (releases.size() - active() > REMEMBERED) {
      releases.values().stream()
          .filter(r -> r.state.over())
          .min(java.util.Comparator.comparingLong(r -> r.number))
          .ifPresent(r -> releases.remove(r.plan.name()));
    }
    return Outcome.of(Status.DONE);
  }

  /** Whether any release is not over. */
  public boolean underWay() {
    return active() > 0;
  }

  private long active() {
    return releases.values().stream().filter(r -> !r.state.over()).count();
  }

  private Outcome drive(Release r, ReleaseCommand.AcquireLease command) {
    String driver = command.driver();
    long lease = command.leaseMillis();
    if (driver.isEmpty()
        || driver.length() > 128
        || lease < LEAST_LEASE_MS
        || lease > LONGEST_LEASE_MS) {
      return Outcome.of(Status.MALFORMED, "driver: a name or a lease_ms that can't be");
    }
    Outcome o = r.drive(driver, lease, fences + 1);
    fences = Math.max(fences, o.number());
    return o;
  }

  /** A release that is done may be taken back as long as no other has its targets. */
  private Outcome back(Release r, ReleaseCommand.RollBack command) {
    for (Release other : releases.values()) {
      if (r.state.over() && other != r && !other.state.over() && other.shares(r.plan)) {
        return Outcome.of(
            Status.REFUSED,
            "release "
                + other.plan.name()
                + " is "
                + other.state.word()
                + " and has some of its targets");
      }
    }
    return r.back(command.toStep(), command.why());
  }

  /** Takes note of what the last entry has changed in the fleet; to be called after each. */
  public void look(DisruptionState disruption) {
    for (Release r : releases.values()) {
      boolean newest =
          r.state != Release.State.DONE
              || releases.values().stream().noneMatch(x -> x.number > r.number && x.shares(r.plan));
      r.look(disruption, () -> ++actions, newest);
    }
  }

  /** Which release's permit this is, or null: nobody else gives it back. */
  public String holder(String permit) {
    return releases.values().stream()
        .filter(r -> r.holds(permit))
        .map(r -> r.plan.name())
        .findFirst()
        .orElse(null);
  }

  /** Whether a driver's lease goes on under this fence. */
  public boolean drives(String release, long fence) {
    Release r = releases.get(release);
    return r != null && !r.driver.isEmpty() && r.fence == fence;
  }

  /** The timer of a driver's lease. */
  public static String timer(String release, long fence) {
    return "release-driver:" + release + ":" + fence;
  }

  /** What runs out, and after how long (ms). */
  public void timers(Map<String, Long> to) {
    releases.values().forEach(r -> r.timers(to));
  }

  /** A timer of a release has run out. */
  public void timeout(String timer) {
    String[] parts = timer.split(":");
    Release r = releases.get(parts[1]);
    if (r != null) {
      r.timeout(parts[0], Long.parseLong(parts[2]));
    }
  }

  /** One release whole, or all in a line each where {@code name} is empty. */
  public void status(String name, ObjectNode to, DisruptionState disruption) {
    if (name.isEmpty()) {
      ArrayNode all = to.putArray("releases");
      releases.values().stream()
          .sorted(java.util.Comparator.comparingLong(r -> r.number))
          .forEach(
              r ->
                  all.addObject()
                      .put("name", r.plan.name())
                      .put("number", r.number)
                      .put("of", r.plan.of().word())
                      .put("version", r.plan.version())
                      .put("state", r.state.word())
                      .put("state_why", r.stateWhy)
                      .put("direction", r.forward ? "forward" : "back")
                      .put("driver", r.driver)
                      .put("goal", r.goal)
                      .put("steps", r.plan.steps().size()));
      return;
    }
    Release r = releases.get(name);
    if (r == null) {
      to.put("status", Status.UNKNOWN.word()).putArray("why").add("no release '" + name + "'");
    } else {
      r.status(to, disruption);
    }
  }

  /** The whole state; {@link #restore} of it gives the same state. */
  public void snapshot(ObjectNode to) {
    to.put("numbers", numbers).put("fences", fences).put("actions", actions);
    ArrayNode rs = to.putArray("releases");
    releases.values().forEach(r -> r.snapshot(rs.addObject()));
  }

  /** Takes the place of all that is known. */
  public void restore(JsonNode n) {
    numbers = n.path("numbers").asLong();
    fences = n.path("fences").asLong();
    actions = n.path("actions").asLong();
    releases.clear();
    n.path("releases")
        .forEach(
            x -> {
              Release r = Release.restore(x);
              releases.put(r.plan.name(), r);
            });
  }
}
