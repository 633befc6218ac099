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
  public static final AdaptiveRecvByteBufAllocator READS =
      new AdaptiveRecvByteBufAllocator(512, 2048, 16_384);

  /** Low marks (bytes) bound what one connection holds unwritten. */
  public static final WriteBufferWaterMark MARKS = new WriteBufferWaterMark(16_384, 32_768);

  /** How long (ns) the rest of an unwanted response is waited for. */
  private static final long DISCARD_NANOS = 500_000_000L;

  /** Requests that a connection carries before it goes to another worker that waits for a place. */
  private static final int REQUESTS_PER_TURN = 16;

  private final EventLoop loop;
  private final Transport transport;
  private final Sockets sockets;
  private final UpstreamConnector connector;
  private final ConnectionReusePolicy reusePolicy;
  private final Set<UpstreamConnection> discarding = new HashSet<>();
  private PoolBounds bounds;

  /** Connections of one pool on one loop. */
  public UpstreamConnectionPool(
      EventLoop loop,
      Transport transport,
      Protocol protocol,
      PoolBounds bounds,
      Sockets sockets,
      Log log) {
    this.loop = loop;
    this.transport = transport;
    this.sockets = sockets;
    this.connector =
        new UpstreamConnector(this, loop, transport.connection(), protocol, sockets, log);
    this.reusePolicy = new ConnectionReusePolicy(bounds);
    bounds(bounds);
  }

  /** From now on these hold; {@code limits} must be the same as before. */
  public void bounds(PoolBounds next) {
    bounds = next;
    reusePolicy.bounds(next);
    connector.connectTimeout(next.connectMs());
  }

  int maxRequests() {
    return bounds.maxRequests();
  }

  boolean quiet(Channel connection) {
    return transport.quiet(connection);
  }

  // --- attempts

  /** Carries the attempt to its host on an unused connection, on a new one, or has it wait. */
  void start(Attempt attempt) {
    UpstreamHost host = attempt.host;
    if (!endUnlessSendable(attempt)) {
      return;
    }
    if (host.pending.isEmpty()) {
      UpstreamConnection unused = pollReusable(host);
      if (unused != null) {
        unused.run(attempt);
        return;
      }
      if (bounds.limits() == null || places(host).take()) {
        connect(attempt, host);
        return;
      }
    }
    if (host.pending.size() >= bounds.maxPending()) {
      // Known not to have run, and no fault of the host's: the module may ask another.
      attempt.moot();
      return;
    }
    host.pending.addLast(attempt);
    attempt.queued();
    dispatchPending(host);
  }

  /**
   * Whether an attempt may go out now; if not, it ends here, known not to have run. Asked when it
   * comes and when its wait is over. Guards against what has become of its request, its time, its
   * host and its other attempts meanwhile.
   */
  static boolean endUnlessSendable(Attempt attempt) {
    boolean sendable = attempt.maySend();
    if (!sendable) {
      attempt.moot();
    }
    return sendable;
  }

  /** The attempt is over or not wanted any more. */
  void end(Attempt attempt) {
    attempt.host.connecting.remove(attempt);
    if (!attempt.host.pending.isEmpty()) {
      attempt.host.pending.remove(attempt);
    }
    attempt.abandon();
  }

  /** Nothing new goes to the host as it was: returns the attempts that had got no connection. */
  List<Attempt> cut(UpstreamHost host) {
    for (UpstreamConnection unused : host.idle.all()) {
      if (!unused.reusable()) {
        unused.channel().close();
      }
    }
    List<Attempt> unsent = new ArrayList<>(host.connecting);
    unsent.addAll(host.pending);
    host.connecting.clear();
    host.pending.clear();
    HostPlaces.leave(host);
    return unsent;
  }

  /** Opens a connection for the attempt; its place has been taken. */
  private void connect(Attempt attempt, UpstreamHost host) {
    connector.connect(attempt, host, bounds.limits() == null ? null : places(host));
  }

  private ConnectionLimits.Places places(UpstreamHost host) {
    return HostPlaces.of(host, bounds.limits(), this, loop);
  }

  // --- the pending queue

  /** Gives pending attempts what has become free, in the order in which they came. */
  void dispatchPending(UpstreamHost host) {
    if (host.pending.isEmpty()) {
      if (host.member != null) {
        host.member.places().pass();
      }
      return;
    }
    runPending(host);
    if (!host.pending.isEmpty()) {
      scheduleDispatch(host);
      places(host).await(host.member);
    }
  }

  private void runPending(UpstreamHost host) {
    Attempt next;
    while ((next = host.pending.peekFirst()) != null) {
      if (!endUnlessSendable(next)) {
        continue; // its end has taken it out of the queue
      }
      UpstreamConnection unused = pollReusable(host);
      if (unused == null && !places(host).take()) {
        return;
      }
      host.pending.pollFirst();
      if (unused != null) {
        unused.run(next);
      } else {
        connect(next, host);
      }
    }
  }

  /** Looks at the queue again when the first rest is over, where a connection rests. */
  private void scheduleDispatch(UpstreamHost host) {
    if (!host.idle.anyResting() || host.dispatchScheduled) {
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
      sockets.upstreamIdle(newest, false);
      if (newest.alive() && newest.reusable()) {
        return newest;
      }
      newest.channel().close();
    }
    return null;
  }

  private UpstreamConnection pollRested(UpstreamHost host) {
    long now = System.nanoTime();
    host.idle.endRests(now, reusePolicy.restNanos(host, now));
    return host.idle.pollNewest(now, reusePolicy.keepNanos(host, now));
  }

  /** A connection has carried an attempt to its end and may carry another. */
  void idle(UpstreamHost host, UpstreamConnection connection) {
    discarding.remove(connection);
    if (bounds.limits() != null && owesItsPlace(host, connection)) {
      connection.channel().close();
      return;
    }
    host.idle.add(connection);
    sockets.upstreamIdle(connection, true);
    if (!host.pending.isEmpty()) {
      dispatchPending(host);
    }
  }

  /**
   * Whether the connection has to end for others' sake. Guards against a worker that keeps every
   * place of a host for itself, however long others wait.
   */
  private boolean owesItsPlace(UpstreamHost host, UpstreamConnection connection) {
    ConnectionLimits.Places places = places(host);
    boolean turnOver = host.pending.isEmpty() || connection.carried() % REQUESTS_PER_TURN == 0;
    return places.over() || (turnOver && places.wanted());
  }

  /** Another worker waits for one of the places: closes a connection that nothing here needs. */
  void yieldIdle(UpstreamHost host, ConnectionLimits.Places places) {
    List<UpstreamConnection> unused = host.idle.all();
    if (host.pending.isEmpty() && !unused.isEmpty() && places.wanted()) {
      unused.get(0).channel().close();
    }
  }

  /** Bytes that belong to no response came so long (ns) after one, on an unused connection. */
  void surplus(long afterNanos) {
    reusePolicy.surplusSeen(afterNanos);
  }

  /** The rest of an unwanted response is read and thrown away, for so long as it may take. */
  void discarding(UpstreamConnection connection) {
    discarding.add(connection);
  }

  void closed(UpstreamHost host, UpstreamConnection connection) {
    discarding.remove(connection);
    host.idle.remove(connection);
    sockets.upstreamIdle(connection, false);
  }

  // --- housekeeping

  /** Closes what has been idle for long. */
  void sweep(Iterable<UpstreamHost> hosts) {
    long now = System.nanoTime();
    for (UpstreamHost host : hosts) {
      closeExpired(host, now);
      if (host.member != null && host.member.places().over()) {
        host.idle.all().forEach(UpstreamConnection::closeIdle);
      }
    }
    for (UpstreamConnection unwanted : new ArrayList<>(discarding)) {
      if (now - unwanted.since() > DISCARD_NANOS) {
        unwanted.channel().close();
      }
    }
  }

  private void closeExpired(UpstreamHost host, long now) {
    host.idle.endRests(now, reusePolicy.restNanos(host, now));
    UpstreamConnection expired;
    while ((expired = host.idle.pollExpired(now, reusePolicy.keepNanos(host, now))) != null) {
      expired.channel().close();
    }
  }

  /** Closes every connection on which nothing is carried. */
  void closeIdle(Iterable<UpstreamHost> hosts) {
    for (UpstreamHost host : hosts) {
      host.idle.all().forEach(UpstreamConnection::closeIdle);
      HostPlaces.leave(host);
    }
  }
}
