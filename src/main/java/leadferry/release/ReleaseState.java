package leadferry.release;

/** State of a release as a whole. */
public enum ReleaseState implements StoredName {
  /** Targets are changed, forward or in a rollback. */
  RUNNING("running"),
  /** An operator paused the release. No further target is drained until it is resumed. */
  PAUSED("paused"),
  /**
   * A halt condition or an operator halted the release. No further target is drained until it is
   * resumed.
   */
  HALTED("halted"),
  /** All targets run the new version, and the last step has passed. */
  COMPLETED("done"),
  /** All targets run the previous version again. */
  ROLLED_BACK("returned"),
  /** An operator abandoned the release before its end. */
  ABANDONED("ended");

  private final String storedName;

  ReleaseState(String storedName) {
    this.storedName = storedName;
  }

  @Override
  public String storedName() {
    return storedName;
  }

  /** Returns whether the release has ended and needs no driver. */
  public boolean isClosed() {
    return this == COMPLETED || this == ROLLED_BACK || this == ABANDONED;
  }
}
