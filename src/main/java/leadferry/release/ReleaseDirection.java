package leadferry.release;

/** Direction in which a release changes its targets. */
public enum ReleaseDirection implements StoredName {
  /** From the previous version to the new one. */
  FORWARD("forward"),
  /** From the new version to the previous one. */
  ROLLBACK("back");

  private final String storedName;

  ReleaseDirection(String storedName) {
    this.storedName = storedName;
  }

  @Override
  public String storedName() {
    return storedName;
  }
}
