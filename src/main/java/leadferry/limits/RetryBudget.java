package leadferry.limits;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A limit on retries that the operator has configured. Each request earns a fraction of a retry,
 * saved up to a burst. The budget can only deny a retry that the load balancer requests: the load
 * balancer has its own {@code loadbalancer.RetryBudget}, and both must allow a retry. Safe for use
 * by many threads.
 */
public final class RetryBudget {
  private static final long UNITS_PER_RETRY = 1_000_000;

  private final long unitsPerRequest;
  private final long maxUnits;
  private final AtomicLong savedUnits;

  /**
   * Creates a full budget.
   *
   * @param ratio retries earned by each request
   * @param burst maximum number of saved retries
   */
  public RetryBudget(double ratio, double burst) {
    this.unitsPerRequest = (long) (ratio * UNITS_PER_RETRY);
    this.maxUnits = (long) (burst * UNITS_PER_RETRY);
    this.savedUnits = new AtomicLong(maxUnits);
  }

  /** Adds the fraction of a retry that a request earns. */
  public void onRequest() {
    long current = savedUnits.get();
    if (current < maxUnits) {
      savedUnits.compareAndSet(
          current,
          Math.min(
              maxUnits,
              current + unitsPerRequest)); // a request earns nothing if the value changed meanwhile
    }
  }

  /** Takes one retry; returns false if none is left. */
  public boolean take() {
    long current;
    do {
      current = savedUnits.get();
      if (current < UNITS_PER_RETRY) {
        return false;
      }
    } while (!savedUnits.compareAndSet(current, current - UNITS_PER_RETRY));
    return true;
  }

  /** Returns a retry that was not used. */
  public void refund() {
    savedUnits.accumulateAndGet(UNITS_PER_RETRY, (s, x) -> Math.min(maxUnits, s + x));
  }
}
