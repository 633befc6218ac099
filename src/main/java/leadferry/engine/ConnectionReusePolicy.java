package leadferry.engine;

/**
 * Determines how long a connection rests after a response and how long it may be idle and still be
 * used. Inputs are the pool's settings and the observed behaviour of the host's and the pool's
 * connections. One instance per pool and loop, confined to that loop.
 *
 * <pre>
 *   response read |--- rest: not used ---|--- reusable ---| idle limit: closed, never used
 * </pre>
 */
final class ConnectionReusePolicy {
  /**
   * Share of the idle time in the settings after which the proxy closes an idle connection, well
   * before the host does.
   */
  private static final double IDLE_SHARE = 0.7;

  /**
   * Rest (ns) of connections to a host that has sent surplus bytes: bytes that belong to no
   * response.
   */
  private static final long SURPLUS_REST_NANOS = 5_000_000L;

  /** Time (ns) for which surplus bytes are remembered, for their host and for the pool. */
  private static final long SURPLUS_MEMORY_NANOS = 600_000_000_000L;

  private static final double NANOS_PER_MILLI = 1e6;

  private PoolBounds bounds;

  /**
   * Rest (ns) of all connections of the pool, learned from surplus bytes that arrived on an idle
   * connection.
   */
  private long lateSurplusRestNanos;

  /** Time (ns) at which such bytes were last received. */
  private long lateSurplusAtNanos;

  ConnectionReusePolicy(PoolBounds bounds) {
    this.bounds = bounds;
  }

  /** Applies other bounds. */
  void updateBounds(PoolBounds next) {
    bounds = next;
  }

  /**
   * Returns the time (ns) for which a connection may be idle and still be used, according to the
   * settings and the observed behaviour. Housekeeping closes connections that have been idle for
   * longer. This limit covers a request that comes before housekeeping: if it were written to such
   * a connection, the host's close could reset it, and it may have run.
   */
  long maxIdleNanos(UpstreamHost host, long now) {
    return Math.min(
        (long) (IDLE_SHARE * bounds.idleMs() * NANOS_PER_MILLI), host.maxIdleNanos(now));
  }

  /** Returns the time (ns) for which a connection to the host rests after a response. */
  long restNanos(UpstreamHost host, long now) {
    long configuredNanos = (long) (bounds.restMs() * NANOS_PER_MILLI);
    boolean hasHostSurplus =
        host.hasSentSurplus && now - host.surplusAtNanos < SURPLUS_MEMORY_NANOS;
    long learnedNanos = Math.max(hasHostSurplus ? SURPLUS_REST_NANOS : 0, rememberedRestNanos(now));
    return Math.max(configuredNanos, learnedNanos);
  }

  /**
   * Records bytes that belong to no response and arrived {@code afterNanos} after one. Guards
   * against a second response that arrives after the rest: on a connection in use it would be read
   * as the response to the next request, and nothing in it identifies its request. All connections
   * of the pool then rest for twice the delay {@code afterNanos}, but at most {@link
   * SocketSlack#NANOS}.
   */
  void onSurplusBytes(long afterNanos) {
    long now = System.nanoTime();
    lateSurplusRestNanos =
        Math.max(rememberedRestNanos(now), Math.min(2 * afterNanos, SocketSlack.NANOS));
    lateSurplusAtNanos = now;
  }

  private long rememberedRestNanos(long now) {
    return now - lateSurplusAtNanos < SURPLUS_MEMORY_NANOS ? lateSurplusRestNanos : 0;
  }
}
