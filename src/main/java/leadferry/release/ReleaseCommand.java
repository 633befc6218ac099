package leadferry.release;

/**
 * A command of the replicated log to a release. Drivers submit most commands, operators the rest.
 * {@link ReleaseCommandCodec} maps each command to and from its stored form.
 */
public sealed interface ReleaseCommand {
  /** Returns the name of the release. */
  String release();

  /** Starts a release with a validated plan, for an operator. */
  record StartRelease(ReleasePlan plan, String requestedBy, String reason)
      implements ReleaseCommand {
    @Override
    public String release() {
      return plan.name();
    }
  }

  /**
   * Acquires the lease under which one driver alone drives the release, for {@code leaseMillis}.
   */
  record AcquireLease(String release, String driver, long leaseMillis) implements ReleaseCommand {}

  /** Gives back the driver's lease that has the given fencing token. */
  record YieldLease(String release, long fence) implements ReleaseCommand {}

  /** Drains a target, so that the driver can change it. */
  record IntendChange(String release, long fence, String target) implements ReleaseCommand {}

  /** Records that a driver is about to run the command that changes a target. */
  record BeginChange(String release, long fence, String target, long action)
      implements ReleaseCommand {}

  /**
   * Records the version that a driver observed of a target; {@code foundVersion} is "" if the
   * target reported none.
   */
  record RecordObservation(
      String release, long fence, String target, long action, String foundVersion, String detail)
      implements ReleaseCommand {}

  /** Records the version that the agent of a target reports to have started. */
  record RecordReport(String release, String target, long action, int attempt, String foundVersion)
      implements ReleaseCommand {}

  /** Records the verdict of a driver's canary analysis on a step, with its evidence. */
  record RecordVerdict(String release, long fence, int step, boolean proceed, String evidence)
      implements ReleaseCommand {}

  /** Pauses the release, for an operator. */
  record PauseRelease(String release, String reason) implements ReleaseCommand {}

  /** Resumes a paused or halted release, for an operator. */
  record ResumeRelease(String release, String reason) implements ReleaseCommand {}

  /** Halts the release, for an operator. */
  record HaltRelease(String release, String reason) implements ReleaseCommand {}

  /** Rolls back until only the first {@code toStep} steps run the new version, for an operator. */
  record RollBack(String release, int toStep, String reason) implements ReleaseCommand {}

  /** Overrides a check that stops the release, for an operator: "verdict" or "lost" targets. */
  record OverrideCheck(String release, String check, String reason) implements ReleaseCommand {}

  /** Abandons the release in its current state, for an operator. */
  record EndRelease(String release, String reason) implements ReleaseCommand {}
}
