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
 * The connections of one pool on one loop, to which it is confined: gives each attempt a connection
 * that is unused, or a new one, or a place in its host's pending queue. {@link UpstreamConnector}
 * opens them, {@link ConnectionReusePolicy} says how long they rest and are kept, {@link
 * ConnectionLimits} how many there may be.
 *
 * <pre>
 *   attempt -> unused connection? -> place for a new one? -> pending queue not full? -> never ran
 *                 run                     connect                  wait
 * </pre>
 */
public final class UpstreamConnectionPool {
  /** Small reads bound what one connection holds in memory. */
  public static final AdaptiveRecvByteBufAllocator READ_BUFFER_ALLOCATOR =
      new AdaptiveRecvByteBufAllocator(512, 2048, 16_384);

  /** Low marks (bytes) bound what one connection holds unwritten. */
  public static final WriteBufferWaterMark WRITE_BUFFER_WATER_MARK =
      new WriteBufferWaterMark(16_384, 32_768);

  /** How long (ns) the rest of an unwanted response is waited for. */
  private static final long DISCARD_NANOS = 500_000_000L;

  /** Requests that a connection carries before it goes to another worker that waits for a place. */
  private static final int REQUESTS_PER_TURN = 16;

  private final EventLoop loop;
  private final Transport transport;
  private final SocketBudget sockets;
  private final UpstreamConnector connector;
  private final ConnectionReusePolicy reusePolicy;
  private final Set<UpstreamConnection> discarding = new HashSet<>();
  private PoolBounds bounds;

  /** Connections of one pool on one loop. */
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

  /** From now on these hold; {@code limits} must be the same as before. */
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

  /** Carries the attempt to its host on an unused connection, on a new one, or has it wait. */
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
      if (bounds.limits() == null || places(host).tryAcquire()) {
        connect(attempt, host);
        return;
      }
    }
    if (host.pendingAttempts.size() >= bounds.maxPending()) {
      // Known not to have run, and no fault of the host's: the module may ask another.
      attempt.endAsNeverRun();
      return;
    }
    host.pendingAttempts.addLast(attempt);
    attempt.onQueued();
    dispatchPending(host);
  }

  /**
   * Whether an attempt may go out now; if not, it ends here, known not to have run. Asked when it
   * comes and when its wait is over. Guards against what has become of its request, its time, its
   * host and its other attempts meanwhile.
   */
  static boolean endUnlessSendable(Attempt attempt) {
    boolean sendable = attempt.canSend();
    if (!sendable) {
      attempt.endAsNeverRun();
    }
    return sendable;
  }

  /** The attempt is over or not wanted any more. */
  void onAttemptEnded(Attempt attempt) {
    attempt.host.connectingAttempts.remove(attempt);
    if (!attempt.host.pendingAttempts.isEmpty()) {
      attempt.host.pendingAttempts.remove(attempt);
    }
    attempt.releaseConnection();
  }

  /** Nothing new goes to the host as it was: returns the attempts that had got no connection. */
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

  /** Opens a connection for the attempt; its place has been taken. */
  private void connect(Attempt attempt, UpstreamHost host) {
    connector.connect(attempt, host, bounds.limits() == null ? null : places(host));
  }

  private ConnectionLimits.Slots places(UpstreamHost host) {
    return HostConnectionSlots.of(host, bounds.limits(), this, loop);
  }

  // --- the pending queue

  /** Gives pending attempts what has become free, in the order in which they came. */
  void dispatchPending(UpstreamHost host) {
    if (host.pendingAttempts.isEmpty()) {
      if (host.connectionSlots != null) {
        host.connectionSlots.slots().offerToNext();
      }
      return;
    }
    runPending(host);
    if (!host.pendingAttempts.isEmpty()) {
      scheduleDispatch(host);
      places(host).awaitSlot(host.connectionSlots);
    }
  }

  private void runPending(UpstreamHost host) {
    Attempt next;
    while ((next = host.pendingAttempts.peekFirst()) != null) {
      if (!endUnlessSendable(next)) {
        continue; // its end has taken it out of the queue
      }
      UpstreamConnection unused = pollReusable(host);
      if (unused == null && !places(host).tryAcquire()) {
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

  /** Looks at the queue again when the first rest is over, where a connection rests. */
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
   * Takes a connection that may carry now, or null. It is the one that has rested least of those
   * that have rested enough. Guards against bytes right behind a response, a second copy of it say,
   * that come in a packet of their own: on a connection in use again they would be the response to
   * another request.
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

  /** A connection has carried an attempt to its end and may carry another. */
  void onConnectionIdle(UpstreamHost host, UpstreamConnection connection) {
    discarding.remove(connection);
    if (bounds.limits() != null && owesItsPlace(host, connection)) {
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
   * Whether the connection has to end for others' sake. Guards against a worker that keeps every
   * place of a host for itself, however long others wait.
   */
  private boolean owesItsPlace(UpstreamHost host, UpstreamConnection connection) {
    ConnectionLimits.Slots places = places(host);
    boolean turnOver =
        host.pendingAttempts.isEmpty() || connection.attemptCount() % REQUESTS_PER_TURN == 0;
    return places.isOverLimit() || (turnOver && places.hasWaiters());
  }

  /** Another worker waits for one of the places: closes a connection that nothing here needs. */
  void closeIdleForWaiter(UpstreamHost host, ConnectionLimits.Slots places) {
    List<UpstreamConnection> unused = host.idleConnections.all();
    if (host.pendingAttempts.isEmpty() && !unused.isEmpty() && places.hasWaiters()) {
      unused.get(0).channel().close();
    }
  }

  /** Bytes that belong to no response came so long (ns) after one, on an unused connection. */
  void onSurplusBytes(long afterNanos) {
    reusePolicy.onSurplusBytes(afterNanos);
  }

  /** The rest of an unwanted response is read and thrown away, for so long as it may take. */
  void onDiscardStarted(UpstreamConnection connection) {
    discarding.add(connection);
  }

  void onConnectionClosed(UpstreamHost host, UpstreamConnection connection) {
    discarding.remove(connection);
    host.idleConnections.remove(connection);
    sockets.setUpstreamIdle(connection, false);
  }

  // --- housekeeping

  /** Closes what has been idle for long. */
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

  /** Closes every connection on which nothing is carried. */
  void closeIdle(Iterable<UpstreamHost> hosts) {
    for (UpstreamHost host : hosts) {
      host.idleConnections.all().forEach(UpstreamConnection::closeIdle);
      HostConnectionSlots.removeFrom(host);
    }
  }
}
