package leadferry.release;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import leadferry.disruption.DisruptionState;
import leadferry.disruption.Outcome;
import leadferry.disruption.Outcome.Status;

/**
 * Registry of all releases of a fleet in the replicated state. It keeps the most recent closed
 * releases.
 *
 * <p>Invariant: no two active releases have a target in common. Of two such releases, the later one
 * in the log is rejected.
 */
public final class ReleaseRegistry {
  /** Maximum number of active releases. */
  private static final int MAX_ACTIVE = 32;

  /** Maximum number of closed releases that are kept. */
  private static final int MAX_CLOSED = 50;

  private static final int MAX_DRIVER_NAME_CHARACTERS = 128;
  private static final long MIN_LEASE_MILLIS = 200;
  private static final long MAX_LEASE_MILLIS = 600_000;

  private final Map<String, Release> releases = new TreeMap<>();
  private long lastReleaseNumber;
  private long lastFence;
  private long lastActionNumber;

  /** Applies a command and returns its outcome. */
  public Outcome apply(ReleaseCommand command, DisruptionState disruption) {
    if (command instanceof ReleaseCommand.StartRelease start) {
      return start(start, disruption);
    }
    Release release = releases.get(command.release());
    if (release == null) {
      return Outcome.of(Status.UNKNOWN, "no release '" + command.release() + "'");
    }
    return applyDriverCommand(release, command, disruption);
  }

  private Outcome applyDriverCommand(
      Release release, ReleaseCommand command, DisruptionState disruption) {
    DriverCommands driver = new DriverCommands(release, disruption);
    if (command instanceof ReleaseCommand.AcquireLease lease) {
      return acquireLease(driver, lease);
    }
    if (command instanceof ReleaseCommand.YieldLease lease) {
      release.lease.yieldLease(lease.fence());
      return Outcome.of(Status.DONE);
    }
    if (command instanceof ReleaseCommand.IntendChange intent) {
      Outcome outcome = driver.intendChange(intent, lastActionNumber + 1);
      lastActionNumber = Math.max(lastActionNumber, outcome.number());
      return outcome;
    }
    if (command instanceof ReleaseCommand.BeginChange change) {
      return driver.beginChange(change);
    }
    if (command instanceof ReleaseCommand.RecordObservation observation) {
      return driver.recordObservation(observation);
    }
    if (command instanceof ReleaseCommand.RecordReport report) {
      return driver.recordReport(report);
    }
    if (command instanceof ReleaseCommand.RecordVerdict verdict) {
      return driver.recordVerdict(verdict);
    }
    return applyOperatorCommand(release, command, disruption);
  }

  private Outcome applyOperatorCommand(
      Release release, ReleaseCommand command, DisruptionState disruption) {
    OperatorCommands operator = new OperatorCommands(release, disruption);
    if (command instanceof ReleaseCommand.PauseRelease pause) {
      return operator.pause(pause);
    }
    if (command instanceof ReleaseCommand.ResumeRelease resume) {
      return operator.resume(resume);
    }
    if (command instanceof ReleaseCommand.HaltRelease halt) {
      return operator.halt(halt);
    }
    if (command instanceof ReleaseCommand.RollBack rollback) {
      return rollBack(release, operator, rollback);
    }
    if (command instanceof ReleaseCommand.OverrideCheck override) {
      return operator.override(override);
    }
    if (command instanceof ReleaseCommand.EndRelease end) {
      return operator.end(end);
    }
    throw new IllegalArgumentException(
        "command: " + command + " (expected: a command of a release)");
  }

  private Outcome start(ReleaseCommand.StartRelease command, DisruptionState disruption) {
    List<String> errors = findStartErrors(command.plan(), disruption);
    if (!errors.isEmpty()) {
      return new Outcome(Status.REFUSED, "", errors);
    }
    Release release =
        new Release(command.plan(), ++lastReleaseNumber, command.requestedBy(), command.reason());
    releases.put(command.plan().name(), release);
    while (releases.size() - activeCount() > MAX_CLOSED) {
      releases.values().stream()
          .filter(other -> other.state.isClosed())
          .min(Comparator.comparingLong(other -> other.number))
          .ifPresent(oldest -> releases.remove(oldest.plan.name()));
    }
    return Outcome.of(Status.DONE);
  }

  private List<String> findStartErrors(ReleasePlan plan, DisruptionState disruption) {
    List<String> errors = new ArrayList<>();
    Set<String> knownNames = disruption.targetsByName(plan.targetType()).keySet();
    for (String target : plan.targets()) {
      if (!knownNames.contains(target)) {
        errors.add("no " + plan.targetType().storedName() + " '" + target + "'");
      }
    }
    if (releases.containsKey(plan.name())) {
      errors.add("the name " + plan.name() + " was used before");
    }
    for (Release other : releases.values()) {
      if (!other.state.isClosed() && other.hasTargetsInCommonWith(plan)) {
        errors.add(other.describe() + " and has some of these targets");
      }
    }
    if (activeCount() >= MAX_ACTIVE) {
      errors.add(activeCount() + " releases are under way (expected: fewer)");
    }
    return errors;
  }

  /** Returns whether any release is active, which means that it is not closed. */
  public boolean hasActive() {
    return activeCount() > 0;
  }

  private long activeCount() {
    return releases.values().stream().filter(release -> !release.state.isClosed()).count();
  }

  private Outcome acquireLease(DriverCommands driver, ReleaseCommand.AcquireLease command) {
    String name = command.driver();
    long leaseMillis = command.leaseMillis();
    boolean valid =
        !name.isEmpty()
            && name.length() <= MAX_DRIVER_NAME_CHARACTERS
            && leaseMillis >= MIN_LEASE_MILLIS
            && leaseMillis <= MAX_LEASE_MILLIS;
    if (!valid) {
      return Outcome.of(Status.MALFORMED, "driver: a name or a lease_ms that can't be");
    }
    Outcome outcome = driver.acquireLease(command, lastFence + 1);
    lastFence = Math.max(lastFence, outcome.number());
    return outcome;
  }

  /**
   * Rolls a release back. A closed release can be rolled back only if no active release has a
   * target in common with it.
   */
  private Outcome rollBack(
      Release release, OperatorCommands operator, ReleaseCommand.RollBack command) {
    if (release.state.isClosed()) {
      for (Release other : releases.values()) {
        if (other != release
            && !other.state.isClosed()
            && other.hasTargetsInCommonWith(release.plan)) {
          return Outcome.of(Status.REFUSED, other.describe() + " and has some of its targets");
        }
      }
    }
    return operator.rollBack(command);
  }

  /** Applies the changes that the last entry made to the fleet; called after each entry. */
  public void onFleetChange(DisruptionState disruption) {
    for (Release release : releases.values()) {
      boolean newest = release.state != ReleaseState.COMPLETED || isNewest(release);
      new FleetChangeObserver(release, disruption, () -> ++lastActionNumber).onFleetChange(newest);
    }
  }

  private boolean isNewest(Release release) {
    return releases.values().stream()
        .noneMatch(
            other -> other.number > release.number && other.hasTargetsInCommonWith(release.plan));
  }

  /**
   * Returns the name of the release that holds an eviction grant, or null if there is none. Only
   * that release may give the grant back.
   */
  public String findReleaseHolding(String grant) {
    return releases.values().stream()
        .filter(release -> release.holdsGrant(grant))
        .map(release -> release.plan.name())
        .findFirst()
        .orElse(null);
  }

  /** Returns whether a driver holds the lease of a release with the given fencing token. */
  public boolean isLeaseHeld(String name, long fence) {
    Release release = releases.get(name);
    return release != null && release.lease.isHeld() && release.lease.fence == fence;
  }

  /** Returns the name of the timer of a driver's lease. */
  public static String driverLeaseTimerName(String release, long fence) {
    return new ReleaseTimer(ReleaseTimer.Kind.DRIVER_LEASE, release, fence).name();
  }

  /** Adds the running timers, by name, with their durations (ms). */
  public void putTimers(Map<String, Long> timers) {
    releases.values().forEach(release -> release.putTimers(timers));
  }

  /** Applies the expiry of the timer with the given name. */
  public void onTimerExpired(String timerName) {
    ReleaseTimer timer = ReleaseTimer.parse(timerName);
    Release release = releases.get(timer.release());
    if (release != null) {
      release.onTimerExpired(timer);
    }
  }

  /**
   * Writes the full status of one release, or a summary of each release if {@code name} is empty.
   */
  public void writeStatus(String name, ObjectNode json, DisruptionState disruption) {
    if (name.isEmpty()) {
      ArrayNode releasesJson = json.putArray("releases");
      releases.values().stream()
          .sorted(Comparator.comparingLong(release -> release.number))
          .forEach(release -> ReleaseStatusWriter.writeSummary(release, releasesJson.addObject()));
      return;
    }
    Release release = releases.get(name);
    if (release == null) {
      json.put("status", Status.UNKNOWN.storedName())
          .putArray("why")
          .add("no release '" + name + "'");
    } else {
      new ReleaseStatusWriter(release, disruption).write(json);
    }
  }

  /** Writes the whole state. {@link #restore} of the result gives the same state. */
  public void writeSnapshot(ObjectNode json) {
    json.put("numbers", lastReleaseNumber)
        .put("fences", lastFence)
        .put("actions", lastActionNumber);
    ArrayNode releasesJson = json.putArray("releases");
    releases
        .values()
        .forEach(release -> ReleaseSnapshotCodec.write(release, releasesJson.addObject()));
  }

  /** Replaces the whole state by that of a snapshot. */
  public void restore(JsonNode json) {
    lastReleaseNumber = json.path("numbers").asLong();
    lastFence = json.path("fences").asLong();
    lastActionNumber = json.path("actions").asLong();
    releases.clear();
    for (JsonNode releaseJson : json.path("releases")) {
      Release release = ReleaseSnapshotCodec.read(releaseJson);
      releases.put(release.plan.name(), release);
    }
  }
}
