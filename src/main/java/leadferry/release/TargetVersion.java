package leadferry.release;

/** Which of a release's two versions a target runs, as far as that has been seen. */
public enum TargetVersion implements StoredName {
  /** The version from before the release. */
  PREVIOUS("old"),
  /** The version that the release brings. */
  NEW("new"),
  /** Changed, or being changed, and not seen since; or a version that is neither. */
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
