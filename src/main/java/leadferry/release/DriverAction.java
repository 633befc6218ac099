package leadferry.release;

/** Action that {@link ReleaseController} requests from the process of the driver. */
public sealed interface DriverAction {
  /** Submits a command to the replicated log. */
  record SubmitCommand(ReleaseCommand command) implements DriverAction {}

  /**
   * Runs the command that changes a target. Its end is passed to {@link
   * ReleaseController#onChangeEnded}.
   *
   * @param target name of the target
   * @param action number of the action on the target
   * @param attempt number of the attempt, from 1
   * @param fence fencing token that the command gets
   * @param version version that the target is to run
   */
  record RunChange(String target, long action, int attempt, long fence, String version)
      implements DriverAction {}

  /**
   * Checks which version a target runs. The result is passed to {@link
   * ReleaseController#onVersionChecked}.
   *
   * @param target name of the target
   * @param action number of the action on the target
   * @param attempt number of the attempt that the check belongs to
   * @param fence fencing token that the check gets
   */
  record CheckVersion(String target, long action, int attempt, long fence)
      implements DriverAction {}
}
