package leadferry.http;

import leadferry.engine.SocketSlack;

/**
 * The times of one client's connection: when it was opened and last used, and whether it, or a
 * request that is still coming, has taken too long. Instants are those of {@link System#nanoTime}.
 *
 * <p>Used on the connection's event loop alone.
 */
final class ConnectionTimeouts {
  /** Age (ns) from which a connection that has sent nothing may have to make room. */
  private static final long EVICT_SILENT_NANOS = 50_000_000L;

  /** Age (ns) from which a connection that has sent part of a request may have to make room. */
  private static final long EVICT_PARTIAL_NANOS = 500_000_000L;

  /** How long (ns) a client that is asked to leave may take to use its connection once more. */
  private static final long IDLE_DEPARTURE_NANOS = 500_000_000L;

  /** The same, of a client that has not sent a request yet. */
  private static final long SILENT_DEPARTURE_NANOS = 1_500_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final HttpServer server;
  private final RequestDecoder decoder;
  private final long openedAtNanos = System.nanoTime();
  private final long acceptedAtNanos;
  private final long receiveTimeoutNanos;
  private boolean requestSeen;
  private long idleSinceNanos;

  /**
   * {@code acceptedAtNanos} is the earliest at which the connection can have been accepted: its
   * client may have written since then.
   */
  ConnectionTimeouts(HttpServer server, RequestDecoder decoder, long acceptedAtNanos) {
    this.server = server;
    this.decoder = decoder;
    this.acceptedAtNanos = acceptedAtNanos;
    this.receiveTimeoutNanos = server.settings().receiveTimeoutMillis() * NANOS_PER_MILLI;
  }

  /** How long (ns) a request, or the next part of a streamed one, may take to come. */
  long receiveTimeoutNanos() {
    return receiveTimeoutNanos;
  }

  /** A response has gone, or part of a request that has its response has come. */
  void markUsed() {
    idleSinceNanos = System.nanoTime();
  }

  /**
   * The client has sent a request, or as much of one as it takes to believe it; whether it is the
   * first.
   */
  boolean markRequestSeen() {
    boolean first = !requestSeen;
    requestSeen = true;
    return first;
  }

  /**
   * When what is read now can have come at the earliest, less what every time limit is longer by.
   * Guards against a late loop: a request's time counts from its last byte, and one that stood in
   * the kernel for longer than its client waits is not forwarded, nor answered when all of its time
   * has gone by once more. It does harm where a stop was shorter than it looks, by a rejection.
   */
  long earliestReceiptNanos() {
    long earliest =
        decoder.isFirstRead()
            ? Math.min(HttpServer.readUntilNanos(), acceptedAtNanos)
            : Math.max(HttpServer.readUntilNanos(), idleSinceNanos);
    return Math.min(System.nanoTime(), earliest + SocketSlack.NANOS);
  }

  /** Whether a request may be under way that was sent before the client could know of a drain. */
  boolean canFirstRequestBeInFlight() {
    return !requestSeen && System.nanoTime() - openedAtNanos < receiveTimeoutNanos;
  }

  /** Whether its client has had time to send a first request. */
  boolean hasHadTimeForRequest(long nowNanos) {
    return requestSeen || nowNanos - openedAtNanos > EVICT_SILENT_NANOS;
  }

  /** The order in which a connection makes room on which no request is open. */
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
    return nowNanos - idleSinceNanos > server.settings().minIdleMillis() * NANOS_PER_MILLI
        ? EvictionOrder.IDLE
        : EvictionOrder.NEVER;
  }

  /** Whether the rest of a request that has its response comes too slowly. */
  boolean isRemainderTooSlow(long nowNanos) {
    return nowNanos - idleSinceNanos > receiveTimeoutNanos;
  }

  /** Whether a request of whose body {@code bodyBytes} are held comes too slowly. */
  boolean isRequestTooSlow(long nowNanos, long bodyBytes) {
    return nowNanos - receivingSinceNanos() > receiveTimeoutNanos + bodyAllowanceNanos(bodyBytes);
  }

  /** Why a connection on which nothing comes is to be closed, or null if it stays. */
  CloseReason idleCloseReason(long nowNanos) {
    if (hasDepartureTimeElapsed(nowNanos)) {
      return CloseReason.DRAINING;
    }
    long idleNanos = server.settings().maxIdleMillis() * NANOS_PER_MILLI;
    boolean idle =
        requestSeen
            ? nowNanos - idleSinceNanos > idleNanos
            : nowNanos - openedAtNanos > receiveTimeoutNanos;
    return idle ? CloseReason.IDLE : null;
  }

  /**
   * Whether its client is asked to leave and has had time to use the connection once more. The
   * daemon closes none for that: its next response asks to leave, and a request that crosses a
   * close would be lost.
   */
  private boolean hasDepartureTimeElapsed(long nowNanos) {
    long since = server.settings().daemon() ? 0 : server.sheddingSinceNanos();
    return since != 0
        && (requestSeen
            ? nowNanos - Math.max(idleSinceNanos, since) > IDLE_DEPARTURE_NANOS
            : nowNanos - Math.max(openedAtNanos, since) > SILENT_DEPARTURE_NANOS);
  }

  /** What a body may take besides: a client that sends it slowly but steadily is in time. */
  private long bodyAllowanceNanos(long bodyBytes) {
    int bytesPerSecond = server.settings().minBodyBytesPerSecond();
    return bytesPerSecond == 0 ? 0 : bodyBytes * NANOS_PER_SECOND / bytesPerSecond;
  }

  private long receivingSinceNanos() {
    return requestSeen ? decoder.receivingSinceNanos() : openedAtNanos;
  }
}
