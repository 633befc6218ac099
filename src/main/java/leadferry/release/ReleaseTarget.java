package leadferry.release;

/**
 * One target of a release: the state machine of its phase. All transitions stand here; nothing else
 * writes the fields but {@link ReleaseSnapshotCodec}, which restores them.
 *
 * <pre>
 *   IN_SERVICE --drain--> DRAINING --beginChange--> CHANGING --restore--> RESTORING --returnToService--> IN_SERVICE
 *   IN_SERVICE --holdOut--> DRAINING
 *                         DRAINING --restore, untouched-----------------> RESTORING
 *                                                           RESTORING --drain, in a rollback--> DRAINING
 * </pre>
 *
 * <p>Invariant: a target holds a grant exactly in the phases other than {@link
 * TargetPhase#IN_SERVICE}.
 */
final class ReleaseTarget {
  final String name;

  /** The index of its step in the plan. */
  final int step;

  TargetPhase phase = TargetPhase.IN_SERVICE;
  TargetVersion version = TargetVersion.PREVIOUS;

  /** The eviction grant that it is out by, or "". */
  String grantId = "";

  /** The number of the action on it, unique in the fleet; given with its grant. */
  long action;

  /** The fence of the driver that last took its action up. */
  long fence;

  /** The change number of the fleet's state at which its action began to be carried out. */
  long startChange;

  /** How often its action was begun. */
  int attempts;

  /** What was last observed of it, for people. */
  String observation = "";

  /** The version that an agent reported after its action; "" before. */
  String reportedVersion = "";

  /** Whether its action took longer than the plan allows. */
  boolean overdue;

  /** Whether it is kept out of service since it came back with another version. */
  boolean keptOutOfService;

  /** Whether the fleet does not know it any more. */
  boolean removed;

  /** Its place in the order of returns to service; a rollback begins with the highest. */
  long returnOrder;

  ReleaseTarget(String name, int step) {
    this.name = name;
    this.step = step;
  }

  boolean isInService() {
    return phase == TargetPhase.IN_SERVICE;
  }

  /** A grant takes it out of service, to be changed. */
  void beginDraining(String newGrantId, long newAction, long driverFence) {
    phase = TargetPhase.DRAINING;
    grantId = newGrantId;
    action = newAction;
    fence = driverFence;
    attempts = 0;
    overdue = false;
    observation = "";
  }

  /** It came back with a version that it was not given, and is kept out; no driver has it yet. */
  void keepOutOfService(String newGrantId, long newAction, String foundVersion) {
    beginDraining(newGrantId, newAction, 0);
    observation = foundVersion;
    keptOutOfService = true;
  }

  /** From here on the command that changes it may have run. */
  void beginChange(long driverFence, long newStartChange) {
    phase = TargetPhase.CHANGING;
    version = TargetVersion.UNKNOWN;
    fence = driverFence;
    observation = "";
    reportedVersion = "";
    attempts++;
    startChange = newStartChange;
  }

  /** A driver has looked at it. */
  void recordObservation(long driverFence, TargetVersion observedVersion, String text) {
    fence = driverFence;
    observation = text;
    version = observedVersion;
  }

  /** It tells by itself, in service, that it runs another version. */
  void recordVersionChange(TargetVersion reported, String text) {
    version = reported;
    observation = text;
  }

  /** An agent reports the version after its action. */
  void recordReport(String newReportedVersion) {
    reportedVersion = newReportedVersion;
  }

  /** Its grant has been given back. */
  void beginRestoring() {
    phase = TargetPhase.RESTORING;
    keptOutOfService = false;
  }

  /** It serves as before. */
  void returnToService(long order) {
    phase = TargetPhase.IN_SERVICE;
    grantId = "";
    overdue = false;
    returnOrder = order;
  }

  /** Its action took too long. */
  void markOverdue() {
    overdue = true;
  }

  /** Its action has its time anew, and at least one attempt of {@code maxAttempts} left. */
  void allowAnotherAttempt(int maxAttempts) {
    overdue = false;
    attempts = Math.min(attempts, maxAttempts - 1);
  }
}
