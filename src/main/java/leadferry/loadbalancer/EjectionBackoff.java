package leadferry.loadbalancer;

import java.util.SplittableRandom;

/**
 * How long an endpoint stays ejected: longer each time in a row, then trials until one is answered.
 * Times are milliseconds, lengths are measured in aims (the shortest latency objective).
 */
final class EjectionBackoff {
  /** Length of the first ejection; each further one in a row is twice as long. */
  private static final double FIRST_AIMS = 2.5;

  /** After this long without an ejection the next counts as the first again. */
  private static final double FORGET_AIMS = 75;

  /** Jitter: a length is drawn from this share of the nominal one ... */
  private static final double LEAST_JITTER = 0.75;

  /** ... to this much more. Spread, so that many proxies do not try an endpoint at once. */
  private static final double JITTER_SPAN = 0.5;

  private int inARow;
  private double lastBeganMillis = Double.NEGATIVE_INFINITY;

  /** The endpoint gets nothing before this time. */
  double untilMillis;

  /** Whether the endpoint, after that, is half-open: on trial until it answers. */
  boolean onTrial;

  /** Begins an ejection of at most {@code mostAims}. */
  void begin(double nowMillis, double aimMillis, double mostAims, SplittableRandom random) {
    inARow = nowMillis - lastBeganMillis > aimMillis * FORGET_AIMS ? 0 : inARow;
    double lengthMillis = aimMillis * Math.min(mostAims, FIRST_AIMS * Math.pow(2, inARow++));
    lastBeganMillis = nowMillis;
    untilMillis = nowMillis + lengthMillis * (LEAST_JITTER + JITTER_SPAN * random.nextDouble());
    onTrial = true;
  }
}
