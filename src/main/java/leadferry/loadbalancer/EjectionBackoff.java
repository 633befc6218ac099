package leadferry.loadbalancer;

import java.util.SplittableRandom;

/**
 * Computes how long an endpoint stays ejected. Consecutive ejections get longer. Afterwards the
 * endpoint is half-open: it gets trial requests until it responds to one. Points in time are
 * milliseconds; durations are multiples of the shortest latency objective.
 */
final class EjectionBackoff {
  /** Length of the first ejection. Each consecutive one is twice as long. */
  private static final double FIRST_EJECTION_OBJECTIVES = 2.5;

  /** Time without an ejection after which the next one counts as the first again. */
  private static final double RESET_OBJECTIVES = 75;

  /** Minimum random factor of the length of an ejection. */
  private static final double MIN_JITTER = 0.75;

  /**
   * Range of the random factor above {@link #MIN_JITTER}. Jitter keeps many proxies from trying an
   * endpoint at the same time.
   */
  private static final double JITTER_SPAN = 0.5;

  private int consecutiveEjections;
  private double lastEjectionMillis = Double.NEGATIVE_INFINITY;

  /** End of the ejection: the endpoint gets no requests before this time. */
  double ejectedUntilMillis;

  /**
   * Whether the endpoint is half-open after the ejection: it gets trial requests until it responds.
   */
  boolean isHalfOpen;

  /**
   * Starts an ejection of at most {@code maxObjectives} shortest latency objectives, before jitter.
   */
  void eject(
      double nowMillis, double objectiveMillis, double maxObjectives, SplittableRandom random) {
    consecutiveEjections =
        nowMillis - lastEjectionMillis > objectiveMillis * RESET_OBJECTIVES
            ? 0
            : consecutiveEjections;
    double lengthMillis =
        objectiveMillis
            * Math.min(
                maxObjectives, FIRST_EJECTION_OBJECTIVES * Math.pow(2, consecutiveEjections++));
    lastEjectionMillis = nowMillis;
    ejectedUntilMillis =
        nowMillis + lengthMillis * (MIN_JITTER + JITTER_SPAN * random.nextDouble());
    isHalfOpen = true;
  }
}
