package leadferry.release;

/** Which of a release's two versions a target runs, as far as that has been seen. */
public enum TargetVersion implements StoredWord {
  /** The version from before the release. */
  PREVIOUS("old"),
  /** The version that the release brings. */
  NEW("new"),
  /** Changed, or being changed, and not seen since; or a version that is neither. */
  UNKNOWN("unknown");

  private final String word;

  TargetVersion(String word) {
    this.word = word;
  }

  @Override
  public String word() {
    return word;
  }
}
