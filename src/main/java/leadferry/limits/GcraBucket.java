package leadferry.limits;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The usage of one key of one limit. The rate is limited by the generic cell rate algorithm (ITU-T
 * I.371): one number, the theoretical arrival time (TAT, {@code arrivalNanos}), is equivalent to a
 * token bucket.
 *
 * <pre>
 *   now                    TAT        each request moves TAT one interval ahead (from now at least)
 *    |----------------------|          it conforms if TAT - now is at most burst - 1 intervals
 * </pre>
 */
final class GcraBucket {
  /** Slot count of a bucket that has been removed from its table and accepts no more requests. */
  private static final int RETIRED = Integer.MIN_VALUE / 2;

  /** Length (ns) of the windows in which children with a request are counted. */
  private static final long WINDOW_NANOS = 1_000_000_000L;

  final long key;

  /**
   * The bucket of the outer limit. It does not change while a slot of this bucket is in use,
   * because a used slot of this bucket also holds a slot of the parent.
   */
  private volatile GcraBucket parent;

  private final AtomicInteger slotsInUse = new AtomicInteger();
  private final AtomicLong arrivalNanos = new AtomicLong(Long.MIN_VALUE);
  private final AtomicLong fairShareArrivalNanos = new AtomicLong(Long.MIN_VALUE);
  private final AtomicInteger busyChildren = new AtomicInteger();
  private final AtomicLong windowAndChildCount = new AtomicLong(); // window << 24 | count
  private volatile int previousChildCount;
  private volatile long lastRequestWindow = -1;

  GcraBucket(long key) {
    this.key = key;
  }

  /**
   * Acquires a slot; returns false if this bucket is retired.
   *
   * @param outer the bucket of the outer limit, or null
   */
  boolean acquireSlot(GcraBucket outer) {
    int slots;
    do {
      slots = slotsInUse.get();
      if (slots < 0) {
        return false;
      }
    } while (!slotsInUse.compareAndSet(slots, slots + 1));
    if (slots == 0 && outer != null) {
      parent = outer;
      outer.busyChildren.incrementAndGet();
    }
    return true;
  }

  void releaseSlot() {
    GcraBucket outer = parent;
    if (slotsInUse.decrementAndGet() == 0 && outer != null) {
      outer.busyChildren.decrementAndGet();
    }
  }

  int slotsInUse() {
    return slotsInUse.get();
  }

  int busyChildren() {
    return Math.max(1, busyChildren.get());
  }

  /**
   * Consumes one request of the rate. Returns 0, or the time (ns) after which a request conforms to
   * the rate.
   */
  long tryConsume(long nowNanos, double requestsPerSecond, double burst) {
    return tryConsume(arrivalNanos, nowNanos, requestsPerSecond, burst, false);
  }

  /**
   * Consumes one request of this bucket's share of the parent's rate.
   *
   * @param always whether to consume even if the share is exceeded
   * @return 0, or the time (ns) after which a request conforms to the share
   */
  long tryConsumeFairShare(long nowNanos, double requestsPerSecond, double burst, boolean always) {
    return tryConsume(fairShareArrivalNanos, nowNanos, requestsPerSecond, burst, always);
  }

  /** Returns the used fraction of the burst, from 0 to 1. */
  double burstUtilization(long nowNanos, double requestsPerSecond, double burst) {
    return Math.max(0, arrivalNanos.get() - nowNanos)
        * requestsPerSecond
        / 1e9
        / Math.max(1, burst);
  }

  private static long tryConsume(
      AtomicLong arrival, long nowNanos, double requestsPerSecond, double burst, boolean always) {
    long intervalNanos = (long) (1e9 / requestsPerSecond);
    long burstNanos = (long) (intervalNanos * (Math.max(1, burst) - 1));
    while (true) {
      long currentNanos = arrival.get();
      long startNanos = Math.max(currentNanos, nowNanos);
      long waitNanos = startNanos - nowNanos - burstNanos;
      if (waitNanos > 0 && !always) {
        return waitNanos;
      }
      // A caller that is admitted beyond its burst does not accumulate debt beyond that burst.
      long nextNanos = waitNanos > 0 ? startNanos : startNanos + intervalNanos;
      if (arrival.compareAndSet(currentNanos, nextNanos)) {
        return 0;
      }
    }
  }

  /** Counts a child that sent a request as one that shares the rate; once per window. */
  void recordChildRequest(GcraBucket child, long nowNanos) {
    long window = nowNanos / WINDOW_NANOS;
    if (child.lastRequestWindow == window) {
      return;
    }
    child.lastRequestWindow = window;
    while (true) {
      long current = windowAndChildCount.get();
      long next = current >> 24 == window ? current + 1 : window << 24 | 1;
      if (windowAndChildCount.compareAndSet(current, next)) {
        if (current >> 24 != window) {
          previousChildCount = current >> 24 == window - 1 ? (int) (current & 0xffffff) : 0;
        }
        return;
      }
    }
  }

  /**
   * Returns the number of active children: the maximum of the counts of this and the previous
   * window, at least 1.
   */
  int activeChildren() {
    return Math.max(1, Math.max(previousChildCount, (int) (windowAndChildCount.get() & 0xffffff)));
  }

  /** Returns whether the bucket is equivalent to a new one. */
  boolean isIdle(long nowNanos) {
    return slotsInUse.get() == 0
        && arrivalNanos.get() <= nowNanos
        && fairShareArrivalNanos.get() <= nowNanos;
  }

  /** Retires the bucket; returns false if one of its slots is in use. */
  boolean tryRetire() {
    return slotsInUse.compareAndSet(0, RETIRED);
  }
}
