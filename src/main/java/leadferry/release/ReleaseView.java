package leadferry.release;

import java.util.List;

/**
 * A release as reported by the replicas, for drivers and operators.
 *
 * @param plan plan of the release
 * @param changeCommands commands of the plan that change targets
 * @param state state of the release as a whole
 * @param stateReason human-readable reason for the state, or ""
 * @param progress progress of the release
 * @param driver name of the driver that holds the lease, or ""
 * @param fence fencing token of the last holder of the lease
 * @param targets all targets in the order of the plan
 */
public record ReleaseView(
    ReleasePlan plan,
    ChangeCommands changeCommands,
    ReleaseState state,
    String stateReason,
    Progress progress,
    String driver,
    long fence,
    List<ReleaseTargetView> targets) {
  /**
   * Progress of a release.
   *
   * @param direction direction of the release
   * @param goalStepCount number of steps, from the first one on, that are to run the new version
   * @param bakingSinceChange change number of the fleet state since which all targets of the first
   *     {@code goalStepCount} steps have served with their desired versions; 0 while a target does
   *     not
   * @param baked whether the baking time of the current step has passed
   */
  public record Progress(
      ReleaseDirection direction, int goalStepCount, long bakingSinceChange, boolean baked) {
    boolean isForward() {
      return direction == ReleaseDirection.FORWARD;
    }

    int currentStep() {
      return goalStepCount - 1;
    }
  }

  /** Keeps a copy of the targets. */
  public ReleaseView {
    targets = List.copyOf(targets);
  }

  /** Returns the name of the release. */
  public String name() {
    return plan.name();
  }

  /** Returns whether the release is running. */
  public boolean isRunning() {
    return state == ReleaseState.RUNNING;
  }

  /** Returns whether a driver holds the lease. */
  public boolean hasDriver() {
    return !driver.isEmpty();
  }

  /** Returns the full name of a version of the plan, or "" for {@link TargetVersion#UNKNOWN}. */
  public String versionName(TargetVersion version) {
    return switch (version) {
      case NEW -> plan.version();
      case PREVIOUS -> plan.previousVersion();
      case UNKNOWN -> "";
    };
  }
}
