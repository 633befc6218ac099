package leadferry.release;

/** Which way a release changes its targets. */
public enum ReleaseDirection implements StoredWord {
  /** From the previous version to the new one. */
  FORWARD("forward"),
  /** From the new version to the previous one. */
  ROLLBACK("back");

  private final String word;

  ReleaseDirection(String word) {
    this.word = word;
  }

  @Override
  public String word() {
    return word;
  }
}
