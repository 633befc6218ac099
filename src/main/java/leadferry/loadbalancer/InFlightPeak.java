package leadferry.loadbalancer;

/** The recent peak of this proxy's attempts in flight, over all endpoints. */
final class InFlightPeak {
  /** Time constant of the peak: a subset that shrinks and grows again costs connections. */
  private static final double MEMORY_MILLIS = 15_000;

  private int inFlight;
  private double peak;
  private double peakAtMillis;

  /** The number of attempts in flight has changed by {@code change}. */
  void onChange(int change, double nowMillis) {
    inFlight += change;
    peak = Math.max(inFlight, peak(nowMillis));
    peakAtMillis = nowMillis;
  }

  /** The peak, fading while fewer are in flight; at least the number in flight now. */
  double peak(double nowMillis) {
    return Math.max(inFlight, peak * Math.exp(-(nowMillis - peakAtMillis) / MEMORY_MILLIS));
  }
}
