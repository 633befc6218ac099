package leadferry.engine;

/**
 * How long a connection rests after a response, and how long it may stand idle and still be used.
 * Inputs are the pool's settings and what connections of the pool and of the host have shown. One
 * per pool and loop, confined to that loop.
 *
 * <pre>
 *   response read |--- rest: not used ---|--- reusable ---| keep time is over: closed, never used
 * </pre>
 */
final class ConnectionReusePolicy {
  /** Part of the host's idle time after which a connection is closed: well before the host does. */
  private static final double IDLE_PART = 0.7;

  /** How long (ns) a connection to a host that was seen to send surplus bytes rests. */
  private static final long SURPLUS_REST_NANOS = 5_000_000L;

  /** How long (ns) surplus bytes are remembered, of a host and of the pool. */
  private static final long SURPLUS_MEMORY_NANOS = 600_000_000_000L;

  private static final double NANOS_PER_MILLI = 1e6;

  private PoolBounds bounds;

  /** The rest (ns) that late surplus bytes of any host have made necessary. */
  private long lateSurplusRestNanos;

  /** When (ns) such bytes were last seen. */
  private long lateSurplusAt;

  ConnectionReusePolicy(PoolBounds bounds) {
    this.bounds = bounds;
  }

  /** From now on these hold. */
  void updateBounds(PoolBounds next) {
    bounds = next;
  }

  /**
   * How long (ns) a connection may stand idle and be used: by the settings, and by what was seen.
   * Housekeeping closes it then, but a request may come first, and the host's own close would be a
   * reset under a request that may have run.
   */
  long maxIdleNanos(UpstreamHost host, long now) {
    return Math.min((long) (IDLE_PART * bounds.idleMs() * NANOS_PER_MILLI), host.maxIdleNanos(now));
  }

  /** How long (ns) a connection to the host rests after a response. */
  long restNanos(UpstreamHost host, long now) {
    long configured = (long) (bounds.restMs() * NANOS_PER_MILLI);
    boolean byHost = host.hasSentSurplus && now - host.surplusAtNanos < SURPLUS_MEMORY_NANOS;
    long learnt = Math.max(byHost ? SURPLUS_REST_NANOS : 0, rememberedRestNanos(now));
    return Math.max(configured, learnt);
  }

  /**
   * Bytes that belong to no response came so long (ns) after one. Guards against a second response
   * that is later than the rest: on a connection in use again it would be taken for the next one's,
   * and nothing in it says whose it is. All connections then rest for twice as long, {@link
   * SocketSlack} at most.
   */
  void onSurplusBytes(long afterNanos) {
    long now = System.nanoTime();
    lateSurplusRestNanos =
        Math.max(rememberedRestNanos(now), Math.min(2 * afterNanos, SocketSlack.NANOS));
    lateSurplusAt = now;
  }

  private long rememberedRestNanos(long now) {
    return now - lateSurplusAt < SURPLUS_MEMORY_NANOS ? lateSurplusRestNanos : 0;
  }
}
