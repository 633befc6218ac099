package leadferry.http;

import leadferry.engine.SocketSlack;

/**
 * Time limits of one client connection: tracks when it was opened and last used, and whether the
 * connection or a request that is being received has exceeded a limit. Instants are values of
 * {@link System#nanoTime}.
 *
 * <p>Used only on the connection's event loop.
 */
final class ConnectionTimeouts {
  /** Age (ns) at which a connection without any request can be evicted. */
  private static final long EVICT_SILENT_NANOS = 50_000_000L;

  /** Age (ns) at which an incomplete request makes its connection evictable. */
  private static final long EVICT_PARTIAL_NANOS = 500_000_000L;

  /** Time (ns) for which a connection may stay idle while clients are shed. */
  private static final long IDLE_DEPARTURE_NANOS = 500_000_000L;

  /** Time (ns) for which a connection without any request may stay open while clients are shed. */
  private static final long SILENT_DEPARTURE_NANOS = 1_500_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final HttpServer server;
  private final RequestDecoder decoder;
  private final OutputProgress output;
  private final long openedAtNanos = System.nanoTime();
  private final long acceptedAtNanos;
  private final long receiveTimeoutNanos;
  private boolean requestSeen;
  private long idleSinceNanos;

  /**
   * Creates the limits of one connection.
   *
   * @param acceptedAtNanos earliest time at which the connection can have been accepted; the client
   *     may have sent data since then
   */
  ConnectionTimeouts(
      HttpServer server, RequestDecoder decoder, OutputProgress output, long acceptedAtNanos) {
    this.server = server;
    this.decoder = decoder;
    this.output = output;
    this.acceptedAtNanos = acceptedAtNanos;
    this.receiveTimeoutNanos = server.settings().receiveTimeoutMillis() * NANOS_PER_MILLI;
  }

  /** Returns the time (ns) in which a request, or the next part of a streamed one, must arrive. */
  long receiveTimeoutNanos() {
    return receiveTimeoutNanos;
  }

  /** Records activity: a response was written, or part of a request arrived after its response. */
  void markUsed() {
    idleSinceNanos = System.nanoTime();
  }

  /**
   * Records that the client has sent a complete request or the start of a streamed one; returns
   * true for the first one.
   */
  boolean markRequestSeen() {
    boolean isFirst = !requestSeen;
    requestSeen = true;
    return isFirst;
  }

  /**
   * Returns the earliest time at which the input that is read now can have arrived, plus {@link
   * SocketSlack#NANOS}, but not a time in the future. Guards against a late event loop: the time
   * budget of a request counts from its last byte. A request that waited in the kernel's buffer for
   * longer than its client waits is not forwarded; after twice that time it gets no response at
   * all. Drawback: if the event loop was late for a shorter time than this bound assumes, the
   * request may be rejected without need.
   */
  long earliestReceiptNanos() {
    long earliest =
        decoder.isFirstRead()
            ? Math.min(HttpServer.readUntilNanos(), acceptedAtNanos)
            : Math.max(HttpServer.readUntilNanos(), idleSinceNanos);
    return Math.min(System.nanoTime(), earliest + SocketSlack.NANOS);
  }

  /**
   * Whether a first request can be in flight that the client sent before it could know of the
   * drain.
   */
  boolean canFirstRequestBeInFlight() {
    return !requestSeen && System.nanoTime() - openedAtNanos < receiveTimeoutNanos;
  }

  /** Whether the client had time to send a first request. */
  boolean hasHadTimeForRequest(long nowNanos) {
    return requestSeen || nowNanos - openedAtNanos > EVICT_SILENT_NANOS;
  }

  /** Whether part of a request has arrived. */
  boolean isReceiving() {
    return decoder.isReceiving();
  }

  /** Returns the eviction class of a connection without an open request. */
  EvictionOrder evictionOrder(long nowNanos) {
    if (decoder.isReceiving()) {
      return nowNanos - receivingSinceNanos() > EVICT_PARTIAL_NANOS
          ? EvictionOrder.PARTIAL_REQUEST
          : EvictionOrder.NEVER;
    }
    if (!requestSeen) {
      return nowNanos - openedAtNanos > EVICT_SILENT_NANOS
          ? EvictionOrder.SILENT
          : EvictionOrder.NEVER;
    }
    return nowNanos - unusedSinceNanos() > server.settings().minIdleMillis() * NANOS_PER_MILLI
        ? EvictionOrder.IDLE
        : EvictionOrder.NEVER;
  }

  /** Whether the remaining input of a request that already has its response arrives too slowly. */
  boolean isRemainderTooSlow(long nowNanos) {
    return nowNanos - unusedSinceNanos() > receiveTimeoutNanos;
  }

  /**
   * Whether the current request arrives too slowly.
   *
   * @param bodyBytes number of bytes of the request's body that are held
   */
  boolean isRequestTooSlow(long nowNanos, long bodyBytes) {
    return nowNanos - receivingSinceNanos() > receiveTimeoutNanos + bodyAllowanceNanos(bodyBytes);
  }

  /** Returns the reason to close an idle connection, or null if it stays open. */
  CloseReason idleCloseReason(long nowNanos) {
    if (hasDepartureTimeElapsed(nowNanos)) {
      return CloseReason.DRAINING;
    }
    long idleNanos = server.settings().maxIdleMillis() * NANOS_PER_MILLI;
    boolean isIdle =
        requestSeen
            ? nowNanos - unusedSinceNanos() > idleNanos
            : nowNanos - openedAtNanos > receiveTimeoutNanos;
    return isIdle ? CloseReason.IDLE : null;
  }

  /**
   * Whether clients are shed and this one had time to use the connection once more. The daemon
   * closes no connection for this reason: a request that crosses the close would be lost. Instead,
   * the next response on the connection carries {@code Connection: close}.
   */
  private boolean hasDepartureTimeElapsed(long nowNanos) {
    long sheddingSinceNanos = server.settings().daemon() ? 0 : server.sheddingSinceNanos();
    return sheddingSinceNanos != 0
        && (requestSeen
            ? nowNanos - Math.max(unusedSinceNanos(), sheddingSinceNanos) > IDLE_DEPARTURE_NANOS
            : nowNanos - Math.max(openedAtNanos, sheddingSinceNanos) > SILENT_DEPARTURE_NANOS);
  }

  /**
   * Returns the additional time (ns) for a body, so that a client that sends slowly but steadily
   * stays within its limit.
   */
  private long bodyAllowanceNanos(long bodyBytes) {
    int bytesPerSecond = server.settings().minBodyBytesPerSecond();
    return bytesPerSecond == 0 ? 0 : bodyBytes * NANOS_PER_SECOND / bytesPerSecond;
  }

  /**
   * Returns the time since which the client has neither sent anything nor had a response to take:
   * the kernel may take the end of a response long after it was passed to the channel.
   */
  private long unusedSinceNanos() {
    return Math.max(idleSinceNanos, output.pendingAtNanos());
  }

  private long receivingSinceNanos() {
    return requestSeen ? decoder.receivingSinceNanos() : openedAtNanos;
  }
}
