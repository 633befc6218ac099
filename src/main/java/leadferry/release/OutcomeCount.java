package leadferry.release;

/**
 * Number of finished requests, and how many of them had a bad outcome.
 *
 * @param total number of finished requests
 * @param bad number of requests that failed, were rejected or finished late
 */
public record OutcomeCount(long total, long bad) {
  /** Count of no requests. */
  public static final OutcomeCount NONE = new OutcomeCount(0, 0);

  /** Returns the sum of both counts. */
  public OutcomeCount plus(OutcomeCount other) {
    return new OutcomeCount(total + other.total, bad + other.bad);
  }

  /**
   * Returns the requests counted since an earlier reading. A count that is below the earlier one
   * has restarted from 0 and is returned unchanged.
   */
  public OutcomeCount since(OutcomeCount earlier) {
    return total < earlier.total || bad < earlier.bad
        ? this
        : new OutcomeCount(total - earlier.total, bad - earlier.bad);
  }

  /** Returns the share of bad outcomes, 0 to 1; 0 without requests. */
  double badShare() {
    return total == 0 ? 0 : (double) bad / total;
  }
}
