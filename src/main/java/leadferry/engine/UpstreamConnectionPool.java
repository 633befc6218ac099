package leadferry.engine;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Manages the connections of one pool on one loop, to which it is confined. Gives each attempt an
 * unused connection, a new one, or a position in its host's pending queue. {@link
 * UpstreamConnector} opens connections, {@link ConnectionReusePolicy} determines their rest and
 * their idle time, and {@link ConnectionLimits} their number.
 *
 * <pre>
 *   attempt -> unused connection? -> slot for a new one? -> pending queue not full? -> never ran
 *                 send                    connect                  wait
 * </pre>
 */
public final class UpstreamConnectionPool {
  /**
   * Allocator of read buffers. Sizes are in bytes. Small reads limit the memory that one connection
   * holds.
   */
  public static final AdaptiveRecvByteBufAllocator READ_BUFFER_ALLOCATOR =
      new AdaptiveRecvByteBufAllocator(512, 2048, 16_384);

  /** Write buffer marks (bytes). Low marks limit the unwritten bytes that one connection holds. */
  public static final WriteBufferWaterMark WRITE_BUFFER_WATER_MARK =
      new WriteBufferWaterMark(16_384, 32_768);

  /**
   * Time (ns) within which the rest of an unwanted response must arrive; the connection is closed
   * afterwards.
   */
  private static final long DISCARD_NANOS = 500_000_000L;

  /**
   * Number of requests after which a connection is closed for another worker that waits for a slot,
   * even if attempts of this worker wait too.
   */
  private static final int REQUESTS_BEFORE_HANDOVER = 16;

  private final EventLoop loop;
  private final Transport transport;
  private final SocketBudget sockets;
  private final UpstreamConnector connector;
  private final ConnectionReusePolicy reusePolicy;
  private final Set<UpstreamConnection> discarding = new HashSet<>();
  private PoolBounds bounds;

  /** Creates a pool without connections. */
  public UpstreamConnectionPool(
      EventLoop loop,
      Transport transport,
      UpstreamProtocol protocol,
      PoolBounds bounds,
      SocketBudget sockets,
      Log log) {
    this.loop = loop;
    this.transport = transport;
    this.sockets = sockets;
    this.connector =
        new UpstreamConnector(this, loop, transport.connectionType(), protocol, sockets, log);
    this.reusePolicy = new ConnectionReusePolicy(bounds);
    updateBounds(bounds);
  }

  /** Applies other bounds; {@code limits} must be the same object as before. */
  public void updateBounds(PoolBounds next) {
    bounds = next;
    reusePolicy.updateBounds(next);
    connector.setConnectTimeout(next.connectMs());
  }

  int maxRequestsPerConnection() {
    return bounds.maxRequestsPerConnection();
  }

  boolean isQuiet(Channel connection) {
    return transport.isQuiet(connection);
  }

  // --- attempts

  /** Starts the attempt on an unused connection or on a new one, or queues it. */
  void start(Attempt attempt) {
    UpstreamHost host = attempt.host;
    if (!endUnlessSendable(attempt)) {
      return;
    }
    if (host.pendingAttempts.isEmpty()) {
      UpstreamConnection unused = pollReusable(host);
      if (unused != null) {
        unused.send(attempt);
        return;
      }
      if (bounds.limits() == null || slotsOf(host).tryAcquire()) {
        connect(attempt, host);
        return;
      }
    }
    if (host.pendingAttempts.size() >= bounds.maxPending()) {
      // The attempt never ran, through no fault of the host; the load balancer may try another one.
      attempt.endAsNeverRun();
      return;
    }
    host.pendingAttempts.addLast(attempt);
    attempt.onQueued();
    dispatchPending(host);
  }

  /**
   * Whether the attempt may be sent now; otherwise ends it as one that never ran. Checked when the
   * attempt starts and again when its wait is over. Guards against changes during the wait: to the
   * request, its deadline, the host, or the request's other attempts.
   */
  static boolean endUnlessSendable(Attempt attempt) {
    boolean sendable = attempt.canSend();
    if (!sendable) {
      attempt.endAsNeverRun();
    }
    return sendable;
  }

  /** Removes an attempt that is over from its host's queues and ends its use of the connection. */
  void onAttemptEnded(Attempt attempt) {
    attempt.host.connectingAttempts.remove(attempt);
    if (!attempt.host.pendingAttempts.isEmpty()) {
      attempt.host.pendingAttempts.remove(attempt);
    }
    attempt.releaseConnection();
  }

  /**
   * Invalidates the host's former address and process: closes idle connections that may not be
   * reused and unregisters this pool from the host's connection slots. Returns the attempts that
   * had no connection yet.
   */
  List<Attempt> invalidate(UpstreamHost host) {
    for (UpstreamConnection unused : host.idleConnections.all()) {
      if (!unused.isReusable()) {
        unused.channel().close();
      }
    }
    List<Attempt> unsent = new ArrayList<>(host.connectingAttempts);
    unsent.addAll(host.pendingAttempts);
    host.connectingAttempts.clear();
    host.pendingAttempts.clear();
    HostConnectionSlots.removeFrom(host);
    return unsent;
  }

  /** Opens a connection for the attempt, for which a slot has been acquired. */
  private void connect(Attempt attempt, UpstreamHost host) {
    connector.connect(attempt, host, bounds.limits() == null ? null : slotsOf(host));
  }

  private ConnectionLimits.Slots slotsOf(UpstreamHost host) {
    return HostConnectionSlots.of(host, bounds.limits(), this, loop);
  }

  // --- the pending queue

  /**
   * Starts pending attempts on connections and slots that have become free, in order of arrival.
   */
  void dispatchPending(UpstreamHost host) {
    if (host.pendingAttempts.isEmpty()) {
      if (host.connectionSlots != null) {
        host.connectionSlots.slots().offerToNext();
      }
      return;
    }
    sendPending(host);
    if (!host.pendingAttempts.isEmpty()) {
      scheduleDispatch(host);
      slotsOf(host).awaitSlot(host.connectionSlots);
    }
  }

  private void sendPending(UpstreamHost host) {
    Attempt next;
    while ((next = host.pendingAttempts.peekFirst()) != null) {
      if (!endUnlessSendable(next)) {
        continue; // ending the attempt has removed it from the queue
      }
      UpstreamConnection unused = pollReusable(host);
      if (unused == null && !slotsOf(host).tryAcquire()) {
        return;
      }
      host.pendingAttempts.pollFirst();
      if (unused != null) {
        unused.send(next);
      } else {
        connect(next, host);
      }
    }
  }

  /**
   * Schedules another pass over the queue for the end of the first rest, if any connection rests.
   */
  private void scheduleDispatch(UpstreamHost host) {
    if (!host.idleConnections.hasResting() || host.dispatchScheduled) {
      return;
    }
    host.dispatchScheduled = true;
    loop.schedule(
        () -> {
          host.dispatchScheduled = false;
          dispatchPending(host);
        },
        reusePolicy.restNanos(host, System.nanoTime()),
        TimeUnit.NANOSECONDS);
  }

  // --- unused connections

  /**
   * Takes a reusable connection, or returns null. Prefers the most recently used of the connections
   * that have rested long enough. Guards against bytes that follow a response in a separate packet,
   * for example a second copy of the response. On a connection in use, such bytes would be read as
   * the response to another request.
   */
  private UpstreamConnection pollReusable(UpstreamHost host) {
    UpstreamConnection newest;
    while ((newest = pollRested(host)) != null) {
      sockets.setUpstreamIdle(newest, false);
      if (newest.isAlive() && newest.isReusable()) {
        return newest;
      }
      newest.channel().close();
    }
    return null;
  }

  private UpstreamConnection pollRested(UpstreamHost host) {
    long now = System.nanoTime();
    host.idleConnections.endRests(now, reusePolicy.restNanos(host, now));
    return host.idleConnections.pollNewest(now, reusePolicy.maxIdleNanos(host, now));
  }

  /** Adds a connection that has completed an attempt and may carry another one. */
  void onConnectionIdle(UpstreamHost host, UpstreamConnection connection) {
    discarding.remove(connection);
    if (bounds.limits() != null && shouldFreeSlot(host, connection)) {
      connection.channel().close();
      return;
    }
    host.idleConnections.add(connection);
    sockets.setUpstreamIdle(connection, true);
    if (!host.pendingAttempts.isEmpty()) {
      dispatchPending(host);
    }
  }

  /**
   * Whether the connection must be closed to free its slot for another worker. Guards against a
   * worker that holds all slots of a host while others wait.
   */
  private boolean shouldFreeSlot(UpstreamHost host, UpstreamConnection connection) {
    ConnectionLimits.Slots slots = slotsOf(host);
    boolean canHandOver =
        host.pendingAttempts.isEmpty() || connection.attemptCount() % REQUESTS_BEFORE_HANDOVER == 0;
    return slots.isOverLimit() || (canHandOver && slots.hasWaiters());
  }

  /**
   * Closes a connection that this worker does not need, because another worker waits for a slot.
   */
  void closeIdleForWaiter(UpstreamHost host, ConnectionLimits.Slots slots) {
    List<UpstreamConnection> unused = host.idleConnections.all();
    if (host.pendingAttempts.isEmpty() && !unused.isEmpty() && slots.hasWaiters()) {
      unused.get(0).channel().close();
    }
  }

  /**
   * Reports bytes that belong to no response and that arrived on an unused connection, {@code
   * afterNanos} after the last response.
   */
  void onSurplusBytes(long afterNanos) {
    reusePolicy.onSurplusBytes(afterNanos);
  }

  /**
   * Tracks a connection on which the rest of an unwanted response is read and discarded, within a
   * time limit.
   */
  void onDiscardStarted(UpstreamConnection connection) {
    discarding.add(connection);
  }

  void onConnectionClosed(UpstreamHost host, UpstreamConnection connection) {
    discarding.remove(connection);
    host.idleConnections.remove(connection);
    sockets.setUpstreamIdle(connection, false);
  }

  // --- housekeeping

  /**
   * Closes three kinds of connections: those idle for too long, idle ones over the limit, and those
   * on which an unwanted response is still being read after its time limit.
   */
  void sweep(Iterable<UpstreamHost> hosts) {
    long now = System.nanoTime();
    for (UpstreamHost host : hosts) {
      closeExpired(host, now);
      if (host.connectionSlots != null && host.connectionSlots.slots().isOverLimit()) {
        host.idleConnections.all().forEach(UpstreamConnection::closeIdle);
      }
    }
    for (UpstreamConnection unwanted : new ArrayList<>(discarding)) {
      if (now - unwanted.idleSinceNanos() > DISCARD_NANOS) {
        unwanted.channel().close();
      }
    }
  }

  private void closeExpired(UpstreamHost host, long now) {
    host.idleConnections.endRests(now, reusePolicy.restNanos(host, now));
    UpstreamConnection expired;
    while ((expired = host.idleConnections.pollExpired(now, reusePolicy.maxIdleNanos(host, now)))
        != null) {
      expired.channel().close();
    }
  }

  /**
   * Closes every connection that carries no attempt and unregisters this pool from the hosts'
   * connection slots.
   */
  void closeIdle(Iterable<UpstreamHost> hosts) {
    for (UpstreamHost host : hosts) {
      host.idleConnections.all().forEach(UpstreamConnection::closeIdle);
      HostConnectionSlots.removeFrom(host);
    }
  }
}
