package leadferry.release;

/** Phase of a target in a release; {@link ReleaseTarget} holds the transitions. */
public enum TargetPhase implements StoredName {
  /** The release does not work on the target now. */
  IN_SERVICE("in"),
  /** The target holds an eviction grant and is being drained. */
  DRAINING("leaving"),
  /** The target is out of service, and the command that changes it may have run. */
  CHANGING("acting"),
  /** The grant was given back. The target counts as unavailable until it serves again. */
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
