package leadferry.engine;

/**
 * How a failed accept(2) is tried again; the one place for its bounds. Linux reports there what
 * befell the connection that was next (ECONNABORTED, EPROTO, ENETDOWN ...), and shortages of its
 * own (EMFILE, ENFILE, ENOBUFS, ENOMEM); neither says anything of the connections that stand behind
 * it.
 *
 * <pre>
 *   at once        4 attempts in a row, then the failure is reported
 *   backoff        5 ms | 10 ms | 20 ms ... 100 ms at most; 5 ms again after an accept
 *   before close   40 retries, 5 ms apart: 0.2 s
 * </pre>
 *
 * The backoff is the state of one listener, confined to its loop.
 */
public final class AcceptRetryPolicy {
  /** Time (ms) between two looks at the backlog of a listener that is to be closed. */
  public static final long CLOSE_RETRY_MILLIS = 5;

  /** Attempts in a row before a failure is reported. */
  static final int IMMEDIATE_ATTEMPTS = 4;

  private static final long FIRST_BACKOFF_MILLIS = 5;
  private static final long LONGEST_BACKOFF_MILLIS = 100;
  private static final int RETRIES_BEFORE_CLOSE = 40;

  private long nextBackoffMillis = FIRST_BACKOFF_MILLIS;

  /** Whether accept is tried again at once after so many failures in a row. */
  static boolean shouldRetryImmediately(int failuresInARow) {
    return failuresInARow < IMMEDIATE_ATTEMPTS;
  }

  /**
   * Whether a listener that is to be closed looks at its backlog again, {@link #CLOSE_RETRY_MILLIS}
   * later, after so many looks that failed.
   */
  public static boolean shouldRetryBeforeClose(int failedLooks) {
    return failedLooks <= RETRIES_BEFORE_CLOSE;
  }

  /** How long (ms) the listener waits after a failure that was reported; the next is longer. */
  long nextBackoffMillis() {
    long current = nextBackoffMillis;
    nextBackoffMillis = Math.min(2 * current, LONGEST_BACKOFF_MILLIS);
    return current;
  }

  /** A connection was accepted: the next backoff is the first again. */
  void onAccepted() {
    nextBackoffMillis = FIRST_BACKOFF_MILLIS;
  }
}
