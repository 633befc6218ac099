package leadferry.release;

import java.util.Set;
import java.util.function.LongSupplier;
import leadferry.disruption.DisruptionState;
import leadferry.disruption.TargetType;

/**
 * What follows for one release from a change in the fleet: targets return to service or come back
 * with another version, halt conditions are met, a step begins to bake, a rollback ends.
 */
final class FleetChangeObserver {
  private final Release release;
  private final ReleasePlan plan;
  private final ReleaseProgress progress;
  private final DisruptionState disruption;
  private final LongSupplier nextActionNumber;

  /**
   * For one entry.
   *
   * @param nextActionNumber gives numbers of actions
   */
  FleetChangeObserver(Release release, DisruptionState disruption, LongSupplier nextActionNumber) {
    this.release = release;
    this.plan = release.plan;
    this.progress = release.progress;
    this.disruption = disruption;
    this.nextActionNumber = nextActionNumber;
  }

  /**
   * Takes note of what the last entry has changed in the fleet.
   *
   * @param isNewest whether no later release has any of its targets: only then a completed one
   *     still counts
   */
  void onFleetChange(boolean isNewest) {
    boolean isClosed =
        release.state == ReleaseState.ABANDONED
            || release.state == ReleaseState.ROLLED_BACK
            || (release.state == ReleaseState.COMPLETED && !isNewest);
    if (isClosed) {
      return;
    }
    Set<String> known = disruption.targetsByName(plan.targetType()).keySet();
    for (ReleaseTarget target : release.targets()) {
      if (target.phase == TargetPhase.RESTORING && isAvailable(target)) {
        target.returnToService(++release.returnCount);
      }
      target.removed = target.isInService() && !known.contains(target.name);
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

  /** A completed release takes up a target that came back with another version. */
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
   * A proxy in service that tells another version than it was given was down while it was changed,
   * or was changed by somebody else.
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
    boolean complete = isCurrentGoalReached();
    if (progress.isForward()) {
      if (!complete) {
        progress.resetBaking();
      } else if (progress.bakingSinceChange == 0) {
        progress.beginBaking(disruption.changeNumber() + 1);
      }
    } else if (complete
        && release.targets().stream()
            .allMatch(target -> target.removed || progress.hasDesiredVersion(target))) {
      release.finishRollback();
    }
  }

  /**
   * Whether every target of the goal's steps, and in a rollback every target, runs what it should
   * and serves.
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
