package leadferry.loadbalancer;

import java.util.SplittableRandom;

/**
 * How long an endpoint stays ejected: longer each time in a row, then trials until one is answered.
 * Times are milliseconds, lengths are measured in aims (the shortest latency objective).
 */
final class EjectionBackoff {
  /** Length of the first ejection; each further one in a row is twice as long. */
  private static final double FIRST_EJECTION_OBJECTIVES = 2.5;

  /** After this long without an ejection the next counts as the first again. */
  private static final double RESET_OBJECTIVES = 75;

  /** Jitter: a length is drawn from this share of the nominal one ... */
  private static final double MIN_JITTER = 0.75;

  /** ... to this much more. Spread, so that many proxies do not try an endpoint at once. */
  private static final double JITTER_SPAN = 0.5;

  private int consecutiveEjections;
  private double lastEjectionMillis = Double.NEGATIVE_INFINITY;

  /** The endpoint gets nothing before this time. */
  double ejectedUntilMillis;

  /** Whether the endpoint, after that, is half-open: on trial until it answers. */
  boolean isHalfOpen;

  /** Begins an ejection of at most {@code mostAims}. */
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
