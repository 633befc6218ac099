package leadferry.disruption;

/**
 * The two counters of the agreed state. Each is the same on every replica that has applied as many
 * entries, and never goes back.
 */
final class StateRevision {
  private long version;
  private long changeNumber;

  /** Grows with each change of what members go by; they acknowledge it in their reports. */
  long version() {
    return version;
  }

  /** Grows with each change of any kind; orders events and makes names of timers unique. */
  long changeNumber() {
    return changeNumber;
  }

  /** Counts a change that members need not know. */
  long advanceChange() {
    changeNumber++;
    return changeNumber;
  }

  /** Counts a change that members must know. */
  long advanceVersion() {
    changeNumber++;
    version++;
    return version;
  }

  /** Takes the place of both counters. */
  void restore(long restoredVersion, long restoredChangeNumber) {
    version = restoredVersion;
    changeNumber = restoredChangeNumber;
  }
}
