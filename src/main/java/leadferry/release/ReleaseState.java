package leadferry.release;

/** Where a release as a whole stands. */
public enum ReleaseState implements StoredName {
  /** Targets are changed, forward or as a rollback. */
  RUNNING("running"),
  /** An operator stopped it; no new target goes out until it is resumed. */
  PAUSED("paused"),
  /** A halt condition or an operator stopped it; no new target goes out until it is resumed. */
  HALTED("halted"),
  /** All targets run the new version, and the last step's analysis let it pass. */
  COMPLETED("done"),
  /** All targets run the previous version again. */
  ROLLED_BACK("returned"),
  /** An operator gave it up as it stood. */
  ABANDONED("ended");

  private final String storedName;

  ReleaseState(String storedName) {
    this.storedName = storedName;
  }

  @Override
  public String storedName() {
    return storedName;
  }

  /** Whether drivers have nothing left to do. */
  public boolean isClosed() {
    return this == COMPLETED || this == ROLLED_BACK || this == ABANDONED;
  }
}
