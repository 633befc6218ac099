package leadferry.engine;

import java.util.function.DoubleSupplier;

/**
 * Turns the Unix time at which a server started into an instant of the monotonic clock, once for
 * each start, so that slow start goes by it however the wall clock is stepped later.
 *
 * <p>The two clocks are {@code offset = Unix time - monotonic time} apart. Each start that is
 * notified bounds the offset of the discovery's clock: the server had started when it was notified,
 * and not longer before than since the discovery had last nothing newer to say, plus what a notice
 * may be late.
 *
 * <pre>
 *   discovery says nothing newer      server starts      first notified at t
 *   |-------------- gap ---------------------------------|
 *        started - t  &lt;=  offset  &lt;=  started - t + gap + LATEST_NOTICE_MS
 * </pre>
 *
 * Of the offsets that this machine's clock has shown, the least counts: it makes servers younger,
 * so an error in it costs a little service and never overloads a server that is warming up. In
 * order, with a clock that is right, the bounds change nothing.
 */
final class ServerStartClock {
  /**
   * What discovery has to tell counts as told so long (ms) later at the latest, by the protocol
   * page.
   */
  static final double MAX_NOTICE_DELAY_MS = 6_000;

  private final DoubleSupplier unixMs;
  private double leastOffset = Double.POSITIVE_INFINITY;
  private double lowerBound = Double.NEGATIVE_INFINITY;
  private double upperBound = Double.POSITIVE_INFINITY;
  private double upToDateAt = Double.NEGATIVE_INFINITY;

  /**
   * {@code unixMs} is this machine's wall clock, {@code now} (ms) the monotonic one at the moment.
   */
  ServerStartClock(DoubleSupplier unixMs, double now) {
    this.unixMs = unixMs;
    look(now);
  }

  private void look(double now) {
    leastOffset = Math.min(leastOffset, unixMs.getAsDouble() - now);
  }

  /** Discovery has told all that it has, at {@code now} (ms, monotonic). */
  void onUpToDate(double now) {
    upToDateAt = now;
  }

  /**
   * When (ms, monotonic, at least 0) a server started of which this is first notified {@code now}.
   */
  double startedAt(double startedUnixMs, double now) {
    look(now);
    double least = startedUnixMs - now;
    double most = least + (now - upToDateAt) + MAX_NOTICE_DELAY_MS;
    if (least > upperBound || most < lowerBound) {
      // The discovery's own clock was stepped: what it told before bounds nothing any more.
      lowerBound = Double.NEGATIVE_INFINITY;
      upperBound = Double.POSITIVE_INFINITY;
    }
    lowerBound = Math.max(lowerBound, least);
    upperBound = Math.min(upperBound, most);
    double offset = leastOffset > upperBound ? lowerBound : Math.max(lowerBound, leastOffset);
    return Math.max(0, startedUnixMs - offset);
  }
}
