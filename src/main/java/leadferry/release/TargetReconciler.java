package leadferry.release;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides what a driver does for a target that is not in service, by the phase of the target.
 *
 * <pre>
 *   DRAINING   --eviction complete--> begin the change    (if halted: record the target as unchanged)
 *   CHANGING   --begun by this driver--> run the command, then observe the version and record it
 *   CHANGING   --begun by another driver--> observe the version and record it
 *   RESTORING  --rollback, and the target does not start--> change the target again
 * </pre>
 *
 * <p>Invariant: a command runs only while the log has the target in {@link TargetPhase#CHANGING}
 * under this driver's fencing token and holds no later observation of the target. It runs once for
 * each entry that brought the target into this phase.
 */
final class TargetReconciler {
  private final VersionObserver observer;
  private final Set<ActionAttempt> changesInProgress = new HashSet<>();
  private final Map<ActionAttempt, CommandResult> results = new HashMap<>();

  TargetReconciler(VersionObserver observer) {
    this.observer = observer;
  }

  /** Records the end of the command of an attempt. */
  void onChangeEnded(ActionAttempt attempt, CommandResult result) {
    changesInProgress.remove(attempt);
    results.put(attempt, result);
  }

  void reconcile(DriverContext context, ReleaseTargetView target, List<DriverAction> actions) {
    switch (target.phase()) {
      case IN_SERVICE -> {}
      case DRAINING -> reconcileDraining(context.release(), target, actions);
      case CHANGING -> reconcileChanging(context, target, actions);
      case RESTORING -> reconcileRestoring(context.release(), target, actions);
    }
  }

  private static void reconcileDraining(
      ReleaseView release, ReleaseTargetView target, List<DriverAction> actions) {
    if (!release.isRunning() && target.keptOutOfService()) {
      return;
    }
    if (!release.isRunning() || target.hasDesiredVersion()) {
      String version = release.versionName(target.version());
      actions.add(recordObservation(release, target, version, "not touched"));
    } else if (target.availability().drained()) {
      actions.add(beginChange(release, target));
    }
  }

  private void reconcileChanging(
      DriverContext context, ReleaseTargetView target, List<DriverAction> actions) {
    ReleaseView release = context.release();
    ActionAttempt attempt = target.attempt();
    boolean isOwnAction = target.action().fence() == release.fence();
    String observation = target.observation();
    if (changesInProgress.contains(attempt)) {
      return;
    }
    Optional<CommandResult> result = Optional.ofNullable(results.get(attempt));
    boolean observedHere = isOwnAction && !observation.isEmpty();
    if (isOwnAction && observation.isEmpty() && result.isEmpty()) {
      runChange(context, target, actions);
    } else if (observedHere && canRetryChange(release, target)) {
      actions.add(beginChange(release, target));
    } else if (observedHere && target.version() == TargetVersion.UNKNOWN) {
      // The target may still start.
      observer.observe(context, target, result, observation, actions);
    } else if (observedHere && !release.isRunning()) {
      // The release was halted meanwhile: a target that is known to run one of the two versions
      // returns to service.
      actions.add(recordObservation(release, target, observation, "halted"));
    } else {
      observer.observe(context, target, result, "", actions);
    }
  }

  private void runChange(
      DriverContext context, ReleaseTargetView target, List<DriverAction> actions) {
    if (!context.hasValidLease()) {
      return;
    }
    ReleaseView release = context.release();
    ActionAttempt attempt = target.attempt();
    changesInProgress.add(attempt);
    actions.add(
        new DriverAction.RunChange(
            target.name(),
            attempt.action(),
            attempt.attempt(),
            release.fence(),
            release.versionName(target.desiredVersion())));
  }

  /**
   * Returns whether the change of a target may be tried again, because the target was observed
   * without its desired version: the action did not take place or had no effect. An observed
   * version that is neither of the plan's two versions halts the release. If the release is running
   * nevertheless, an operator has resumed it to try again.
   */
  private static boolean canRetryChange(ReleaseView release, ReleaseTargetView target) {
    String reported = target.action().reportedVersion();
    return release.isRunning()
        && !target.hasDesiredVersion()
        && (reported.isEmpty() || reported.equals(target.observation()));
  }

  /**
   * Changes a restoring target again in a rollback if it did not start, instead of waiting for it.
   */
  private static void reconcileRestoring(
      ReleaseView release, ReleaseTargetView target, List<DriverAction> actions) {
    boolean rollingBack = release.isRunning() && !release.progress().isForward();
    if (rollingBack && !target.hasDesiredVersion() && target.isMissing()) {
      actions.add(intendChange(release, target));
    }
  }

  static DriverAction intendChange(ReleaseView release, ReleaseTargetView target) {
    return new DriverAction.SubmitCommand(
        new ReleaseCommand.IntendChange(release.name(), release.fence(), target.name()));
  }

  static DriverAction beginChange(ReleaseView release, ReleaseTargetView target) {
    return new DriverAction.SubmitCommand(
        new ReleaseCommand.BeginChange(
            release.name(), release.fence(), target.name(), target.action().number()));
  }

  static DriverAction recordObservation(
      ReleaseView release, ReleaseTargetView target, String found, String text) {
    return new DriverAction.SubmitCommand(
        new ReleaseCommand.RecordObservation(
            release.name(), release.fence(), target.name(), target.action().number(), found, text));
  }
}
