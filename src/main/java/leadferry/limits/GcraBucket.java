package leadferry.limits;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What one key of one limit has taken. The rate is a generic cell rate (ITU-T I.371): one number,
 * the theoretical arrival time, does what a token bucket does.
 *
 * <pre>
 *   now                    tat        each request moves tat one interval on (from now at least)
 *    |----------------------|          it conforms while tat - now is at most burst - 1 intervals
 * </pre>
 */
final class GcraBucket {
  /** Marks a bucket that has been thrown out of its table: nothing may be taken from it. */
  private static final int DEAD = Integer.MIN_VALUE / 2;

  /** How long (ns) a child counts as one that shares its parent's rate. */
  private static final long WINDOW_NANOS = 1_000_000_000L;

  final long key;

  /**
   * The outer limit's bucket; it can't change while a place here is taken, which holds one there.
   */
  private volatile GcraBucket parent;

  private final AtomicInteger slotsInUse = new AtomicInteger();
  private final AtomicLong tat = new AtomicLong(Long.MIN_VALUE);
  private final AtomicLong fairTat = new AtomicLong(Long.MIN_VALUE);
  private final AtomicInteger busyChildren = new AtomicInteger();
  private final AtomicLong children = new AtomicLong(); // window << 24 | count
  private volatile int childrenBefore;
  private volatile long seenIn = -1;

  GcraBucket(long key) {
    this.key = key;
  }

  /** Takes a place within the outer one, which may be null; false if this bucket is dead. */
  boolean acquireSlot(GcraBucket outer) {
    int n;
    do {
      n = slotsInUse.get();
      if (n < 0) {
        return false;
      }
    } while (!slotsInUse.compareAndSet(n, n + 1));
    if (n == 0 && outer != null) {
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

  /** Takes a place in the rate: 0, or the wait (ns) until one is free. */
  long tryConsume(long now, double perSecond, double burst) {
    return tryConsume(tat, now, perSecond, burst, false);
  }

  /** Notes a request against the fair part of the parent's rate; the wait (ns) where it is over. */
  long tryConsumeFairShare(long now, double perSecond, double burst, boolean always) {
    return tryConsume(fairTat, now, perSecond, burst, always);
  }

  /** The part of the burst that is taken, 0 to 1. */
  double burstUtilization(long now, double perSecond, double burst) {
    return Math.max(0, tat.get() - now) * perSecond / 1e9 / Math.max(1, burst);
  }

  private static long tryConsume(
      AtomicLong at, long now, double perSecond, double burst, boolean always) {
    long interval = (long) (1e9 / perSecond);
    long room = (long) (interval * (Math.max(1, burst) - 1));
    while (true) {
      long then = at.get();
      long from = Math.max(then, now);
      long wait = from - now - room;
      if (wait > 0 && !always) {
        return wait;
      }
      // Past its room a caller that passes all the same owes no more than that room.
      long next = wait > 0 ? from : from + interval;
      if (at.compareAndSet(then, next)) {
        return 0;
      }
    }
  }

  /** A child has asked: counts it once a window among those that share the rate. */
  void recordChildRequest(GcraBucket child, long now) {
    long window = now / WINDOW_NANOS;
    if (child.seenIn == window) {
      return;
    }
    child.seenIn = window;
    while (true) {
      long c = children.get();
      long next = c >> 24 == window ? c + 1 : window << 24 | 1;
      if (children.compareAndSet(c, next)) {
        if (c >> 24 != window) {
          childrenBefore = c >> 24 == window - 1 ? (int) (c & 0xffffff) : 0;
        }
        return;
      }
    }
  }

  /** Children that ask now, as this window and the one before have shown. */
  int activeChildren() {
    return Math.max(1, Math.max(childrenBefore, (int) (children.get() & 0xffffff)));
  }

  /** Whether forgetting it would change nothing. */
  boolean isIdle(long now) {
    return slotsInUse.get() == 0 && tat.get() <= now && fairTat.get() <= now;
  }

  /** Ends its use, if nothing is being taken from it. */
  boolean tryRetire() {
    return slotsInUse.compareAndSet(0, DEAD);
  }
}
