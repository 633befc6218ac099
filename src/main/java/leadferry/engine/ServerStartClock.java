package leadferry.engine;

import java.util.function.DoubleSupplier;

/**
 * Converts the Unix time at which a server started to an instant of the monotonic clock, once for
 * each start. Later steps of the wall clock then have no effect on slow start.
 *
 * <p>The two clocks differ by {@code offset = Unix time - monotonic time}. Each start that
 * discovery notifies bounds the offset of discovery's clock in two ways. The server had started by
 * the time of the notice. It had not yet started when discovery last reported that nothing was
 * newer, apart from the delay that a notice may have.
 *
 * <pre>
 *   discovery says nothing newer      server starts      first notified at t
 *   |-------------- gap ---------------------------------|
 *        started - t  &lt;=  offset  &lt;=  started - t + gap + MAX_NOTICE_DELAY_MS
 * </pre>
 *
 * <p>The offset used is the smallest that was observed on this machine's clock, moved into the
 * bounds where necessary. The smallest offset makes servers look younger. An error in it therefore
 * costs a little service, and never overloads a server that is warming up. With correct clocks, the
 * bounds change nothing.
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
