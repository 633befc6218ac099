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
  int goal = 1;

  /**
   * The change number of the fleet's state from which on all targets of these steps run what they
   * should and serve; 0 while some do not.
   */
  long bakingSince;

  /** Whether that has lasted for the step's baking time. */
  boolean baked;

  boolean isForward() {
    return direction == ReleaseDirection.FORWARD;
  }

  /** The index of the step that is baking or being changed, going forward. */
  int currentStep() {
    return goal - 1;
  }

  /** The version that a target is to run. */
  TargetVersion wantedVersion(ReleaseTarget target) {
    return target.step < goal ? TargetVersion.NEW : TargetVersion.PREVIOUS;
  }

  boolean isAsWanted(ReleaseTarget target) {
    return target.version == wantedVersion(target);
  }

  void beginBaking(long changeNumber) {
    bakingSince = changeNumber;
  }

  boolean isBaking() {
    return bakingSince > 0 && !baked;
  }

  void finishBaking() {
    baked = true;
  }

  void resetBaking() {
    bakingSince = 0;
    baked = false;
  }

  /** Takes the next step up. */
  void advance() {
    goal++;
  }

  /** Turns back, until only the first {@code steps} steps run the new version. */
  void rollBackTo(int steps) {
    direction = ReleaseDirection.ROLLBACK;
    goal = Math.min(goal, steps);
    resetBaking();
  }

  /** A rollback that an operator bounded has come to its step: what follows goes forward again. */
  void goForward() {
    direction = ReleaseDirection.FORWARD;
  }
}
