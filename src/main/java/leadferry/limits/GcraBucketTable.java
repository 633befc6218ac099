package leadferry.limits;

import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * Holds the buckets of one limit in fixed memory, however many keys clients send.
 *
 * <p>The table is 8-way set-associative: a key belongs to one set, and its new bucket replaces an
 * idle one of that set. An idle bucket is equivalent to a new one, and replacing it loses no state.
 * If all eight buckets of a set are in use, the keys without a bucket share one overflow bucket as
 * if they were one client. Invented tenants in great numbers therefore limit each other, and no
 * bucket that is in use is lost.
 *
 * <p>Keys are 64-bit hashes. The probability that a client has the same key as one of n other
 * clients is about n/2^64. Only the creation of a bucket takes a lock, look-ups do not.
 */
final class GcraBucketTable {
  private static final int SET_SIZE = 8;

  private final AtomicReferenceArray<GcraBucket> slots;
  private final int setMask;
  private final GcraBucket overflow = new GcraBucket(0);

  /** Creates a table for {@code minBuckets} buckets, rounded up to a power of two. */
  GcraBucketTable(int minBuckets) {
    int size = Integer.highestOneBit(Math.max(SET_SIZE, minBuckets) * 2 - 1);
    slots = new AtomicReferenceArray<>(size);
    setMask = size / SET_SIZE - 1;
  }

  /** Acquires a slot of the key's bucket. */
  GcraBucket acquireSlot(long key, GcraBucket parent, long nowNanos) {
    while (true) {
      GcraBucket bucket = find(key);
      if (bucket == null) {
        bucket = add(key, nowNanos);
      }
      if (bucket.acquireSlot(bucket == overflow ? null : parent)) {
        return bucket;
      }
    }
  }

  private GcraBucket find(long key) {
    int setStart = setStart(key);
    for (int i = setStart; i < setStart + SET_SIZE; i++) {
      GcraBucket bucket = slots.get(i);
      if (bucket != null && bucket.key == key) {
        return bucket;
      }
    }
    return null;
  }

  private synchronized GcraBucket add(long key, long nowNanos) {
    GcraBucket existing = find(key);
    if (existing != null && existing.slotsInUse() >= 0) {
      return existing;
    }
    int setStart = setStart(key);
    for (int i = setStart; i < setStart + SET_SIZE; i++) {
      GcraBucket bucket = slots.get(i);
      if (bucket == null
          || bucket.slotsInUse() < 0
          || (bucket.isIdle(nowNanos) && bucket.tryRetire())) {
        GcraBucket created = new GcraBucket(key);
        slots.set(i, created);
        return created;
      }
    }
    return overflow;
  }

  private int setStart(long key) {
    return ((int) (key ^ key >>> 32) & setMask) * SET_SIZE;
  }

  /** Returns the number of entries, which bounds the number of buckets. */
  int capacity() {
    return slots.length();
  }
}
