package leadferry.testbed;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * An HTTP host with cores, a queue and a warm-up that can be made to misbehave. It tells the ledger
 * of every request that begins to run. Its state is one loop's; faults may be set from any thread.
 *
 * <p>An answer echoes {@code X-Request-ID} and names the host in {@code X-Served-By}, the body
 * begins with the id, so that a client can tell an answer made for another request from its own.
 */
public final class FakeUpstream implements AutoCloseable {
  /** What goes wrong. */
  public enum Fault {
    NONE,
    /** Takes work, does it, says nothing. */
    SILENT,
    /** Resets the connection in place of doing the work. */
    RESET_BEFORE,
    /** Does the work and resets the connection. */
    RESET_AFTER,
    /** Answers 500 at once, with nothing done. */
    FAIL_FAST,
    /** Turns work away: 503 with {@code X-Not-Processed: 1}. */
    TURN_AWAY,
    /** Does the work and answers noise. */
    SPOILT,
    /** Does the work and answers a byte at a time. */
    SLOW_BYTES
  }

  /**
   * How the host is built.
   *
   * @param name its id
   * @param pod its pod
   * @param port where it listens on loopback, 0 for any
   * @param serviceMillis mean of the exponential time that a request takes a core; 0 answers at
   *     once
   * @param cores requests that run at once
   * @param queueCapacity requests that wait at most
   * @param warmUpMillis how long after its start it gets to its full speed
   * @param startCapacity the part of its speed that it starts with
   * @param maxConnections connections; more are closed at once
   * @param reportsLoad whether answers tell {@code X-Server-Load}
   * @param bodyBytes length of an answer's body at least
   * @param seed of its random numbers
   */
  public record Options(
      String name,
      String pod,
      int port,
      double serviceMillis,
      int cores,
      int queueCapacity,
      double warmUpMillis,
      double startCapacity,
      int maxConnections,
      boolean reportsLoad,
      int bodyBytes,
      long seed) {
    /** A host that answers at once. */
    public static Options instant(String name) {
      return new Options(name, "p1", 0, 0, 1, 1_000, 0, 1, 100_000, false, 64, 1);
    }

    public Options withServiceTime(double ms, int onCores) {
      return new Options(
          name,
          pod,
          port,
          ms,
          onCores,
          queueCapacity,
          warmUpMillis,
          startCapacity,
          maxConnections,
          reportsLoad,
          bodyBytes,
          seed);
    }

    /** So long until it has its full speed, from that part of it on. */
    public Options withWarmUp(double ms, double from) {
      return new Options(
          name,
          pod,
          port,
          serviceMillis,
          cores,
          queueCapacity,
          ms,
          from,
          maxConnections,
          reportsLoad,
          bodyBytes,
          seed);
    }

    public Options withPod(String podName) {
      return new Options(
          name,
          podName,
          port,
          serviceMillis,
          cores,
          queueCapacity,
          warmUpMillis,
          startCapacity,
          maxConnections,
          reportsLoad,
          bodyBytes,
          seed);
    }
  }

  /** While a host warms up, more than this many times what it can do, for this long, fells it. */
  private static final double FALL_MULTIPLE = 3;

  private static final long FALL_NANOS = 1_500_000_000L;

  /** Fewer requests in that time never fell a host: chance makes as many. */
  private static final int FALL_LEAST = 10;

  /** How long (ms) connections are open at once before they count as such. */
  private static final long STILL_MS = 50;

  private static final int MAX_BODY = 1 << 20;
  private static final long SLOW_BYTE_MS = 20;

  private record Work(
      ChannelHandlerContext ctx, String id, boolean head, boolean close, long until) {}

  private final Options options;
  private final ExecutionLog ledger;
  private final MultiThreadIoEventLoopGroup group;
  private final EventLoop loop;
  private final Channel listener;
  private final SplittableRandom random;
  private volatile long startedAt = System.nanoTime();
  private final Set<SocketChannel> open = new HashSet<>();
  private final ArrayDeque<Work> waiting = new ArrayDeque<>();
  private final ArrayDeque<Long> arrivals = new ArrayDeque<>();
  private final byte[] filler;
  private volatile Fault fault = Fault.NONE;
  private volatile double faultShare;
  private volatile int connections;
  private volatile int maxConcurrentConnections;
  private volatile long served;
  private volatile boolean collapsed;
  private volatile long lastArrivalNanos;
  private int running;

  /** Starts a host on loopback. */
  public FakeUpstream(Options options, ExecutionLog ledger) {
    this.options = options;
    this.ledger = ledger;
    this.random = new SplittableRandom(options.seed());
    this.filler = " ".repeat(Math.max(0, options.bodyBytes())).getBytes(StandardCharsets.US_ASCII);
    this.group =
        new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("standin", true), NioIoHandler.newFactory());
    this.loop = (EventLoop) group.next();
    this.listener =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 1_024)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel ch) {
                    accepted(ch);
                  }
                })
            .bind(InetAddress.getLoopbackAddress(), options.port())
            .syncUninterruptibly()
            .channel();
  }

  public String name() {
    return options.name();
  }

  public String pod() {
    return options.pod();
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** {@code 127.0.0.1:port}. */
  public String hostAndPort() {
    return "127.0.0.1:" + address().getPort();
  }

  /** From now on a share (0 to 1) of requests meets this fault. */
  public void setFault(Fault what, double share) {
    faultShare = share;
    fault = what;
  }

  public long served() {
    return served;
  }

  public int connections() {
    return connections;
  }

  /** The most that were open at once for 50 ms, as far as that has passed. */
  public int maxConcurrentConnections() {
    return maxConcurrentConnections;
  }

  /** Whether it was pushed over while it was cold; it stays down. */
  public boolean hasCollapsed() {
    return collapsed;
  }

  /** When (ns of {@link System#nanoTime}) the last request came, or 0. */
  public long lastArrivalNanos() {
    return lastArrivalNanos;
  }

  /** Requests that run or wait here. */
  public int requestsInProgress() {
    return loop.submit(() -> running + waiting.size()).syncUninterruptibly().getNow();
  }

  /** Ends all connections and is as cold as after a start; returns once that is so. */
  public void restart() {
    loop.submit(
            () -> {
              List.copyOf(open).forEach(SocketChannel::close);
              waiting.clear();
              arrivals.clear();
              startedAt = System.nanoTime();
            })
        .syncUninterruptibly();
  }

  private void accepted(SocketChannel ch) {
    if (collapsed || connections >= options.maxConnections()) {
      ch.close();
      return;
    }
    open.add(ch);
    connections = open.size();
    ch.closeFuture()
        .addListener(
            f -> {
              open.remove(ch);
              connections = open.size();
            });
    if (connections > maxConcurrentConnections) {
      // A client that closes one connection and opens another holds one, and a busy loop may meet
      // the two
      // in either order: those count that are still there a moment later.
      List<SocketChannel> now = List.copyOf(open);
      loop.schedule(() -> countStill(now), STILL_MS, TimeUnit.MILLISECONDS);
    }
    ch.pipeline()
        .addLast(
            new HttpServerCodec(),
            new HttpObjectAggregator(MAX_BODY),
            new SimpleChannelInboundHandler<FullHttpRequest>() {
              @Override
              protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest r) {
                arrived(ctx, r);
              }

              @Override
              public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                ctx.close();
              }
            });
  }

  private void countStill(List<SocketChannel> then) {
    int still = 0;
    for (SocketChannel ch : then) {
      still += ch.isOpen() ? 1 : 0;
    }
    maxConcurrentConnections = Math.max(maxConcurrentConnections, still);
  }

  private void arrived(ChannelHandlerContext ctx, FullHttpRequest r) {
    long now = System.nanoTime();
    lastArrivalNanos = now;
    if (fell(now)) {
      ctx.close();
      return;
    }
    String timeout = r.headers().get("X-Timeout-Ms");
    long until = timeout == null ? Long.MAX_VALUE : now + Long.parseLong(timeout) * 1_000_000L;
    Work w =
        new Work(
            ctx,
            r.headers().get("X-Request-ID"),
            r.method().equals(HttpMethod.HEAD),
            r.headers().contains(HttpHeaderNames.CONNECTION, "close", true),
            until);
    Fault f = fault != Fault.NONE && random.nextDouble() < faultShare ? fault : Fault.NONE;
    switch (f) {
      case RESET_BEFORE -> reset(ctx);
      case FAIL_FAST -> answer(w, 500, false);
      case TURN_AWAY -> answer(w, 503, true);
      default -> {
        if (options.serviceMillis() <= 0) {
          begin(w);
          end(w, f);
        } else if (running < options.cores()) {
          run(w, f);
        } else if (waiting.size() < options.queueCapacity()) {
          waiting.add(w);
        } else {
          answer(w, 503, true);
        }
      }
    }
  }

  /** Guards nothing: it is what rule 4 is about, a cold host that is pushed over. */
  private boolean fell(long now) {
    if (collapsed || options.warmUpMillis() <= 0 || warmth(now) >= 1) {
      return collapsed;
    }
    arrivals.add(now);
    while (now - arrivals.peek() > FALL_NANOS) {
      arrivals.poll();
    }
    double able =
        warmth(now) * options.cores() / Math.max(0.01, options.serviceMillis()) * FALL_NANOS / 1e6;
    collapsed = arrivals.size() > Math.max(FALL_LEAST, FALL_MULTIPLE * able);
    return collapsed;
  }

  private double warmth(long now) {
    double age = (now - startedAt) / 1e6;
    return options.warmUpMillis() <= 0 || age >= options.warmUpMillis()
        ? 1
        : options.startCapacity() + (1 - options.startCapacity()) * age / options.warmUpMillis();
  }

  private void begin(Work w) {
    ledger.record(w.id(), options.name(), options.pod());
  }

  private void run(Work w, Fault f) {
    running++;
    begin(w);
    double ms =
        -Math.log(1 - random.nextDouble()) * options.serviceMillis() / warmth(System.nanoTime());
    loop.schedule(
        () -> {
          running--;
          end(w, f);
          next();
        },
        (long) (ms * 1e6),
        TimeUnit.NANOSECONDS);
  }

  private void next() {
    Work w;
    while (running < options.cores() && (w = waiting.poll()) != null) {
      if (!w.ctx().channel().isActive()) {
        continue; // nobody waits for it, and it has not begun
      }
      if (System.nanoTime() > w.until()) {
        answer(w, 504, true);
      } else {
        Fault f = fault != Fault.NONE && random.nextDouble() < faultShare ? fault : Fault.NONE;
        run(w, f);
      }
    }
  }

  private void end(Work w, Fault f) {
    switch (f) {
      case SILENT -> {} // the work is done, and nobody hears of it
      case RESET_AFTER -> reset(w.ctx());
      case SPOILT ->
          w.ctx()
              .channel()
              .pipeline()
              .firstContext()
              .writeAndFlush(
                  Unpooled.copiedBuffer(
                      "\u0001noise\r\nmore of it\r\n\r\n", StandardCharsets.ISO_8859_1));
      case SLOW_BYTES -> {
        byte[] all =
            ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Request-ID: " + w.id() + "\r\n\r\nslow")
                .getBytes(StandardCharsets.ISO_8859_1);
        drip(w.ctx(), all, 0);
      }
      default -> {
        served++;
        answer(w, 200, false);
      }
    }
  }

  private void drip(ChannelHandlerContext ctx, byte[] all, int at) {
    if (at < all.length && ctx.channel().isActive()) {
      ctx.channel()
          .pipeline()
          .firstContext()
          .writeAndFlush(Unpooled.wrappedBuffer(new byte[] {all[at]}));
      loop.schedule(() -> drip(ctx, all, at + 1), SLOW_BYTE_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void answer(Work w, int status, boolean notProcessed) {
    ByteBuf body = Unpooled.EMPTY_BUFFER;
    int length = 0;
    if (status == 200) {
      byte[] id = String.valueOf(w.id()).getBytes(StandardCharsets.ISO_8859_1);
      int pad = Math.max(0, filler.length - id.length);
      length = id.length + pad;
      body =
          w.head()
              ? body
              : Unpooled.wrappedBuffer(
                  Unpooled.wrappedBuffer(id), Unpooled.wrappedBuffer(filler, 0, pad));
    }
    DefaultFullHttpResponse r =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body);
    r.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
    r.headers().set("X-Served-By", options.name());
    if (w.id() != null) {
      r.headers().set("X-Request-ID", w.id());
    }
    if (notProcessed) {
      r.headers().set("X-Not-Processed", "1");
    }
    if (options.reportsLoad()) {
      r.headers().set("X-Server-Load", "inflight=" + (running + waiting.size()));
    }
    w.ctx().writeAndFlush(r);
    if (w.close()) {
      w.ctx().close();
    }
  }

  private static void reset(ChannelHandlerContext ctx) {
    ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
    ctx.close();
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }
}
