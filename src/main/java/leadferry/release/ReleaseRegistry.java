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
 * The registry of all releases of a fleet, as the log's entries have brought them about; those that
 * are over are kept for a while.
 *
 * <p>Invariant: no two releases that are under way have a target in common; the one that comes
 * later in the log is rejected.
 */
public final class ReleaseRegistry {
  /** How many releases are under way at most. */
  private static final int MAX_ACTIVE = 32;

  /** How many releases that are over are remembered. */
  private static final int MAX_CLOSED = 50;

  private static final int MAX_DRIVER_NAME_CHARACTERS = 128;
  private static final long MIN_LEASE_MILLIS = 200;
  private static final long MAX_LEASE_MILLIS = 600_000;

  private final Map<String, Release> releases = new TreeMap<>();
  private long lastReleaseNumber;
  private long lastFence;
  private long lastActionNumber;

  /** Applies a command and tells what became of it. */
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
      release.lease.giveBack(lease.fence());
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
    throw new IllegalArgumentException("command: " + command + " (expected: one of a release)");
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
    Set<String> known = disruption.targetsByName(plan.targetType()).keySet();
    for (String target : plan.targets()) {
      if (!known.contains(target)) {
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

  /** Whether any release is not over. */
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

  /** A completed release may be rolled back as long as no other has its targets. */
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

  /** Takes note of what the last entry has changed in the fleet; to be called after each. */
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

  /** Which release holds this eviction grant, or null: nobody else gives it back. */
  public String findReleaseHolding(String grant) {
    return releases.values().stream()
        .filter(release -> release.holdsGrant(grant))
        .map(release -> release.plan.name())
        .findFirst()
        .orElse(null);
  }

  /** Whether a driver holds the release's lease under this fence. */
  public boolean isLeaseHeld(String name, long fence) {
    Release release = releases.get(name);
    return release != null && release.lease.isHeld() && release.lease.fence == fence;
  }

  /** The name of the timer of a driver's lease. */
  public static String driverLeaseTimerName(String release, long fence) {
    return new ReleaseTimer(ReleaseTimer.Kind.DRIVER_LEASE, release, fence).name();
  }

  /** Puts what runs out, by name, and after how long (ms). */
  public void putTimers(Map<String, Long> timers) {
    releases.values().forEach(release -> release.putTimers(timers));
  }

  /** A timer of a release, by its name, has run out. */
  public void onTimerExpired(String timerName) {
    ReleaseTimer timer = ReleaseTimer.parse(timerName);
    Release release = releases.get(timer.release());
    if (release != null) {
      release.onTimerExpired(timer);
    }
  }

  /** Writes one release whole, or all in a line each where {@code name} is empty. */
  public void writeStatus(String name, ObjectNode json, DisruptionState disruption) {
    if (name.isEmpty()) {
      ArrayNode all = json.putArray("releases");
      releases.values().stream()
          .sorted(Comparator.comparingLong(release -> release.number))
          .forEach(release -> ReleaseStatusWriter.writeSummary(release, all.addObject()));
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

  /** Writes the whole state; {@link #restore} of it gives the same state. */
  public void writeSnapshot(ObjectNode json) {
    json.put("numbers", lastReleaseNumber)
        .put("fences", lastFence)
        .put("actions", lastActionNumber);
    ArrayNode all = json.putArray("releases");
    releases.values().forEach(release -> ReleaseSnapshotCodec.write(release, all.addObject()));
  }

  /** Takes the state from a snapshot, in place of all that is known. */
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
