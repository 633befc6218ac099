package leadferry.release;

/** Version that a target runs, relative to the two versions of a release, as last observed. */
public enum TargetVersion implements StoredName {
  /** The version before the release. */
  PREVIOUS("old"),
  /** The version that the release brings. */
  NEW("new"),
  /**
   * No version was observed since the last change began, or the observed version is neither of the
   * two.
   */
  UNKNOWN("unknown");

  private final String storedName;

  TargetVersion(String storedName) {
    this.storedName = storedName;
  }

  @Override
  public String storedName() {
    return storedName;
  }
}
