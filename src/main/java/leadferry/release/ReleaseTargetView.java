package leadferry.release;

import java.util.Map;
import java.util.Optional;

/**
 * Target of a release as reported by the replicas.
 *
 * @param name name of the proxy or endpoint
 * @param step index (from 0) in the plan of the step that the target belongs to
 * @param phase phase of the target in the release
 * @param version version that the target runs, as last observed
 * @param desiredVersion version that the target is to run
 * @param action action on the target
 * @param observation human-readable result of the last observation, or ""
 * @param overdue whether the action took longer than the plan allows
 * @param keptOutOfService whether the target is kept out of service because it returned with
 *     another version
 * @param removed whether the fleet no longer knows the target
 * @param returnOrder position in the order of returns to service
 * @param availability availability of the target in the fleet
 */
public record ReleaseTargetView(
    String name,
    int step,
    TargetPhase phase,
    TargetVersion version,
    TargetVersion desiredVersion,
    Action action,
    String observation,
    boolean overdue,
    boolean keptOutOfService,
    boolean removed,
    long returnOrder,
    Availability availability) {
  /**
   * Action on a target.
   *
   * @param number number of the action, unique in the fleet; 0 before the first
   * @param fence fencing token of the driver that last worked on the action
   * @param attempts number of attempts so far
   * @param reportedVersion version that the proxy or the agent has reported since the action began,
   *     or ""
   */
  public record Action(long number, long fence, int attempts, String reportedVersion) {}

  /**
   * Availability of a target in the fleet.
   *
   * @param lost whether the target is lost
   * @param unavailabilityReason reason why the target is unavailable; empty if it is available
   * @param zone zone of the target
   * @param drained whether the eviction is complete; false in phases other than {@link
   *     TargetPhase#DRAINING}
   * @param pendingProxies proxies that may still send requests to the endpoint: the reason by name
   *     of the proxy
   */
  public record Availability(
      boolean lost,
      Optional<String> unavailabilityReason,
      String zone,
      boolean drained,
      Map<String, String> pendingProxies) {}

  /**
   * First letter of the texts with which {@code disruption} states that a proxy is lost or has
   * left.
   */
  private static final String MISSING_PREFIX = "l";

  private static final String NOT_SERVING = "does not serve";

  /** Returns whether the release does not work on the target now. */
  public boolean isInService() {
    return phase == TargetPhase.IN_SERVICE;
  }

  /** Returns whether the target runs its desired version. */
  boolean hasDesiredVersion() {
    return version == desiredVersion;
  }

  /** Returns whether the target is available and the release does not work on it. */
  boolean isSettled() {
    return isInService() && isAvailable();
  }

  /** Returns whether the target is available. */
  boolean isAvailable() {
    return availability.unavailabilityReason().isEmpty();
  }

  /** Returns whether the target is lost, has left or does not serve. */
  boolean isMissing() {
    String reason = availability.unavailabilityReason().orElse("");
    return availability.lost() || reason.startsWith(MISSING_PREFIX) || reason.equals(NOT_SERVING);
  }

  /** Returns the key of the current attempt of the action. */
  ActionAttempt attempt() {
    return new ActionAttempt(action.number(), action.attempts());
  }
}
