package leadferry.release;

import java.util.Map;
import java.util.Optional;

/**
 * One target of a release, as the replicas tell of it.
 *
 * @param name the proxy's or host's name
 * @param step the index of its step in the plan
 * @param phase where it stands
 * @param version which version it runs, as far as seen
 * @param desiredVersion which version it is to run
 * @param action the action on it
 * @param observation what was last observed of it, or ""
 * @param overdue whether its action took longer than the plan allows
 * @param keptOutOfService whether it is kept out of service since it came back with another version
 * @param removed whether the fleet does not know it any more
 * @param returnOrder its place in the order of returns to service
 * @param availability how it stands in the fleet
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
   * The action on a target.
   *
   * @param number unique in the fleet; 0 before the first
   * @param fence the fence of the driver that last took it up
   * @param attempts how often it was begun
   * @param reportedVersion what the proxy or its agent has told since it began, or ""
   */
  public record Action(long number, long fence, int attempts, String reportedVersion) {}

  /**
   * How a target stands in the fleet.
   *
   * @param lost whether nothing is heard of it
   * @param unavailabilityReason why it is out of service; empty where it serves
   * @param zone its zone
   * @param drained whether every proxy knows that it is out
   * @param pendingProxies the proxies that do not know it yet, each with the reason
   */
  public record Availability(
      boolean lost,
      Optional<String> unavailabilityReason,
      String zone,
      boolean drained,
      Map<String, String> pendingProxies) {}

  /** How the fleet's reasons begin for a proxy that is lost or has left. */
  private static final String MISSING_PREFIX = "l";

  private static final String NOT_SERVING = "does not serve";

  /** Whether the release does nothing to it now. */
  public boolean isInService() {
    return phase == TargetPhase.IN_SERVICE;
  }

  /** Whether it runs what it is to run. */
  boolean hasDesiredVersion() {
    return version == desiredVersion;
  }

  /** Whether it serves, and the release does nothing to it. */
  boolean isSettled() {
    return isInService() && isAvailable();
  }

  /** Whether it serves. */
  boolean isAvailable() {
    return availability.unavailabilityReason().isEmpty();
  }

  /** Whether it is not there: lost, ended, or up and not serving. */
  boolean isMissing() {
    String reason = availability.unavailabilityReason().orElse("");
    return availability.lost() || reason.startsWith(MISSING_PREFIX) || reason.equals(NOT_SERVING);
  }

  /** Identifies the attempt that its action stands at. */
  ActionAttempt attempt() {
    return new ActionAttempt(action.number(), action.attempts());
  }
}
