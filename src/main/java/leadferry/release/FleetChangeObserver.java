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
  private final LongSupplier actions;

  /**
   * For one entry.
   *
   * @param actions gives numbers of actions
   */
  FleetChangeObserver(Release release, DisruptionState disruption, LongSupplier actions) {
    this.release = release;
    this.plan = release.plan;
    this.progress = release.progress;
    this.disruption = disruption;
    this.actions = actions;
  }

  /**
   * Takes note of what the last entry has changed in the fleet.
   *
   * @param newest whether no later release has any of its targets: only then a completed one still
   *     counts
   */
  void observe(boolean newest) {
    boolean settled =
        release.state == ReleaseState.ABANDONED
            || release.state == ReleaseState.ROLLED_BACK
            || (release.state == ReleaseState.COMPLETED && !newest);
    if (settled) {
      return;
    }
    Set<String> known = disruption.byName(plan.targetType()).keySet();
    for (ReleaseTarget target : release.targets()) {
      if (target.phase == TargetPhase.RESTORING && isAvailable(target)) {
        target.returnToService(++release.returns);
      }
      target.gone = target.isInService() && !known.contains(target.name);
      noteOwnVersion(target);
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
      followProgress();
    }
  }

  /** A completed release takes up a target that came back with another version. */
  private void reopenForWrongVersion() {
    release.targets().stream()
        .filter(target -> !target.gone && target.version != TargetVersion.NEW)
        .findFirst()
        .ifPresent(
            target ->
                release.become(
                    ReleaseState.RUNNING, target.name + " came back with " + target.found));
  }

  /**
   * A proxy in service that tells another version than it was given was down while it was changed,
   * or was changed by somebody else.
   */
  private void noteOwnVersion(ReleaseTarget target) {
    if (plan.targetType() != TargetType.PROXY || !target.isInService()) {
      return;
    }
    String told = disruption.version(target.name, -1);
    TargetVersion version = plan.classify(told);
    if (told.isEmpty() || told.equals(DisruptionState.NO_VERSION) || version == target.version) {
      return;
    }
    target.changeVersion(version, told);
    if (plan.policies().holdWrongVersions() && !progress.isAsWanted(target)) {
      String grant =
          disruption.hold(
              plan.targetType(), target.name, "release " + plan.name(), "came back with " + told);
      if (!grant.isEmpty()) {
        target.holdOut(grant, actions.getAsLong(), told);
      }
    }
  }

  private void followProgress() {
    boolean complete = isCurrentGoalReached();
    if (progress.isForward()) {
      if (!complete) {
        progress.resetBaking();
      } else if (progress.bakingSince == 0) {
        progress.beginBaking(disruption.changes() + 1);
      }
    } else if (complete
        && release.targets().stream()
            .allMatch(target -> target.gone || progress.isAsWanted(target))) {
      release.finishRollback();
    }
  }

  /**
   * Whether every target of the goal's steps, and in a rollback every target, runs what it should
   * and serves.
   */
  private boolean isCurrentGoalReached() {
    Set<String> lost = disruption.lost();
    return release.targets().stream()
        .filter(target -> !target.gone)
        .filter(target -> !progress.isForward() || target.step < progress.goal)
        .filter(
            target ->
                !plan.policies().skipLostTargets()
                    || !target.isInService()
                    || !lost.contains(target.name))
        .allMatch(
            target -> target.isInService() && progress.isAsWanted(target) && isAvailable(target));
  }

  private boolean isAvailable(ReleaseTarget target) {
    return disruption.out(plan.targetType(), target.name) == null;
  }
}
