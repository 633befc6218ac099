package leadferry.disruption;

/**
 * The two counters of the replicated state. They never decrease, and they are equal on all replicas
 * that have applied the same entries.
 */
final class StateRevision {
  private long version;
  private long changeNumber;

  /**
   * Returns the version, which grows with each change that members must apply. Members acknowledge
   * it in their reports.
   */
  long version() {
    return version;
  }

  /**
   * Returns the number of changes of any kind, which orders events and makes timer names unique.
   */
  long changeNumber() {
    return changeNumber;
  }

  /** Counts a change that members need not apply. */
  long advanceChange() {
    changeNumber++;
    return changeNumber;
  }

  /** Counts a change that members must apply. */
  long advanceVersion() {
    changeNumber++;
    version++;
    return version;
  }

  /** Replaces both counters by those of a snapshot. */
  void restore(long restoredVersion, long restoredChangeNumber) {
    version = restoredVersion;
    changeNumber = restoredChangeNumber;
  }
}
