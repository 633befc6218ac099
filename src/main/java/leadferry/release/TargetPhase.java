package leadferry.release;

/** Where one target of a release stands; {@link ReleaseTarget} holds the transitions. */
public enum TargetPhase implements StoredName {
  /** The release does nothing to it now. */
  IN_SERVICE("in"),
  /** It holds an eviction grant and is on its way out. */
  DRAINING("leaving"),
  /** It is out, and the command that changes it may have run. */
  CHANGING("acting"),
  /** Its grant was given back: it counts as unavailable until it serves as before. */
  RESTORING("coming");

  private final String storedName;

  TargetPhase(String storedName) {
    this.storedName = storedName;
  }

  @Override
  public String storedName() {
    return storedName;
  }
}
