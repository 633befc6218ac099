package leadferry.proxy;

/**
 * Computes the delay before a broken watch is opened again: exponential up to a limit, with jitter.
 *
 * <p>A change made while no watch is open counts as notified all the same. The limit is therefore a
 * fraction of the drain grace, and the rest of the grace remains for receiving the list.
 */
final class ReconnectBackoff {
  private static final long FIRST_MILLIS = 50;
  private static final long LIMIT_MILLIS = 500;

  /** Limit as a fraction of the drain grace; jitter adds up to half as much again. */
  private static final double LIMIT_GRACE_FRACTION = 0.25;

  private final long firstMillis;
  private final long limitMillis;
  private long currentMillis;

  ReconnectBackoff(double drainGraceMillis) {
    limitMillis =
        Math.max(1, (long) Math.min(LIMIT_MILLIS, LIMIT_GRACE_FRACTION * drainGraceMillis));
    firstMillis = Math.min(FIRST_MILLIS, limitMillis);
    currentMillis = firstMillis;
  }

  /** Returns the next delay, between 0.5 and 1.5 times the present step, and doubles the step. */
  long nextDelayMillis() {
    long delayMillis = currentMillis / 2 + (long) (Math.random() * currentMillis);
    currentMillis = Math.min(2 * currentMillis, limitMillis);
    return delayMillis;
  }

  /** Restarts with the shortest delay. */
  void reset() {
    currentMillis = firstMillis;
  }
}
