package leadferry.loadbalancer;

/**
 * Time limits between a change at discovery and its effect in a client proxy, in milliseconds. All
 * of them follow from one rule: a change has to be in effect {@link #NOTIFICATION_DEADLINE_MILLIS}
 * after discovery had it and could be reached.
 *
 * <pre>
 *   change       next call begins, at the latest            answer, at the latest
 *   |------------------------|------------------------------------|
 *   0             MAX_CALL_INTERVAL_MILLIS        NOTIFICATION_DEADLINE_MILLIS
 * </pre>
 *
 * <p>Until discovery has answered, calls begin at most {@link #MAX_CALL_INTERVAL_MILLIS} apart,
 * whatever became of the earlier ones. A call without an answer stays open beside the later ones,
 * because discovery may work through its calls in turn and a new call would start at the end of the
 * queue; and it holds up no other call, because it may never be answered.
 */
public final class DiscoveryTiming {
  /**
   * Time after which a change counts as notified, from the moment at which discovery has it and can
   * be reached.
   */
  public static final double NOTIFICATION_DEADLINE_MILLIS = 6_000;

  /** Interval at which discovery sends data on a watch without changes. */
  private static final double KEEP_ALIVE_INTERVAL_MILLIS = 2_000;

  /** Delay of such data that does not yet count as silence. */
  private static final double KEEP_ALIVE_TOLERANCE_MILLIS = 500;

  /**
   * Maximum time from the last message of discovery, or from the begin of a call that has no
   * answer, to the begin of the next call. Shorter intervals would take a healthy watch for a
   * silent one and increase the load of discovery; longer ones leave less time for the answer.
   */
  public static final double MAX_CALL_INTERVAL_MILLIS =
      KEEP_ALIVE_INTERVAL_MILLIS + KEEP_ALIVE_TOLERANCE_MILLIS;

  /**
   * Width of the random part of each interval. Client proxies that lost discovery at the same time
   * drift apart by it.
   */
  public static final double CALL_JITTER_MILLIS = 500;

  /** Minimum interval between calls once the backoff has reached its limit. */
  public static final double MIN_CALL_INTERVAL_MILLIS =
      MAX_CALL_INTERVAL_MILLIS - CALL_JITTER_MILLIS;

  private DiscoveryTiming() {}
}
