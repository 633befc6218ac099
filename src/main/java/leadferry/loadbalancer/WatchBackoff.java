package leadferry.loadbalancer;

import java.util.SplittableRandom;

/**
 * When is discovery asked again after its watch failed? Later each time, at chance, as discovery is
 * scarce, but never past what the settings allow.
 */
final class WatchBackoff {
  /** The first wait; each further one is twice as long. */
  private static final double FIRST_WAIT_MILLIS = 500;

  /** Jitter: a wait is drawn from this share of the nominal one to one more. */
  private static final double MIN_JITTER = 0.5;

  private final LiveSettings settings;
  private final SplittableRandom random;
  private double nextWaitMillis = FIRST_WAIT_MILLIS;
  private boolean isWaiting;

  WatchBackoff(LoadBalancerContext context) {
    this.settings = context.settings;
    this.random = context.random;
  }

  /** Whether a failure now should begin a wait: one has not begun, and there is to be a watch. */
  boolean shouldWait() {
    return settings.current().shouldWatchDiscovery() && !isWaiting;
  }

  /** Begins a wait and gives its length. */
  double startWaitMillis() {
    isWaiting = true;
    double waitMillis = nextWaitMillis * (MIN_JITTER + random.nextDouble());
    nextWaitMillis =
        Math.min(
            2 * nextWaitMillis,
            Math.max(1, settings.current().warmUpRules().maxWatchDelayMillis() / 2));
    return waitMillis;
  }

  /** The wait is over. */
  void onTimer() {
    isWaiting = false;
  }

  /** Discovery has sent a list. */
  void reset() {
    nextWaitMillis = FIRST_WAIT_MILLIS;
  }
}
