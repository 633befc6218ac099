package leadferry.engine;

import java.util.function.DoubleSupplier;

/**
 * Converts the Unix time at which a server started to an instant of the monotonic clock, once for
 * each start. Slow start is then independent of later steps of the wall clock.
 *
 * <p>The two clocks differ by {@code offset = Unix time - monotonic time}. Each notified start
 * bounds the offset of discovery's clock. The server had started when it was notified. It had not
 * started longer before the notification than discovery's last report of nothing newer, plus the
 * delay that a notice may have.
 *
 * <pre>
 *   discovery says nothing newer      server starts      first notified at t
 *   |-------------- gap ---------------------------------|
 *        started - t  &lt;=  offset  &lt;=  started - t + gap + MAX_NOTICE_DELAY_MS
 * </pre>
 *
 * <p>Of the offsets observed on this machine's clock, the smallest is used. It makes servers look
 * younger, so an error in it costs a little service and never overloads a server that is warming
 * up. With correct clocks, the bounds change nothing.
 */
final class ServerStartClock {
  /** Longest delay (ms) of a notice from discovery, according to the protocol documentation. */
  static final double MAX_NOTICE_DELAY_MS = 6_000;

  private final DoubleSupplier unixMs;
  private double leastOffset = Double.POSITIVE_INFINITY;
  private double lowerBound = Double.NEGATIVE_INFINITY;
  private double upperBound = Double.POSITIVE_INFINITY;
  private double upToDateAt = Double.NEGATIVE_INFINITY;

  /**
   * Creates a clock; {@code unixMs} reads this machine's wall clock, and {@code now} (ms) is the
   * current time of the monotonic clock.
   */
  ServerStartClock(DoubleSupplier unixMs, double now) {
    this.unixMs = unixMs;
    observeOffset(now);
  }

  private void observeOffset(double now) {
    leastOffset = Math.min(leastOffset, unixMs.getAsDouble() - now);
  }

  /**
   * Records that discovery has reported everything that it knew at {@code now} (ms, monotonic
   * clock).
   */
  void onUpToDate(double now) {
    upToDateAt = now;
  }

  /**
   * Returns the start (ms, monotonic clock, at least 0) of a server that is first notified at
   * {@code now}.
   */
  double startedAt(double startedUnixMs, double now) {
    observeOffset(now);
    double least = startedUnixMs - now;
    double most = least + (now - upToDateAt) + MAX_NOTICE_DELAY_MS;
    if (least > upperBound || most < lowerBound) {
      // Discovery's own clock was stepped: earlier notices bound nothing any more.
      lowerBound = Double.NEGATIVE_INFINITY;
      upperBound = Double.POSITIVE_INFINITY;
    }
    lowerBound = Math.max(lowerBound, least);
    upperBound = Math.min(upperBound, most);
    double offset = leastOffset > upperBound ? lowerBound : Math.max(lowerBound, leastOffset);
    return Math.max(0, startedUnixMs - offset);
  }
}
