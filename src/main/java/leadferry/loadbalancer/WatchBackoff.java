package leadferry.loadbalancer;

import java.util.SplittableRandom;

/**
 * Computes when to call discovery again after its watch failed. Waits grow exponentially with
 * jitter, because the capacity of discovery is small, up to the limit of {@link DiscoveryTiming} or
 * to that in the settings, whichever is shorter.
 */
final class WatchBackoff {
  /** Length of the first wait, before jitter. Each further wait is twice as long. */
  private static final double FIRST_WAIT_MILLIS = 500;

  /** Minimum random factor of a wait. */
  private static final double MIN_JITTER = 0.5;

  /** Maximum random factor of a wait. */
  private static final double MAX_JITTER = 1.5;

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
    double limitMillis = limitMillis();
    double minimumMillis =
        Math.min(
            MIN_JITTER * nextWaitMillis,
            limitMillis - Math.min(DiscoveryTiming.CALL_JITTER_MILLIS, limitMillis / 2));
    double maximumMillis = Math.min(MAX_JITTER * nextWaitMillis, limitMillis);
    nextWaitMillis = Math.min(2 * nextWaitMillis, 2 * limitMillis);
    return minimumMillis + random.nextDouble() * (maximumMillis - minimumMillis);
  }

  /** Returns the maximum length of a wait in milliseconds. */
  private double limitMillis() {
    double settingsMillis = settings.current().warmUpRules().maxWatchDelayMillis();
    return settingsMillis > 0
        ? Math.min(DiscoveryTiming.MAX_CALL_INTERVAL_MILLIS, settingsMillis / 2)
        : DiscoveryTiming.MAX_CALL_INTERVAL_MILLIS;
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
