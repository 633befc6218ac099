package leadferry.release;

/**
 * Target of a release, with the state machine of its phase. Only the transitions of this class
 * write the fields, except {@link ReleaseSnapshotCodec}, which restores them, and {@link
 * FleetChangeObserver}, which sets {@code removed}.
 *
 * <pre>
 *   IN_SERVICE --beginDraining, keepOutOfService--> DRAINING
 *   DRAINING   --beginChange----------------------> CHANGING
 *   DRAINING   --beginRestoring, unchanged--------> RESTORING
 *   CHANGING   --beginRestoring-------------------> RESTORING
 *   RESTORING  --returnToService------------------> IN_SERVICE
 *   RESTORING  --beginDraining, in a rollback-----> DRAINING
 * </pre>
 *
 * <p>Invariant: a target holds a grant exactly in the phases other than {@link
 * TargetPhase#IN_SERVICE}.
 */
final class ReleaseTarget {
  final String name;

  /** Index (from 0) in the plan of the step that the target belongs to. */
  final int step;

  TargetPhase phase = TargetPhase.IN_SERVICE;
  TargetVersion version = TargetVersion.PREVIOUS;

  /** Id of the eviction grant of the target, or "". */
  String grantId = "";

  /** Number of the action on the target, unique in the fleet; assigned with the grant. */
  long action;

  /** Fencing token of the driver that last worked on the action. */
  long fence;

  /** Change number of the fleet state at which the last attempt of the action began. */
  long startChange;

  /** Number of attempts of the action so far. */
  int attempts;

  /** Human-readable result of the last observation, a version in most cases. */
  String observation = "";

  /** Version that an agent reported after the action; "" before. */
  String reportedVersion = "";

  /** Whether the action took longer than the plan allows. */
  boolean overdue;

  /** Whether the target is kept out of service because it returned with another version. */
  boolean keptOutOfService;

  /** Whether the fleet no longer knows the target. */
  boolean removed;

  /** Position in the order of returns to service; a rollback begins with the highest. */
  long returnOrder;

  ReleaseTarget(String name, int step) {
    this.name = name;
    this.step = step;
  }

  boolean isInService() {
    return phase == TargetPhase.IN_SERVICE;
  }

  /** Begins an action: the grant takes the target out of service to be changed. */
  void beginDraining(String newGrantId, long newAction, long driverFence) {
    phase = TargetPhase.DRAINING;
    grantId = newGrantId;
    action = newAction;
    fence = driverFence;
    attempts = 0;
    overdue = false;
    observation = "";
  }

  /**
   * Keeps this target out of service because it returned with an unexpected version. No driver
   * works on the target yet.
   */
  void keepOutOfService(String newGrantId, long newAction, String foundVersion) {
    beginDraining(newGrantId, newAction, 0);
    observation = foundVersion;
    keptOutOfService = true;
  }

  /** Begins an attempt. The command that changes the target may have run from then on. */
  void beginChange(long driverFence, long newStartChange) {
    phase = TargetPhase.CHANGING;
    version = TargetVersion.UNKNOWN;
    fence = driverFence;
    observation = "";
    reportedVersion = "";
    attempts++;
    startChange = newStartChange;
  }

  /** Records the observation of a driver. */
  void recordObservation(long driverFence, TargetVersion observedVersion, String text) {
    fence = driverFence;
    observation = text;
    version = observedVersion;
  }

  /** Records that the target reports another version while in service. */
  void recordVersionChange(TargetVersion reported, String text) {
    version = reported;
    observation = text;
  }

  /** Records the version that an agent reports after the action. */
  void recordReport(String newReportedVersion) {
    reportedVersion = newReportedVersion;
  }

  /** Begins the return to service after the grant was given back. */
  void beginRestoring() {
    phase = TargetPhase.RESTORING;
    keptOutOfService = false;
  }

  /** Ends the action: the target serves again. */
  void returnToService(long order) {
    phase = TargetPhase.IN_SERVICE;
    grantId = "";
    overdue = false;
    returnOrder = order;
  }

  /** Records that the action took longer than the plan allows. */
  void markOverdue() {
    overdue = true;
  }

  /**
   * Restarts the time limit of the action and leaves at least one attempt of {@code maxAttempts}.
   */
  void allowAnotherAttempt(int maxAttempts) {
    overdue = false;
    attempts = Math.min(attempts, maxAttempts - 1);
  }
}
