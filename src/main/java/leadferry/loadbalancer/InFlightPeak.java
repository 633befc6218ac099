package leadferry.loadbalancer;

/** Tracks the recent peak of this proxy's attempts in flight over all endpoints. */
final class InFlightPeak {
  /**
   * Time constant of the decay of the peak. It is long because an {@link EndpointSubset} that
   * shrinks and grows again costs connections.
   */
  private static final double MEMORY_MILLIS = 15_000;

  private int inFlight;
  private double peak;
  private double peakAtMillis;

  /** Changes the number of attempts in flight by {@code change}. */
  void onChange(int change, double nowMillis) {
    inFlight += change;
    peak = Math.max(inFlight, peak(nowMillis));
    peakAtMillis = nowMillis;
  }

  /**
   * Returns the peak, which decays while fewer attempts are in flight; at least the number in
   * flight now.
   */
  double peak(double nowMillis) {
    return Math.max(inFlight, peak * Math.exp(-(nowMillis - peakAtMillis) / MEMORY_MILLIS));
  }
}
