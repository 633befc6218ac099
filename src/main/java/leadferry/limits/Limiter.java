package leadferry.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The bounds over requests, shared by all workers. A request passes every limit that holds for it,
 * in the order of the file, or is refused by the first that is full.
 *
 * <p>Limits may be nested: a tenant's within a route's. While the outer one has more than a fifth
 * of its room left, callers take what they like. Past that each may hold no more than an equal part
 * of it, counted over the callers that are active and one more who may come. So a hot tenant can
 * fill four fifths by itself, the last fifth is there for quiet ones at once, and as they come the
 * hot one's requests that end are not replaced until all have equal parts.
 *
 * <pre>
 *   0                                  4/5        1     of the outer limit
 *   |  first come, first served         | equal parts |  refused
 * </pre>
 *
 * <p>State is kept by name: {@link #Limiter(List, int, Limiter)} takes over what is in use, so that
 * a limit that is lowered counts what is in flight and refuses until enough of it has ended. Memory
 * is fixed, see {@link GcraBucketTable}. Locks only for callers that are new.
 */
public final class Limiter {
  /** The part of an outer limit up to which callers need not share. */
  private static final double SHARED_FROM = 0.8;

  /** What (ms) callers are told that are refused for concurrency: nobody knows when one ends. */
  private static final double COME_BACK_MS = 1_000;

  private final List<Limit> limits;
  private final GcraBucketTable[] tables;
  private final int[] parents;
  private final int keys;

  /** Guards against callers that make up names to share the bucket of another. */
  private final long seed;

  /** Limits with room for so many callers each. */
  public Limiter(List<Limit> limits, int maxKeys) {
    this(limits, maxKeys, null);
  }

  /**
   * Limits that take over what the limiter before them counts, for those of the same name, kind and
   * parent. An outer limit must stand before those within it.
   */
  public Limiter(List<Limit> limits, int maxKeys, Limiter previous) {
    this.limits = List.copyOf(limits);
    this.keys = maxKeys;
    this.seed = previous == null ? new java.security.SecureRandom().nextLong() : previous.seed;
    this.tables = new GcraBucketTable[limits.size()];
    this.parents = new int[limits.size()];
    Map<String, Integer> places = new HashMap<>();
    for (int i = 0; i < tables.length; i++) {
      Limit l = limits.get(i);
      parents[i] = l.parentName() == null ? -1 : places.getOrDefault(l.parentName(), -1);
      if (l.parentName() != null && parents[i] < 0) {
        throw new IllegalArgumentException(
            "within: "
                + l.parentName()
                + " (expected: a limit that stands before "
                + l.name()
                + ")");
      }
      GcraBucketTable kept =
          previous == null || previous.keys != maxKeys ? null : previous.table(l);
      tables[i] = kept == null ? new GcraBucketTable(maxKeys) : kept;
      places.put(l.name(), i);
    }
  }

  private GcraBucketTable table(Limit l) {
    for (int i = 0; i < tables.length; i++) {
      Limit mine = limits.get(i);
      if (mine.name().equals(l.name())
          && mine.scope() == l.scope()
          && java.util.Objects.equals(mine.parentName(), l.parentName())) {
        return tables[i];
      }
    }
    return null;
  }

  /** Asks for a place; {@code now} in nanoseconds that never go back. */
  public LimitDecision acquire(ClientIdentity caller, long nowNanos) {
    if (tables.length == 0) {
      return LimitDecision.UNLIMITED;
    }
    GcraBucket[] taken = new GcraBucket[tables.length];
    GcraBucket[] at = new GcraBucket[tables.length];
    int count = 0;
    for (int i = 0; i < tables.length; i++) {
      Limit l = limits.get(i);
      if (!l.appliesTo(caller)) {
        continue;
      }
      GcraBucket parent = parents[i] < 0 ? null : at[parents[i]];
      GcraBucket b = tables[i].acquireSlot(key(l, caller, parent), parent, nowNanos);
      taken[count++] = b;
      at[i] = b;
      double wait = check(l, b);
      if (wait == 0 && parent != null) {
        wait = checkShare(limits.get(parents[i]), parent, b, nowNanos);
      }
      if (wait > 0) {
        LimitDecision.allowed(taken, count).release();
        return LimitDecision.refused(l.name(), wait);
      }
    }
    // Places in a rate can't be given back: they are taken last, when nothing else refuses.
    for (int i = 0; i < tables.length; i++) {
      Limit l = limits.get(i);
      if (at[i] != null && l.requestsPerSecond() > 0) {
        long wait = at[i].tryConsume(nowNanos, l.requestsPerSecond(), l.burst());
        if (wait > 0) {
          LimitDecision.allowed(taken, count).release();
          return LimitDecision.refused(l.name(), Math.max(1, wait / 1e6));
        }
      }
    }
    return LimitDecision.allowed(taken, count);
  }

  private static double check(Limit l, GcraBucket b) {
    return l.maxConcurrent() > 0 && b.slotsInUse() > l.maxConcurrent() ? COME_BACK_MS : 0;
  }

  private double checkShare(Limit outer, GcraBucket parent, GcraBucket b, long now) {
    if (outer.maxConcurrent() > 0 && parent.slotsInUse() > SHARED_FROM * outer.maxConcurrent()) {
      int part = Math.max(1, outer.maxConcurrent() / (parent.busyChildren() + 1));
      if (b.slotsInUse() > part) {
        return COME_BACK_MS;
      }
    }
    if (outer.requestsPerSecond() > 0) {
      parent.recordChildRequest(b, now);
      int sharing = parent.activeChildren() + 1;
      boolean crowded =
          parent.burstUtilization(now, outer.requestsPerSecond(), outer.burst()) > SHARED_FROM;
      long wait =
          b.tryConsumeFairShare(
              now, outer.requestsPerSecond() / sharing, outer.burst() / sharing, !crowded);
      return wait > 0 ? Math.max(1, wait / 1e6) : 0;
    }
    return 0;
  }

  /** The number of a caller's bucket; within an outer limit it has one for each of its buckets. */
  private long key(Limit l, ClientIdentity c, GcraBucket parent) {
    String s = c.keyFor(l.scope());
    long h = seed ^ (parent == null ? 0 : parent.key * 0x9E3779B97F4A7C15L + 1);
    for (int i = 0; i < s.length(); i++) {
      h = (h ^ s.charAt(i)) * 0x100000001b3L;
    }
    h = (h ^ h >>> 32) * 0xd6e8feb86659fd93L;
    h ^= h >>> 32;
    return h == 0 ? 1 : h;
  }

  /** Buckets that all limits together may hold: what bounds their memory. */
  public long capacity() {
    long sum = 0;
    for (GcraBucketTable t : tables) {
      sum += t.capacity();
    }
    return sum;
  }
}
