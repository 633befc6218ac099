package leadferry.daemon;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits records per second and counts those that are dropped.
 *
 * <p>One atomic word holds the second and the number used in it, so threads do not block each other
 * and lose no count.
 */
final class RecordBudget {
  private static final int USED_BITS = 20;
  private static final long USED_MASK = (1L << USED_BITS) - 1;

  private final int perSecond;
  private final AtomicLong state = new AtomicLong();
  private final AtomicLong dropped = new AtomicLong();

  /**
   * Creates a budget.
   *
   * @param perSecond records per second, from 1 to 2^20 - 2
   */
  RecordBudget(int perSecond) {
    this.perSecond = perSecond;
  }

  /**
   * Takes one record of a second's budget.
   *
   * @return false if the budget is used up; the record is then counted as dropped
   */
  boolean tryAcquire(long second) {
    while (true) {
      long current = state.get();
      long used = current >>> USED_BITS == second ? current & USED_MASK : 0;
      if (used >= perSecond) {
        countDropped();
        return false;
      }
      if (state.compareAndSet(current, second << USED_BITS | used + 1)) {
        return true;
      }
    }
  }

  /** Counts a record as dropped that the budget had granted but that could not be written. */
  void countDropped() {
    dropped.incrementAndGet();
  }

  /** Returns the number of records dropped since the last call. */
  long takeDropped() {
    return dropped.get() == 0 ? 0 : dropped.getAndSet(0);
  }
}
