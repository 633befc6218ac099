package leadferry.release;

/** Where a release as a whole stands. */
public enum ReleaseState implements StoredWord {
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

  private final String word;

  ReleaseState(String word) {
    this.word = word;
  }

  @Override
  public String word() {
    return word;
  }

  /** Whether drivers have nothing left to do. */
  public boolean isOver() {
    return this == COMPLETED || this == ROLLED_BACK || this == ABANDONED;
  }
}
