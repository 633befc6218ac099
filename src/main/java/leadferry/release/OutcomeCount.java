package leadferry.release;

/**
 * How many requests came to an end, and how many of them badly.
 *
 * @param total all outcomes
 * @param bad those that failed, were rejected or came late
 */
public record OutcomeCount(long total, long bad) {
  /** Nothing counted. */
  public static final OutcomeCount NONE = new OutcomeCount(0, 0);

  /** Both together. */
  public OutcomeCount plus(OutcomeCount other) {
    return new OutcomeCount(total + other.total, bad + other.bad);
  }

  /** What was counted since an earlier reading; a count that went back began anew. */
  public OutcomeCount since(OutcomeCount earlier) {
    return total < earlier.total || bad < earlier.bad
        ? this
        : new OutcomeCount(total - earlier.total, bad - earlier.bad);
  }

  /** The share of bad outcomes, 0 to 1; 0 where nothing was counted. */
  double badShare() {
    return total == 0 ? 0 : (double) bad / total;
  }
}
