package leadferry.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Applies the operator's limits to requests. Shared by all workers. A request is checked against
 * every limit that applies to it, in the order of the file, and is refused by the first one that is
 * exhausted.
 *
 * <p>Limits may be nested, such as a tenant's limit within a route's limit. While at most four
 * fifths of the outer limit are in use, callers are admitted first come, first served. Beyond four
 * fifths, each caller may hold at most an equal share of the outer limit, computed over the active
 * callers and one more that may arrive. A busy tenant can thus use four fifths alone, and the last
 * fifth is available at once to other tenants. As others arrive, the requests that the busy tenant
 * completes are not replaced until all have equal shares.
 *
 * <pre>
 *   0                                  4/5         1     of the outer limit
 *   |  first come, first served         | equal shares |  refused
 * </pre>
 *
 * <p>State is kept by name: {@link #Limiter(List, int, Limiter)} takes over the buckets in use. A
 * lowered limit counts the requests in flight and refuses new ones until enough of them have ended.
 * Memory is fixed, see {@link GcraBucketTable}. Only new callers take a lock.
 */
public final class Limiter {
  /** Fraction of an outer limit up to which callers are not limited to equal shares. */
  private static final double FAIR_SHARE_THRESHOLD = 0.8;

  /**
   * Retry delay (ms) for a request that is refused because too many are open. It is fixed, because
   * the end of an open request can't be predicted.
   */
  private static final double CONCURRENCY_RETRY_AFTER_MILLIS = 1_000;

  private final List<Limit> limits;
  private final GcraBucketTable[] tables;
  private final int[] parentIndexes;
  private final int maxKeys;

  /**
   * Random seed of the bucket keys. Guards against clients that choose names to share the bucket of
   * another client.
   */
  private final long hashSeed;

  /**
   * Creates a limiter without earlier state.
   *
   * @param maxKeys number of buckets of each limit
   */
  public Limiter(List<Limit> limits, int maxKeys) {
    this(limits, maxKeys, null);
  }

  /**
   * Creates a limiter that takes over the state of {@code previous} for each limit with the same
   * name, scope and parent. An outer limit must precede the limits within it.
   *
   * @param maxKeys number of buckets of each limit
   * @param previous the limiter to replace, or null
   * @throws IllegalArgumentException if an outer limit does not precede the limits within it
   */
  public Limiter(List<Limit> limits, int maxKeys, Limiter previous) {
    this.limits = List.copyOf(limits);
    this.maxKeys = maxKeys;
    this.hashSeed =
        previous == null ? new java.security.SecureRandom().nextLong() : previous.hashSeed;
    this.tables = new GcraBucketTable[limits.size()];
    this.parentIndexes = new int[limits.size()];
    Map<String, Integer> indexByName = new HashMap<>();
    for (int i = 0; i < tables.length; i++) {
      Limit limit = limits.get(i);
      parentIndexes[i] =
          limit.parentName() == null ? -1 : indexByName.getOrDefault(limit.parentName(), -1);
      if (limit.parentName() != null && parentIndexes[i] < 0) {
        throw new IllegalArgumentException(
            "within: "
                + limit.parentName()
                + " (expected: a limit that stands before "
                + limit.name()
                + ")");
      }
      GcraBucketTable keptTable =
          previous == null || previous.maxKeys != maxKeys ? null : previous.findTable(limit);
      tables[i] = keptTable == null ? new GcraBucketTable(maxKeys) : keptTable;
      indexByName.put(limit.name(), i);
    }
  }

  private GcraBucketTable findTable(Limit limit) {
    for (int i = 0; i < tables.length; i++) {
      Limit candidate = limits.get(i);
      if (candidate.name().equals(limit.name())
          && candidate.scope() == limit.scope()
          && java.util.Objects.equals(candidate.parentName(), limit.parentName())) {
        return tables[i];
      }
    }
    return null;
  }

  /**
   * Acquires a slot of each limit that applies, or refuses the request.
   *
   * @param nowNanos time of a monotonic clock
   */
  public LimitDecision acquire(ClientIdentity client, long nowNanos) {
    if (tables.length == 0) {
      return LimitDecision.UNLIMITED;
    }
    GcraBucket[] acquired = new GcraBucket[tables.length];
    GcraBucket[] bucketByLimit = new GcraBucket[tables.length];
    int count = 0;
    for (int i = 0; i < tables.length; i++) {
      Limit limit = limits.get(i);
      if (!limit.appliesTo(client)) {
        continue;
      }
      GcraBucket parent = parentIndexes[i] < 0 ? null : bucketByLimit[parentIndexes[i]];
      GcraBucket bucket = tables[i].acquireSlot(bucketKey(limit, client, parent), parent, nowNanos);
      acquired[count++] = bucket;
      bucketByLimit[i] = bucket;
      double waitMillis = checkConcurrency(limit, bucket);
      if (waitMillis == 0 && parent != null) {
        waitMillis = checkFairShare(limits.get(parentIndexes[i]), parent, bucket, nowNanos);
      }
      if (waitMillis > 0) {
        LimitDecision.allowed(acquired, count).release();
        return LimitDecision.refused(limit.name(), waitMillis);
      }
    }
    // A consumed request of a rate can't be returned. The rates therefore come last, once no check
    // of concurrency or of an equal share refuses the request.
    for (int i = 0; i < tables.length; i++) {
      Limit limit = limits.get(i);
      if (bucketByLimit[i] != null && limit.requestsPerSecond() > 0) {
        long waitMillis =
            bucketByLimit[i].tryConsume(nowNanos, limit.requestsPerSecond(), limit.burst());
        if (waitMillis > 0) {
          LimitDecision.allowed(acquired, count).release();
          return LimitDecision.refused(limit.name(), Math.max(1, waitMillis / 1e6));
        }
      }
    }
    return LimitDecision.allowed(acquired, count);
  }

  private static double checkConcurrency(Limit limit, GcraBucket bucket) {
    return limit.maxConcurrent() > 0 && bucket.slotsInUse() > limit.maxConcurrent()
        ? CONCURRENCY_RETRY_AFTER_MILLIS
        : 0;
  }

  private double checkFairShare(Limit outer, GcraBucket parent, GcraBucket bucket, long nowNanos) {
    if (outer.maxConcurrent() > 0
        && parent.slotsInUse() > FAIR_SHARE_THRESHOLD * outer.maxConcurrent()) {
      int equalShare = Math.max(1, outer.maxConcurrent() / (parent.busyChildren() + 1));
      if (bucket.slotsInUse() > equalShare) {
        return CONCURRENCY_RETRY_AFTER_MILLIS;
      }
    }
    if (outer.requestsPerSecond() > 0) {
      parent.recordChildRequest(bucket, nowNanos);
      int sharers = parent.activeChildren() + 1;
      boolean isAboveThreshold =
          parent.burstUtilization(nowNanos, outer.requestsPerSecond(), outer.burst())
              > FAIR_SHARE_THRESHOLD;
      long waitNanos =
          bucket.tryConsumeFairShare(
              nowNanos,
              outer.requestsPerSecond() / sharers,
              outer.burst() / sharers,
              !isAboveThreshold);
      return waitNanos > 0 ? Math.max(1, waitNanos / 1e6) : 0;
    }
    return 0;
  }

  /**
   * Returns the key of a caller's bucket. Within an outer limit, a caller has a separate bucket for
   * each bucket of the outer limit.
   */
  private long bucketKey(Limit limit, ClientIdentity client, GcraBucket parent) {
    String value = client.keyFor(limit.scope());
    long hash = hashSeed ^ (parent == null ? 0 : parent.key * 0x9E3779B97F4A7C15L + 1);
    for (int i = 0; i < value.length(); i++) {
      hash = (hash ^ value.charAt(i)) * 0x100000001b3L;
    }
    hash = (hash ^ hash >>> 32) * 0xd6e8feb86659fd93L;
    hash ^= hash >>> 32;
    return hash == 0 ? 1 : hash;
  }

  /** Returns the maximum number of buckets of all limits together, which bounds their memory. */
  public long capacity() {
    long sum = 0;
    for (GcraBucketTable table : tables) {
      sum += table.capacity();
    }
    return sum;
  }
}
