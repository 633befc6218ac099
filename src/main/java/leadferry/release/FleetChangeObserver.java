package leadferry.release;

import java.util.Set;
import java.util.function.LongSupplier;
import leadferry.disruption.DisruptionState;
import leadferry.disruption.TargetType;

/**
 * Applies changes of the fleet to one release: targets return to service or return with another
 * version, halt conditions are met, a step begins to bake, a rollback ends.
 */
final class FleetChangeObserver {
  private final Release release;
  private final ReleasePlan plan;
  private final ReleaseProgress progress;
  private final DisruptionState disruption;
  private final LongSupplier nextActionNumber;

  /**
   * Creates an observer for one entry of the replicated log.
   *
   * @param nextActionNumber supplier of new action numbers
   */
  FleetChangeObserver(Release release, DisruptionState disruption, LongSupplier nextActionNumber) {
    this.release = release;
    this.plan = release.plan;
    this.progress = release.progress;
    this.disruption = disruption;
    this.nextActionNumber = nextActionNumber;
  }

  /**
   * Applies the changes of the last entry.
   *
   * @param isNewest whether no later release has any of the targets; if one has, changes to a
   *     completed release are ignored
   */
  void onFleetChange(boolean isNewest) {
    boolean isClosed =
        release.state == ReleaseState.ABANDONED
            || release.state == ReleaseState.ROLLED_BACK
            || (release.state == ReleaseState.COMPLETED && !isNewest);
    if (isClosed) {
      return;
    }
    Set<String> knownNames = disruption.targetsByName(plan.targetType()).keySet();
    for (ReleaseTarget target : release.targets()) {
      if (target.phase == TargetPhase.RESTORING && isAvailable(target)) {
        target.returnToService(++release.returnCount);
      }
      target.removed = target.isInService() && !knownNames.contains(target.name);
      detectVersionChange(target);
    }
    if (release.state == ReleaseState.COMPLETED) {
      reopenForWrongVersion();
    }
    release.haltPolicy.forgetRecovered(disruption);
    if (release.isRunning()) {
      release
          .haltPolicy
          .reasonInFleet(release.targets(), progress, disruption)
          .ifPresent(release::halt);
    }
    if (release.isRunning()) {
      updateProgress();
    }
  }

  /** Reopens a completed release if a target has returned with another version. */
  private void reopenForWrongVersion() {
    release.targets().stream()
        .filter(target -> !target.removed && target.version != TargetVersion.NEW)
        .findFirst()
        .ifPresent(
            target ->
                release.transitionTo(
                    ReleaseState.RUNNING, target.name + " came back with " + target.observation));
  }

  /**
   * Detects a proxy in service that reports another version than the release has recorded. The
   * proxy was down while the release changed it, or something other than the release changed it.
   */
  private void detectVersionChange(ReleaseTarget target) {
    if (plan.targetType() != TargetType.PROXY || !target.isInService()) {
      return;
    }
    String reportedVersion = disruption.runningVersion(target.name, -1);
    TargetVersion version = plan.classify(reportedVersion);
    if (reportedVersion.isEmpty()
        || reportedVersion.equals(DisruptionState.NO_VERSION)
        || version == target.version) {
      return;
    }
    target.recordVersionChange(version, reportedVersion);
    if (plan.policies().keepWrongVersionsOut() && !progress.hasDesiredVersion(target)) {
      String grant =
          disruption.keepOutOfService(
              plan.targetType(),
              target.name,
              "release " + plan.name(),
              "came back with " + reportedVersion);
      if (!grant.isEmpty()) {
        target.keepOutOfService(grant, nextActionNumber.getAsLong(), reportedVersion);
      }
    }
  }

  private void updateProgress() {
    boolean isGoalReached = isCurrentGoalReached();
    if (progress.isForward()) {
      if (!isGoalReached) {
        progress.resetBaking();
      } else if (progress.bakingSinceChange == 0) {
        progress.beginBaking(disruption.changeNumber() + 1);
      }
    } else if (isGoalReached
        && release.targets().stream()
            .allMatch(target -> target.removed || progress.hasDesiredVersion(target))) {
      release.finishRollback();
    }
  }

  /**
   * Returns whether all targets concerned are available with their desired versions: going forward
   * the targets of the steps that are to run the new version, in a rollback all targets.
   */
  private boolean isCurrentGoalReached() {
    Set<String> lost = disruption.lostTargets();
    return release.targets().stream()
        .filter(target -> !target.removed)
        .filter(target -> !progress.isForward() || target.step < progress.goalStepCount)
        .filter(
            target ->
                !plan.policies().skipLostTargets()
                    || !target.isInService()
                    || !lost.contains(target.name))
        .allMatch(
            target ->
                target.isInService() && progress.hasDesiredVersion(target) && isAvailable(target));
  }

  private boolean isAvailable(ReleaseTarget target) {
    return disruption.unavailabilityReason(plan.targetType(), target.name) == null;
  }
}
