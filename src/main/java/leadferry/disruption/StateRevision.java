package leadferry.disruption;

/**
 * The two counters of the agreed state. Each is the same on every replica that has applied as many
 * entries, and never goes back.
 */
final class StateRevision {
  private long version;
  private long change;

  /** Grows with each change of what members go by; they acknowledge it in their reports. */
  long version() {
    return version;
  }

  /** Grows with each change of any kind; orders events and makes names of timers unique. */
  long change() {
    return change;
  }

  /** Counts a change that members need not know. */
  long advanceChange() {
    change++;
    return change;
  }

  /** Counts a change that members must know. */
  long advanceVersion() {
    change++;
    version++;
    return version;
  }

  /** Takes the place of both counters. */
  void restore(long restoredVersion, long restoredChange) {
    version = restoredVersion;
    change = restoredChange;
  }
}
