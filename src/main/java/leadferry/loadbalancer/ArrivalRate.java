package leadferry.loadbalancer;

/**
 * Estimates the rate of requests that arrive at this proxy and the share of them that is served.
 * The rate decays with a time constant of {@value #MEMORY_MILLIS} ms, so it falls during a pause in
 * the traffic.
 */
final class ArrivalRate {
  /** Time constant of the rate. A few seconds smooth out bursts and still follow a failover. */
  private static final double MEMORY_MILLIS = 3_000;

  /**
   * Lower bound of the served share. Without the bound, warming endpoints that all failed once
   * would never get a request again.
   */
  private static final double MIN_SERVED_SHARE = 0.05;

  /** Smoothing factor of the served share: covers about the last ten attempts. */
  private static final double SERVED_SMOOTHING = 0.1;

  private double perMilli;
  private double lastArrivalMillis;
  private double servedShare = 1;

  /** Counts a new request. */
  void onArrival(double nowMillis) {
    perMilli = perMilli(nowMillis) + 1 / MEMORY_MILLIS;
    lastArrivalMillis = nowMillis;
  }

  /**
   * Records the end of an attempt or a shed request; {@code isServed} states whether it was served.
   */
  void onOutcome(boolean isServed) {
    servedShare += SERVED_SMOOTHING * ((isServed ? 1 : 0) - servedShare);
  }

  /**
   * Returns the served requests per millisecond. In an overload, this is far below the arrival
   * rate.
   */
  double servedPerMilli(double nowMillis) {
    return perMilli(nowMillis) * Math.max(MIN_SERVED_SHARE, servedShare);
  }

  private double perMilli(double nowMillis) {
    return perMilli * Math.exp(-(nowMillis - lastArrivalMillis) / MEMORY_MILLIS);
  }
}
