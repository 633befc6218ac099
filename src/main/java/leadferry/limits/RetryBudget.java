package leadferry.limits;

import java.util.concurrent.atomic.AtomicLong;

/**
 * An operator's bound over retries: each request earns a part of one, saved up to a burst. It can
 * only say no to what the decision module asks for, whose own bound is {@code
 * loadbalancer.RetryBudget}; both must allow a retry. Safe for use by many threads.
 */
public final class RetryBudget {
  private static final long UNIT = 1_000_000;

  private final long earned;
  private final long most;
  private final AtomicLong saved;

  /** {@code ratio} attempts earned by each request, at most {@code burst} saved; starts full. */
  public RetryBudget(double ratio, double burst) {
    this.earned = (long) (ratio * UNIT);
    this.most = (long) (burst * UNIT);
    this.saved = new AtomicLong(most);
  }

  /** A request has come. */
  public void onRequest() {
    long s = saved.get();
    if (s < most) {
      saved.compareAndSet(s, Math.min(most, s + earned)); // a lost race earns a little less
    }
  }

  /** Takes one attempt; false where none is left. */
  public boolean take() {
    long s;
    do {
      s = saved.get();
      if (s < UNIT) {
        return false;
      }
    } while (!saved.compareAndSet(s, s - UNIT));
    return true;
  }

  /** Gives one back that was not used after all. */
  public void refund() {
    saved.accumulateAndGet(UNIT, (s, x) -> Math.min(most, s + x));
  }
}
