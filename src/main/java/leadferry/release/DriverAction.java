package leadferry.release;

/** What {@link ReleaseController} asks the driver's process to do. */
public sealed interface DriverAction {
  /** Put a command into the log. */
  record SubmitCommand(ReleaseCommand command) implements DriverAction {}

  /**
   * Run the command that changes a target, and tell {@link ReleaseController#onChangeEnded}.
   *
   * @param target its name
   * @param action the number of the action on it
   * @param attempt how often that action was begun, this time included
   * @param fence the fence that goes with the command
   * @param version what the target is to run
   */
  record RunChange(String target, long action, int attempt, long fence, String version)
      implements DriverAction {}

  /**
   * Check which version a target runs, and tell {@link ReleaseController#onVersionChecked}.
   *
   * @param target its name
   * @param action the number of the action on it
   * @param attempt tells checks of one action apart
   * @param fence the fence that goes with the check
   */
  record CheckVersion(String target, long action, int attempt, long fence)
      implements DriverAction {}
}
