package leadferry.loadbalancer;

import java.util.SplittableRandom;

/**
 * Computes when to call discovery again after its watch failed. Waits grow exponentially with
 * jitter, because the capacity of discovery is small, up to the limit in the settings.
 */
final class WatchBackoff {
  /** Length of the first wait, before jitter. Each further wait is twice as long. */
  private static final double FIRST_WAIT_MILLIS = 500;

  /** Minimum random factor of a wait. The maximum is larger by 1. */
  private static final double MIN_JITTER = 0.5;

  private final LiveSettings settings;
  private final SplittableRandom random;
  private double nextWaitMillis = FIRST_WAIT_MILLIS;
  private boolean isWaiting;

  WatchBackoff(LoadBalancerContext context) {
    this.settings = context.settings;
    this.random = context.random;
  }

  /**
   * Returns whether a failure now should start a wait: no wait is running, and discovery is
   * watched.
   */
  boolean shouldWait() {
    return settings.current().shouldWatchDiscovery() && !isWaiting;
  }

  /** Starts a wait and returns its length in milliseconds. */
  double startWaitMillis() {
    isWaiting = true;
    double waitMillis = nextWaitMillis * (MIN_JITTER + random.nextDouble());
    nextWaitMillis =
        Math.min(
            2 * nextWaitMillis,
            Math.max(1, settings.current().warmUpRules().maxWatchDelayMillis() / 2));
    return waitMillis;
  }

  /** Ends the wait. */
  void onTimer() {
    isWaiting = false;
  }

  /** Resets the backoff after discovery has sent a list. */
  void reset() {
    nextWaitMillis = FIRST_WAIT_MILLIS;
  }
}
