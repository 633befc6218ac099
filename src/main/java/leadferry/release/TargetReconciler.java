package leadferry.release;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What a driver does for a target that is not in service, by its phase.
 *
 * <pre>
 *   DRAINING   --out everywhere--> begin the change    (halted meanwhile: record it, untouched)
 *   CHANGING   --begun by this driver: run the command; ended, or begun by another: observe--> record
 *   RESTORING  --rollback, and it does not come up--> change it again
 * </pre>
 *
 * <p>Invariant: a command is run only while the log says {@link TargetPhase#CHANGING} under this
 * driver's own fence with nothing found since, and once for each such entry.
 */
final class TargetReconciler {
  private final VersionObserver observer;
  private final Set<ActionAttempt> changesUnderWay = new HashSet<>();
  private final Map<ActionAttempt, CommandResult> results = new HashMap<>();

  TargetReconciler(VersionObserver observer) {
    this.observer = observer;
  }

  /** The command of an attempt has ended. */
  void onChangeEnded(ActionAttempt attempt, CommandResult result) {
    changesUnderWay.remove(attempt);
    results.put(attempt, result);
  }

  void reconcile(DriverContext situation, ReleaseTargetView target, List<DriverAction> actions) {
    switch (target.phase()) {
      case IN_SERVICE -> {}
      case DRAINING -> reconcileDraining(situation.release(), target, actions);
      case CHANGING -> reconcileChanging(situation, target, actions);
      case RESTORING -> reconcileRestoring(situation.release(), target, actions);
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
      DriverContext situation, ReleaseTargetView target, List<DriverAction> actions) {
    ReleaseView release = situation.release();
    ActionAttempt attempt = target.attempt();
    boolean isOwnAction = target.action().fence() == release.fence();
    String found = target.observation();
    if (changesUnderWay.contains(attempt)) {
      return;
    }
    Optional<CommandResult> result = Optional.ofNullable(results.get(attempt));
    boolean observedHere = isOwnAction && !found.isEmpty();
    if (isOwnAction && found.isEmpty() && result.isEmpty()) {
      runChange(situation, target, actions);
    } else if (observedHere && canRetryChange(release, target)) {
      actions.add(beginChange(release, target));
    } else if (observedHere && target.version() == TargetVersion.UNKNOWN) {
      observer.observe(situation, target, result, found, actions); // it may still come up
    } else if (observedHere && !release.isRunning()) {
      // Halted meanwhile: what is known to run one of the versions serves again.
      actions.add(recordObservation(release, target, found, "halted"));
    } else {
      observer.observe(situation, target, result, "", actions);
    }
  }

  private void runChange(
      DriverContext situation, ReleaseTargetView target, List<DriverAction> actions) {
    if (!situation.leaseHolds()) {
      return;
    }
    ReleaseView release = situation.release();
    ActionAttempt attempt = target.attempt();
    changesUnderWay.add(attempt);
    actions.add(
        new DriverAction.RunChange(
            target.name(),
            attempt.action(),
            attempt.attempt(),
            release.fence(),
            release.versionName(target.desiredVersion())));
  }

  /**
   * Whether it was seen to be as before: the action did not take place, or in vain. What was found
   * and is neither version halts the release; that it runs again is an operator's word to try anew.
   */
  private static boolean canRetryChange(ReleaseView release, ReleaseTargetView target) {
    String reported = target.action().reportedVersion();
    return release.isRunning()
        && !target.hasDesiredVersion()
        && (reported.isEmpty() || reported.equals(target.observation()));
  }

  /** A rollback does not wait for what did not come up. */
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
