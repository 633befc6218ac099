package leadferry.release;

import java.util.List;

/**
 * A release as the replicas tell of it: what drivers decide by and what staff read.
 *
 * @param plan the plan, with targets by name
 * @param changeCommands how targets are changed, by that plan
 * @param state where it stands as a whole
 * @param stateReason why it stands there, or ""
 * @param progress how far it has come
 * @param driver the driver that holds the lease, or ""
 * @param fence the fence of the lease's last holder
 * @param targets all targets, in the plan's order
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
   * How far a release has come.
   *
   * @param direction forward or rollback
   * @param goalStepCount how many steps, from the first one on, are to run the new version
   * @param bakingSinceChange the change number from which on all of them do and serve; 0 while some
   *     don't
   * @param baked whether that has lasted for the step's baking time
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

  /** Its name. */
  public String name() {
    return plan.name();
  }

  /** Whether targets are being changed. */
  public boolean isRunning() {
    return state == ReleaseState.RUNNING;
  }

  /** Whether a driver holds its lease. */
  public boolean hasDriver() {
    return !driver.isEmpty();
  }

  /** The full name of one of the plan's versions, or "". */
  public String versionName(TargetVersion version) {
    return switch (version) {
      case NEW -> plan.version();
      case PREVIOUS -> plan.previousVersion();
      case UNKNOWN -> "";
    };
  }
}
