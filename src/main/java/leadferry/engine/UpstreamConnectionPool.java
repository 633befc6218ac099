package leadferry.engine;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/** The connections to hosts: opens them as needed, keeps the idle ones, ends them in time. */
public final class UpstreamConnectionPool {
  /** Part of the host's idle time after which a connection is closed: well before the host does. */
  private static final double IDLE_PART = 0.7;

  /** How long (ns) a connection to a host that was seen to send surplus rests after an answer. */
  private static final long REST_NANOS = 5_000_000L;

  /** How long (ns) the rest of an unwanted answer is waited for. */
  private static final long DISCARD_NANOS = 500_000_000L;

  /** Small reads and marks bound what one connection holds in memory. */
  public static final AdaptiveRecvByteBufAllocator READS =
      new AdaptiveRecvByteBufAllocator(512, 2048, 16_384);

  public static final WriteBufferWaterMark MARKS = new WriteBufferWaterMark(16_384, 32_768);

  /** How long (ns) a host that was seen to send surplus bytes is remembered. */
  private static final long SURPLUS_NANOS = 600_000_000_000L;

  /** Requests that a connection carries before it goes to another worker that waits for a place. */
  private static final int TURN = 16;

  /** Of attempts that got no socket on this machine one in so many has a line in the log. */
  private static final int REFUSALS_LOGGED = 100;

  private final EventLoop loop;
  private final Transport transport;
  private final Bootstrap bootstrap;
  private final Protocol protocol;
  private final Sockets sockets;
  private final Log log;
  private final Set<UpstreamConnection> discarding = new HashSet<>();
  private PoolBounds bounds;
  private long refused;

  /**
   * The latest (ns) after an answer that surplus was seen, and when (ns); any host may send some.
   */
  private long surplusAfter;

  private long surplusAt;

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
    this.protocol = protocol;
    this.bounds = bounds;
    this.sockets = sockets;
    this.log = log;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(transport.connection())
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, READS)
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, MARKS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel ch) {}
                });
    bounds(bounds);
  }

  /** From now on these hold; {@code limits} must be the same as before. */
  public void bounds(PoolBounds next) {
    bounds = next;
    bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, next.connectMs()));
  }

  int maxRequests() {
    return bounds.maxRequests();
  }

  boolean quiet(Channel connection) {
    return transport.quiet(connection);
  }

  /** Carries the call to its host on a quiet connection, on a new one, or waits for one. */
  void start(Attempt call) {
    UpstreamHost host = call.host;
    if (!due(call)) {
      return;
    }
    if (host.pending.isEmpty()) {
      UpstreamConnection c = ready(host);
      if (c != null) {
        c.run(call);
        return;
      }
      if (bounds.limits() == null || places(host).take()) {
        connect(call, host);
        return;
      }
    }
    if (host.pending.size() >= bounds.maxPending()) {
      // Known not to have run, and no fault of the host's: the module may ask another.
      call.moot();
      return;
    }
    host.pending.addLast(call);
    call.queued();
    pump(host);
  }

  /** A connection that may carry now, or null. */
  private UpstreamConnection ready(UpstreamHost host) {
    UpstreamConnection c;
    while ((c = rested(host)) != null) {
      sockets.upstreamIdle(c, false);
      if (c.alive() && c.reusable()) {
        return c;
      }
      c.channel().close();
    }
    return null;
  }

  /** Gives attempts that wait what has become free, in the order in which they came. */
  private void pump(UpstreamHost host) {
    if (host.pending.isEmpty()) {
      if (host.member != null) {
        host.member.places.pass();
      }
      return;
    }
    Attempt next;
    while ((next = host.pending.peekFirst()) != null) {
      if (!due(next)) {
        continue;
      }
      UpstreamConnection c = ready(host);
      boolean connects = c == null && places(host).take();
      if (c == null && !connects) {
        break;
      }
      host.pending.pollFirst();
      if (c != null) {
        c.run(next);
      } else {
        connect(next, host);
      }
    }
    if (!host.pending.isEmpty()) {
      if (!host.resting.isEmpty() && !host.pumping) {
        host.pumping = true;
        loop.schedule(
            () -> {
              host.pumping = false;
              pump(host);
            },
            restNanos(host, System.nanoTime()),
            TimeUnit.NANOSECONDS);
      }
      places(host).await(host.member);
    }
  }

  /** The host's places at the address that it has now. */
  private ConnectionLimits.Places places(UpstreamHost host) {
    if (host.member == null || !host.member.address.equals(host.address)) {
      leave(host);
      host.member = new HostMember(host, bounds.limits().of(host.address));
      host.member.places.join(host.member);
    }
    return host.member.places;
  }

  private static void leave(UpstreamHost host) {
    if (host.member != null) {
      host.member.places.leave(host.member);
      host.member = null;
    }
  }

  /** One host's part in the places that all workers share. */
  final class HostMember implements ConnectionLimits.Member {
    private final UpstreamHost host;
    private final InetSocketAddress address;
    private final ConnectionLimits.Places places;
    private final AtomicBoolean asked = new AtomicBoolean();

    private HostMember(UpstreamHost host, ConnectionLimits.Places places) {
      this.host = host;
      this.address = host.address;
      this.places = places;
    }

    @Override
    public void placeFree() {
      loop.execute(
          () -> {
            if (host.member == this) {
              pump(host);
            } else {
              places.pass();
            }
          });
    }

    @Override
    public void yieldIdle() {
      if (asked.compareAndSet(false, true)) {
        loop.execute(
            () -> {
              asked.set(false);
              List<UpstreamConnection> unused = unused(host);
              if (host.pending.isEmpty() && !unused.isEmpty() && places.wanted()) {
                unused.get(0).channel().close();
              }
            });
      }
    }
  }

  /**
   * Takes the idle connection that has rested least of those that have rested enough. Guards
   * against bytes right behind an answer, a second copy of it say, that come in a packet of their
   * own: on a connection in use again they would be the answer to another request. It costs a few
   * more connections to hosts that answer within milliseconds.
   */
  private UpstreamConnection rested(UpstreamHost host) {
    long now = System.nanoTime();
    endRests(host, now);
    UpstreamConnection c = host.idle.peekLast();
    return c != null && now - c.since() < keepNanos(host, now) ? host.idle.pollLast() : null;
  }

  /**
   * How long (ns) a connection may stand idle and be used: by the settings, and by what was seen.
   * Upkeep ends it then, but a request may come first, and the host's own end of it would be a
   * reset under a request that may have run.
   */
  private long keepNanos(UpstreamHost host, long now) {
    return Math.min((long) (IDLE_PART * bounds.idleMs() * 1e6), host.keepNanos(now));
  }

  /**
   * In one step a connection, where a look at each that rests would cost a busy host one a request.
   */
  private void endRests(UpstreamHost host, long now) {
    long rest = restNanos(host, now);
    UpstreamConnection c;
    while ((c = host.resting.peekFirst()) != null && now - c.since() >= rest) {
      host.idle.addLast(host.resting.pollFirst());
    }
  }

  private long restNanos(UpstreamHost host, long now) {
    long rest = (long) (bounds.restMs() * 1e6);
    boolean seen = host.surplusSeen && now - host.surplusAt < SURPLUS_NANOS;
    boolean late = now - surplusAt < SURPLUS_NANOS;
    return Math.max(rest, Math.max(seen ? REST_NANOS : 0, late ? surplusAfter : 0));
  }

  /**
   * Bytes that belong to no answer came so long (ns) after one. Guards against a second answer that
   * is later than the rest: on a connection in use again it would be taken for the next one's, and
   * nothing in it says whose it is. Where it was late once, all connections rest for twice as long,
   * SocketSlack at most.
   */
  void surplus(long after) {
    long now = System.nanoTime();
    long known = now - surplusAt < SURPLUS_NANOS ? surplusAfter : 0;
    surplusAfter = Math.max(known, Math.min(2 * after, SocketSlack.NANOS));
    surplusAt = now;
  }

  /** Opens a connection for the call; its place has been taken. */
  private void connect(Attempt call, UpstreamHost host) {
    ConnectionLimits.Places places = bounds.limits() == null ? null : places(host);
    ChannelFuture f = sockets.roomForUpstream() ? bootstrap.connect(host.address) : null;
    if (f == null || !f.channel().isRegistered()) {
      // The bound is reached, or the system's. Guards against a host that pays for what is ours: it
      // had no part in it.
      if (refused++ % REFUSALS_LOGGED == 0) {
        log.line("out of sockets: " + refused + " attempts had none");
      }
      if (places != null) {
        places.give();
      }
      call.moot();
      return;
    }
    Channel channel = f.channel();
    sockets.upstreamOpened();
    channel
        .closeFuture()
        .addListener(
            x -> {
              sockets.upstreamClosed();
              if (places != null) {
                places.give();
              }
            });
    call.connecting(channel);
    host.connecting.add(call);
    f.addListener(
        x -> {
          if (!host.connecting.remove(call)) {
            channel.close(); // given up meanwhile
          } else if (f.cause() != null && ConnectFailure.isLocal(f.cause())) {
            connectFailed(f.cause());
            call.moot();
          } else if (!f.isSuccess()) {
            call.notSent();
          } else if (due(call)) {
            protocol.open(this, host, channel).run(call);
          }
        });
  }

  private void connectFailed(Throwable cause) {
    if (refused++ % REFUSALS_LOGGED == 0) {
      log.line(
          "no connection to be had here: "
              + cause.getMessage()
              + ", "
              + refused
              + " attempts had none");
    }
  }

  /**
   * Whether a call may go out now; if not, it ends here, known not to have run. Asked when it comes
   * and when its wait is over. Guards against what has become of its request, its time, its host
   * and its other attempts meanwhile.
   */
  private static boolean due(Attempt call) {
    boolean due = call.maySend();
    if (!due) {
      call.moot();
    }
    return due;
  }

  /** The call is over or not wanted any more. */
  void end(Attempt call) {
    call.host.connecting.remove(call);
    if (!call.host.pending.isEmpty()) {
      call.host.pending.remove(call);
    }
    call.abandon();
  }

  /** A connection has carried an attempt to its end and may carry another. */
  void idle(UpstreamHost host, UpstreamConnection c) {
    discarding.remove(c);
    if (bounds.limits() != null) {
      ConnectionLimits.Places places = places(host);
      // Guards against a worker that keeps every place of a host for itself, however long others
      // wait.
      boolean turn = host.pending.isEmpty() || c.carried() % TURN == 0;
      if (places.over() || (turn && places.wanted())) {
        c.channel().close();
        return;
      }
    }
    host.resting.addLast(c);
    sockets.upstreamIdle(c, true);
    if (!host.pending.isEmpty()) {
      pump(host);
    }
  }

  void discarding(UpstreamConnection c) {
    discarding.add(c);
  }

  void closed(UpstreamHost host, UpstreamConnection c) {
    discarding.remove(c);
    if (!host.idle.remove(c)) {
      host.resting.remove(c);
    }
    sockets.upstreamIdle(c, false);
  }

  /** Nothing new goes to the host as it was: returns the calls that had not got a connection. */
  List<Attempt> cut(UpstreamHost host) {
    for (UpstreamConnection c : unused(host)) {
      if (!c.reusable()) {
        c.channel().close();
      }
    }
    List<Attempt> unsent = new ArrayList<>(host.connecting);
    unsent.addAll(host.pending);
    host.connecting.clear();
    host.pending.clear();
    leave(host);
    return unsent;
  }

  /** Closes what has been idle for long. */
  void sweep(Iterable<UpstreamHost> hosts) {
    long now = System.nanoTime();
    for (UpstreamHost h : hosts) {
      endRests(h, now);
      UpstreamConnection c;
      while ((c = h.idle.peekFirst()) != null && now - c.since() > keepNanos(h, now)) {
        h.idle.pollFirst();
        c.channel().close();
      }
      if (h.member != null && h.member.places.over()) {
        unused(h).forEach(UpstreamConnection::closeIdle);
      }
    }
    for (UpstreamConnection c : new ArrayList<>(discarding)) {
      if (now - c.since() > DISCARD_NANOS) {
        c.channel().close();
      }
    }
  }

  private static List<UpstreamConnection> unused(UpstreamHost h) {
    List<UpstreamConnection> all = new ArrayList<>(h.idle);
    all.addAll(h.resting);
    return all;
  }

  /** Closes every connection on which nothing is carried. */
  void closeIdle(Iterable<UpstreamHost> hosts) {
    for (UpstreamHost h : hosts) {
      unused(h).forEach(UpstreamConnection::closeIdle);
      leave(h);
    }
  }
}
