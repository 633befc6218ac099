package leadferry.release;

/**
 * Progress of a release: its direction, the steps that are to run the new version, and whether the
 * last of these steps has baked.
 *
 * <p>Invariant: a step has baked only if its baking has begun, and both are reset together.
 */
final class ReleaseProgress {
  ReleaseDirection direction = ReleaseDirection.FORWARD;

  /** Number of steps, from the first one on, that are to run the new version. */
  int goalStepCount = 1;

  /**
   * Change number of the fleet state since which all targets of the first {@code goalStepCount}
   * steps have served with their desired versions; 0 while a target does not.
   */
  long bakingSinceChange;

  /** Whether the baking time of the current step has passed. */
  boolean baked;

  boolean isForward() {
    return direction == ReleaseDirection.FORWARD;
  }

  /** Returns the index of the step that is being changed or is baking, going forward. */
  int currentStep() {
    return goalStepCount - 1;
  }

  /** Returns the version that a target is to run. */
  TargetVersion desiredVersion(ReleaseTarget target) {
    return target.step < goalStepCount ? TargetVersion.NEW : TargetVersion.PREVIOUS;
  }

  boolean hasDesiredVersion(ReleaseTarget target) {
    return target.version == desiredVersion(target);
  }

  void beginBaking(long changeNumber) {
    bakingSinceChange = changeNumber;
  }

  boolean isBaking() {
    return bakingSinceChange > 0 && !baked;
  }

  void finishBaking() {
    baked = true;
  }

  void resetBaking() {
    bakingSinceChange = 0;
    baked = false;
  }

  /** Proceeds to the next step. */
  void advance() {
    goalStepCount++;
  }

  /** Begins a rollback, after which only the first {@code steps} steps run the new version. */
  void rollBackTo(int steps) {
    direction = ReleaseDirection.ROLLBACK;
    goalStepCount = Math.min(goalStepCount, steps);
    resetBaking();
  }

  /** Sets the direction to forward after a rollback to the step that an operator named. */
  void resumeForward() {
    direction = ReleaseDirection.FORWARD;
  }
}
