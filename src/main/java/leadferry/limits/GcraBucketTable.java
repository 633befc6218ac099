package leadferry.limits;

import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * The buckets of one limit, in fixed memory whatever keys callers make up. Sets of eight, as in a
 * processor's cache: a key can stand in one set only, and its newcomer takes the place of a bucket
 * that is idle, which forgets nothing, as such a bucket is as good as new. Where all eight are in
 * use, newcomers share one bucket, as if they were one caller: a flood of made-up tenants throttles
 * itself, and no state that matters is ever forgotten.
 *
 * <p>Keys are 64-bit numbers; two callers share a bucket by accident with a chance of about n/2^64.
 * Look-ups take no lock; only a newcomer does.
 */
final class GcraBucketTable {
  private static final int WAYS = 8;

  private final AtomicReferenceArray<GcraBucket> slots;
  private final int setMask;
  private final GcraBucket overflow = new GcraBucket(0);

  /** Room for {@code keys} buckets, rounded up to a power of two. */
  GcraBucketTable(int keys) {
    int size = Integer.highestOneBit(Math.max(WAYS, keys) * 2 - 1);
    slots = new AtomicReferenceArray<>(size);
    setMask = size / WAYS - 1;
  }

  /** Takes a place in the key's bucket. */
  GcraBucket acquireSlot(long key, GcraBucket parent, long now) {
    while (true) {
      GcraBucket b = find(key);
      if (b == null) {
        b = add(key, now);
      }
      if (b.acquireSlot(b == overflow ? null : parent)) {
        return b;
      }
    }
  }

  private GcraBucket find(long key) {
    int from = set(key);
    for (int i = from; i < from + WAYS; i++) {
      GcraBucket b = slots.get(i);
      if (b != null && b.key == key) {
        return b;
      }
    }
    return null;
  }

  private synchronized GcraBucket add(long key, long now) {
    GcraBucket there = find(key);
    if (there != null && there.slotsInUse() >= 0) {
      return there;
    }
    int from = set(key);
    for (int i = from; i < from + WAYS; i++) {
      GcraBucket b = slots.get(i);
      if (b == null || b.slotsInUse() < 0 || (b.isIdle(now) && b.tryRetire())) {
        GcraBucket fresh = new GcraBucket(key);
        slots.set(i, fresh);
        return fresh;
      }
    }
    return overflow;
  }

  private int set(long key) {
    return ((int) (key ^ key >>> 32) & setMask) * WAYS;
  }

  /** Slots, the bound on buckets. */
  int capacity() {
    return slots.length();
  }
}
