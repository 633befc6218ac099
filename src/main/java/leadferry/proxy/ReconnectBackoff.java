package leadferry.proxy;

/**
 * The delay before a broken watch is opened anew: exponential up to a limit, with jitter.
 *
 * <p>A change made while no watch is open counts as notified all the same, so the limit is a part
 * of the drain's grace, which leaves the rest of it for the list to come.
 */
final class ReconnectBackoff {
  private static final long FIRST_MILLIS = 50;
  private static final long LIMIT_MILLIS = 500;

  /** The limit as a part of the drain's grace; jitter adds up to half as much again. */
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

  /** The next delay, from half to one and a half times the present step; the step doubles. */
  long nextDelayMillis() {
    long delayMillis = currentMillis / 2 + (long) (Math.random() * currentMillis);
    currentMillis = Math.min(2 * currentMillis, limitMillis);
    return delayMillis;
  }

  /** Begins again with the shortest delay. */
  void reset() {
    currentMillis = firstMillis;
  }
}
