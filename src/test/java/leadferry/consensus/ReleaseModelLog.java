package leadferry.consensus;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import leadferry.disruption.DisruptionState;

/**
 * The log of a {@link ReleaseModel} and its state machine. Checks after each entry that no more
 * proxies are out of service than allowed, and that nothing is granted after the release was
 * stopped.
 */
final class ReleaseModelLog {
  static final String RELEASE = "r";

  private static final int MAX_OUT = 1;

  private final Supplier<Set<String>> outOfService;
  private FleetStateMachine stateMachine = newStateMachine();
  private String violation = "";
  private long leavingBefore;
  private ObjectNode cachedRelease;

  /**
   * Creates a log.
   *
   * @param outOfService supplies the proxies that actually do not serve
   */
  ReleaseModelLog(Supplier<Set<String>> outOfService) {
    this.outOfService = outOfService;
  }

  private static FleetStateMachine newStateMachine() {
    return new FleetStateMachine(new DisruptionState.Times(10, 10, 10));
  }

  FleetStateMachine stateMachine() {
    return stateMachine;
  }

  /** Returns the violated invariant, or "". */
  String violation() {
    return violation;
  }

  void recordViolation(String invariant) {
    violation = invariant;
  }

  ObjectNode apply(ObjectNode entry) {
    boolean stopped = isInState("halted") || isInState("paused");
    ObjectNode outcome = applyUnchecked(entry);
    long leaving = targetsInPhase("leaving");
    if (stopped
        && entry.path("op").asText().equals("release_intend")
        && outcome.path("status").asText().equals("granted")
        && leaving > leavingBefore) {
      recordViolation("granted after the halt: " + entry);
    }
    leavingBefore = leaving;
    Set<String> out = outOfService.get();
    if (out.size() > MAX_OUT) {
      recordViolation("out at once: " + out);
    }
    return outcome;
  }

  ObjectNode applyUnchecked(ObjectNode entry) {
    ObjectNode outcome = stateMachine.apply(Json.bytes(entry));
    cachedRelease = null;
    return outcome;
  }

  void expire(String timer) {
    apply(LogEntryCodec.encodeExpiry(timer));
  }

  void submitOperatorCommand(String operation, String why) {
    apply(Json.object().put("op", operation).put("release", RELEASE).put("why", why));
  }

  Set<String> timers() {
    return stateMachine.timers().keySet();
  }

  /** Returns the timers of drains and of members that return to service. */
  List<String> memberTimers() {
    return timers().stream()
        .filter(timer -> !SessionTable.isSessionTimer(timer) && !timer.startsWith("release-"))
        .toList();
  }

  ObjectNode release() {
    if (cachedRelease == null) {
      cachedRelease = stateMachine.releaseStatus(RELEASE);
    }
    return cachedRelease;
  }

  boolean isInState(String state) {
    return release().path("state").asText().equals(state);
  }

  private long targetsInPhase(String phase) {
    long count = 0;
    for (JsonNode target : release().path("targets")) {
      count += target.path("phase").asText().equals(phase) ? 1 : 0;
    }
    return count;
  }

  /** Restarts all replicas from a snapshot. */
  void restartReplicas() {
    byte[] before = stateMachine.snapshot();
    stateMachine = newStateMachine();
    stateMachine.restore(before);
    cachedRelease = null;
    if (!Arrays.equals(before, stateMachine.snapshot())) {
      recordViolation("state differs after a snapshot");
    }
  }
}
