package leadferry.loadbalancer;

import java.util.SplittableRandom;

/**
 * When is discovery asked again after its watch failed? Later each time, at chance, as discovery is
 * scarce, but never past what the settings allow.
 */
final class WatchBackoff {
  /** The first wait; each further one is twice as long. */
  private static final double FIRST_MILLIS = 500;

  /** Jitter: a wait is drawn from this share of the nominal one to one more. */
  private static final double LEAST_JITTER = 0.5;

  private final LiveSettings settings;
  private final SplittableRandom random;
  private double nextMillis = FIRST_MILLIS;
  private boolean pending;

  WatchBackoff(LoadBalancerContext context) {
    this.settings = context.settings;
    this.random = context.random;
  }

  /** Whether a failure now should begin a wait: one has not begun, and there is to be a watch. */
  boolean shouldWait() {
    return settings.now().mustFollow() && !pending;
  }

  /** Begins a wait and gives its length. */
  double beginMillis() {
    pending = true;
    double waitMillis = nextMillis * (LEAST_JITTER + random.nextDouble());
    nextMillis = Math.min(2 * nextMillis, Math.max(1, settings.now().rules().askWithin() / 2));
    return waitMillis;
  }

  /** The wait is over. */
  void onTimer() {
    pending = false;
  }

  /** Discovery has sent a list. */
  void reset() {
    nextMillis = FIRST_MILLIS;
  }
}
