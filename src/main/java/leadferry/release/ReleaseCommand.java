package leadferry.release;

/**
 * What an entry of the agreed log asks of a release. Drivers write most of them, operators the
 * rest; the codec of the log maps each to and from its stored form.
 */
public sealed interface ReleaseCommand {
  /** The release that it is about. */
  String release();

  /** An operator starts a release by a plan that is sound in itself. */
  record StartRelease(ReleasePlan plan, String requestedBy, String reason)
      implements ReleaseCommand {
    @Override
    public String release() {
      return plan.name();
    }
  }

  /** A driver asks for the lease under which it alone drives the release; its length is in ms. */
  record AcquireLease(String release, String driver, long leaseMillis) implements ReleaseCommand {}

  /** A driver gives its lease back, by the fence that it got with it. */
  record YieldLease(String release, long fence) implements ReleaseCommand {}

  /** A driver wants to take a target out, to change it. */
  record IntendChange(String release, long fence, String target) implements ReleaseCommand {}

  /** A driver is about to run the command that changes a target. */
  record BeginChange(String release, long fence, String target, long action)
      implements ReleaseCommand {}

  /** A driver has seen which version a target runs; {@code found} is "" where it saw none. */
  record RecordObservation(
      String release, long fence, String target, long action, String foundVersion, String detail)
      implements ReleaseCommand {}

  /** A target's supervisor tells by itself which version it started. */
  record RecordReport(String release, String target, long action, int attempt, String foundVersion)
      implements ReleaseCommand {}

  /** A driver's canary analysis of a step: go on, or not, with the evidence. */
  record RecordVerdict(String release, long fence, int step, boolean proceed, String evidence)
      implements ReleaseCommand {}

  /** An operator pauses the release. */
  record PauseRelease(String release, String reason) implements ReleaseCommand {}

  /** An operator lets a paused or halted release go on. */
  record ResumeRelease(String release, String reason) implements ReleaseCommand {}

  /** An operator halts the release. */
  record HaltRelease(String release, String reason) implements ReleaseCommand {}

  /** An operator wants the old version back, down to that step. */
  record RollBack(String release, int toStep, String reason) implements ReleaseCommand {}

  /** An operator sets aside what keeps the release from going on: a verdict, or lost targets. */
  record OverrideCheck(String release, String check, String reason) implements ReleaseCommand {}

  /** An operator gives the release up as it stands. */
  record EndRelease(String release, String reason) implements ReleaseCommand {}
}
