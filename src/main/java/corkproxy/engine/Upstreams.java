package corkproxy.engine;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The connections to hosts: opens them as needed, keeps the idle ones, ends them in time. */
public final class Upstreams {
  /** Part of the host's idle time after which a connection is closed: well before the host does. */
  private static final double IDLE_PART = 0.7;

  /** How long (ns) a connection rests after an answer before it carries another request. */
  private static final long REST_NANOS = 5_000_000L;

  /** How long (ns) the rest of an unwanted answer is waited for. */
  private static final long DISCARD_NANOS = 500_000_000L;

  /** Small reads and marks bound what one connection holds in memory. */
  public static final AdaptiveRecvByteBufAllocator READS = new AdaptiveRecvByteBufAllocator(512, 2048, 16_384);

  public static final WriteBufferWaterMark MARKS = new WriteBufferWaterMark(16_384, 32_768);

  private final Bootstrap bootstrap;
  private final Protocol protocol;
  private final Sockets sockets;
  private final Log log;
  private final long idleNanos;
  private final Set<UpstreamConnection> discarding = new HashSet<>();
  private long refused;

  /**
   * Connections of one pool on one loop. {@code connIdle} is how long (ms) hosts keep an idle
   * connection, {@code connectTimeout} how long (ms) one may take to come up.
   */
  public Upstreams(
      EventLoopGroup loop,
      Protocol protocol,
      double connIdle,
      double connectTimeout,
      Sockets sockets,
      Log log) {
    this.protocol = protocol;
    this.sockets = sockets;
    this.log = log;
    this.idleNanos = (long) (IDLE_PART * connIdle * 1e6);
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channelFactory(UpstreamChannel::new)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeout))
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, READS)
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, MARKS)
            .handler(
                new ChannelInitializer<UpstreamChannel>() {
                  @Override
                  protected void initChannel(UpstreamChannel ch) {}
                });
  }

  /** Carries the call to its host on a quiet connection, or on a new one. */
  void start(Attempt call) {
    Host host = call.host;
    UpstreamConnection c;
    while ((c = rested(host)) != null) {
      sockets.upstreamIdle(c, false);
      if (c.alive() && c.reusable()) {
        c.run(call);
        return;
      }
      c.channel().close();
    }
    if (!sockets.roomForUpstream()) {
      if (refused++ % 100 == 0) {
        log.line("out of sockets: " + refused + " attempts had none");
      }
      call.notSent();
      return;
    }
    connect(call, host);
  }

  /**
   * Takes the idle connection that has rested least of those that have rested enough. Guards
   * against bytes right behind an answer, a second copy of it say, that come in a packet of their
   * own: on a connection in use again they would be the answer to another request. It costs a few
   * more connections to hosts that answer within milliseconds.
   */
  private static UpstreamConnection rested(Host host) {
    long now = System.nanoTime();
    endRests(host, now);
    UpstreamConnection c = host.idle.peekLast();
    return c != null && now - c.since() < host.keepNanos(now) ? host.idle.pollLast() : null;
  }

  /** In one step a connection, where a look at each that rests would cost a busy host one a request. */
  private static void endRests(Host host, long now) {
    UpstreamConnection c;
    while ((c = host.resting.peekFirst()) != null && now - c.since() >= REST_NANOS) {
      host.idle.addLast(host.resting.pollFirst());
    }
  }

  private void connect(Attempt call, Host host) {
    ChannelFuture f = bootstrap.connect(host.address);
    UpstreamChannel channel = (UpstreamChannel) f.channel();
    sockets.upstreamOpened();
    channel.closeFuture().addListener(x -> sockets.upstreamClosed());
    call.connecting(channel);
    host.connecting.add(call);
    f.addListener(
        x -> {
          if (!host.connecting.remove(call)) {
            channel.close(); // given up meanwhile
          } else if (!f.isSuccess()) {
            call.notSent();
          } else {
            protocol.open(this, host, channel).run(call);
          }
        });
  }

  /** The call is over or not wanted any more. */
  void end(Attempt call) {
    call.host.connecting.remove(call);
    call.abandon();
  }

  void idle(Host host, UpstreamConnection c) {
    discarding.remove(c);
    host.resting.addLast(c);
    sockets.upstreamIdle(c, true);
  }

  void discarding(UpstreamConnection c) {
    discarding.add(c);
  }

  void closed(Host host, UpstreamConnection c) {
    discarding.remove(c);
    if (!host.idle.remove(c)) {
      host.resting.remove(c);
    }
    sockets.upstreamIdle(c, false);
  }

  /** Nothing new goes to the host as it was: returns the calls that had not got a connection. */
  List<Attempt> cut(Host host) {
    for (UpstreamConnection c : unused(host)) {
      if (!c.reusable()) {
        c.channel().close();
      }
    }
    List<Attempt> unsent = new ArrayList<>(host.connecting);
    host.connecting.clear();
    return unsent;
  }

  /** Closes what has been idle for long. */
  void sweep(Iterable<Host> hosts) {
    long now = System.nanoTime();
    for (Host h : hosts) {
      endRests(h, now);
      UpstreamConnection c;
      while ((c = h.idle.peekFirst()) != null && now - c.since() > Math.min(idleNanos, h.keepNanos(now))) {
        h.idle.pollFirst();
        c.channel().close();
      }
    }
    for (UpstreamConnection c : new ArrayList<>(discarding)) {
      if (now - c.since() > DISCARD_NANOS) {
        c.channel().close();
      }
    }
  }

  private static List<UpstreamConnection> unused(Host h) {
    List<UpstreamConnection> all = new ArrayList<>(h.idle);
    all.addAll(h.resting);
    return all;
  }

  /** Closes every connection on which nothing is carried. */
  void closeIdle(Iterable<Host> hosts) {
    for (Host h : hosts) {
      unused(h).forEach(UpstreamConnection::closeIdle);
    }
  }
}
