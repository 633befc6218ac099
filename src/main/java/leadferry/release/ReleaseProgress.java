package leadferry.release;

/**
 * How far a release has come: its direction, the steps that are to run the new version, and whether
 * the last of them has baked.
 *
 * <p>Invariant: a step has baked only if it has begun to, and both end together.
 */
final class ReleaseProgress {
  ReleaseDirection direction = ReleaseDirection.FORWARD;

  /** How many steps, from the first one on, are to run the new version. */
  int goalStepCount = 1;

  /**
   * The change number of the fleet's state from which on all targets of these steps run what they
   * should and serve; 0 while some do not.
   */
  long bakingSinceChange;

  /** Whether that has lasted for the step's baking time. */
  boolean baked;

  boolean isForward() {
    return direction == ReleaseDirection.FORWARD;
  }

  /** The index of the step that is baking or being changed, going forward. */
  int currentStep() {
    return goalStepCount - 1;
  }

  /** The version that a target is to run. */
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

  /** Takes the next step up. */
  void advance() {
    goalStepCount++;
  }

  /** Turns back, until only the first {@code steps} steps run the new version. */
  void rollBackTo(int steps) {
    direction = ReleaseDirection.ROLLBACK;
    goalStepCount = Math.min(goalStepCount, steps);
    resetBaking();
  }

  /** A rollback that an operator bounded has come to its step: what follows goes forward again. */
  void resumeForward() {
    direction = ReleaseDirection.FORWARD;
  }
}
