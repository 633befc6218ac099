package leadferry.engine;

/**
 * Defines all bounds on retries of a failed accept(2). On Linux, accept(2) reports errors of the
 * next connection in the backlog (ECONNABORTED, EPROTO, ENETDOWN ...) and shortages of the system
 * (EMFILE, ENFILE, ENOBUFS, ENOMEM). Neither kind concerns the later connections in the backlog.
 *
 * <pre>
 *   immediate      4 attempts in a row, then the failure is reported
 *   backoff        5 ms | 10 ms | 20 ms ... 100 ms at most; 5 ms again after an accept
 *   before close   40 retries, 5 ms apart: 0.2 s
 * </pre>
 *
 * The backoff is the state of one listener, confined to its loop.
 */
public final class AcceptRetryPolicy {
  /** Time (ms) between two accept calls on a listener that is to be closed. */
  public static final long CLOSE_RETRY_MILLIS = 5;

  /** Number of consecutive failed accept calls after which a failure is reported. */
  static final int IMMEDIATE_ATTEMPTS = 4;

  private static final long FIRST_BACKOFF_MILLIS = 5;
  private static final long LONGEST_BACKOFF_MILLIS = 100;
  private static final int RETRIES_BEFORE_CLOSE = 40;

  private long nextBackoffMillis = FIRST_BACKOFF_MILLIS;

  /** Whether accept is retried immediately after {@code failuresInARow} consecutive failures. */
  static boolean shouldRetryImmediately(int failuresInARow) {
    return failuresInARow < IMMEDIATE_ATTEMPTS;
  }

  /**
   * Whether a listener that is to be closed retries accept, {@link #CLOSE_RETRY_MILLIS} later,
   * after {@code failures} failures.
   */
  public static boolean shouldRetryBeforeClose(int failures) {
    return failures <= RETRIES_BEFORE_CLOSE;
  }

  /**
   * Returns the pause (ms) of the listener after a reported failure. The pause after the next
   * failure is twice as long, at most 100 ms.
   */
  long nextBackoffMillis() {
    long current = nextBackoffMillis;
    nextBackoffMillis = Math.min(2 * current, LONGEST_BACKOFF_MILLIS);
    return current;
  }

  /** Resets the backoff after an accepted connection. */
  void onAccepted() {
    nextBackoffMillis = FIRST_BACKOFF_MILLIS;
  }
}
