package leadferry.loadbalancer;

/**
 * How many requests come to this proxy, and which part of them is served. The rate fades with a
 * time constant of {@value #MEMORY_MILLIS} ms, so that a pause in the traffic lowers it.
 */
final class ArrivalRate {
  /** Time constant of the rate: a few seconds even out bursts and still follow a failover. */
  private static final double MEMORY_MILLIS = 3_000;

  /** The least share taken to be served: else a warming fleet that fails once is never tried. */
  private static final double MIN_SERVED_SHARE = 0.05;

  /** Smoothing of the served share: about the last ten attempts. */
  private static final double SERVED_SMOOTHING = 0.1;

  private double perMilli;
  private double lastArrivalMillis;
  private double servedShare = 1;

  /** A request has come. */
  void onArrival(double nowMillis) {
    perMilli = perMilli(nowMillis) + 1 / MEMORY_MILLIS;
    lastArrivalMillis = nowMillis;
  }

  /** An attempt has ended, or a request was shed; {@code served} tells whether it was of use. */
  void onOutcome(boolean isServed) {
    servedShare += SERVED_SMOOTHING * ((isServed ? 1 : 0) - servedShare);
  }

  /** Requests per millisecond that get served: in an overload far fewer than those that come. */
  double servedPerMilli(double nowMillis) {
    return perMilli(nowMillis) * Math.max(MIN_SERVED_SHARE, servedShare);
  }

  private double perMilli(double nowMillis) {
    return perMilli * Math.exp(-(nowMillis - lastArrivalMillis) / MEMORY_MILLIS);
  }
}
