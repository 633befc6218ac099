package leadferry.daemon;

import java.util.concurrent.atomic.AtomicLong;

/**
 * So many records a second; what is past that is counted. One word holds the second and what was
 * used of it, so that workers neither wait for each other nor lose a count.
 */
final class RecordBudget {
  private static final int USED_BITS = 20;
  private static final long USED_MASK = (1L << USED_BITS) - 1;

  private final int perSecond;
  private final AtomicLong state = new AtomicLong();
  private final AtomicLong dropped = new AtomicLong();

  /** {@code perSecond} from 1 to 2^20 - 2. */
  RecordBudget(int perSecond) {
    this.perSecond = perSecond;
  }

  /** Whether one more may be written in this second; one that may not is counted. */
  boolean tryAcquire(long second) {
    while (true) {
      long s = state.get();
      long used = s >>> USED_BITS == second ? s & USED_MASK : 0;
      if (used >= perSecond) {
        countDropped();
        return false;
      }
      if (state.compareAndSet(s, second << USED_BITS | used + 1)) {
        return true;
      }
    }
  }

  /** One that was admitted could not be written all the same. */
  void countDropped() {
    dropped.incrementAndGet();
  }

  /** How many were left out since this was last asked. */
  long takeDropped() {
    return dropped.get() == 0 ? 0 : dropped.getAndSet(0);
  }
}
