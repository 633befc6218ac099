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
 * A fake HTTP upstream with cores, a queue and a warm-up, in which faults can be injected. Records
 * every request that begins to run in an {@link ExecutionLog}. Its state is confined to one event
 * loop; faults may be set from any thread.
 *
 * <p>A response echoes {@code X-Request-ID} and names the upstream in {@code X-Served-By}. Its body
 * begins with the request id. A client can therefore detect a response made for another request.
 */
public final class FakeUpstream implements AutoCloseable {
  /** Injected faults. */
  public enum Fault {
    NONE,
    /** Processes the request and sends no response. */
    SILENT,
    /** Resets the connection instead of processing the request. */
    RESET_BEFORE,
    /** Processes the request and resets the connection. */
    RESET_AFTER,
    /** Responds with status 500 at once, without processing the request. */
    FAIL_FAST,
    /** Rejects the request with status 503 and {@code X-Not-Processed: 1}. */
    TURN_AWAY,
    /** Processes the request and responds with bytes that are not HTTP. */
    SPOILT,
    /** Processes the request and sends the response one byte at a time. */
    SLOW_BYTES
  }

  /**
   * Configuration of a fake upstream.
   *
   * @param name id of the upstream
   * @param pod pod of the upstream
   * @param port loopback port to listen on, or 0 for any
   * @param serviceMillis mean of the exponential service time on one core; 0 responds at once
   * @param cores number of requests that run at the same time
   * @param queueCapacity maximum number of waiting requests; further requests get status 503
   * @param warmUpMillis time from the start until the full speed is reached; 0 for no warm-up
   * @param startCapacity fraction of the full speed at the start
   * @param maxConnections maximum number of connections; further ones are closed at once
   * @param reportsLoad whether responses carry {@code X-Server-Load}
   * @param bodyBytes minimum length of a response body
   * @param seed seed of the random numbers
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
    /** Returns the options of an upstream that responds at once. */
    public static Options instant(String name) {
      return new Options(name, "p1", 0, 0, 1, 1_000, 0, 1, 100_000, false, 64, 1);
    }

    /** Returns these options with {@code coreCount} cores and that mean service time on each. */
    public Options withServiceTime(double meanMillis, int coreCount) {
      return new Options(
          name,
          pod,
          port,
          meanMillis,
          coreCount,
          queueCapacity,
          warmUpMillis,
          startCapacity,
          maxConnections,
          reportsLoad,
          bodyBytes,
          seed);
    }

    /**
     * Returns these options with a warm-up of {@code millis} that starts at the fraction {@code
     * initialCapacity} of the full speed.
     */
    public Options withWarmUp(double millis, double initialCapacity) {
      return new Options(
          name,
          pod,
          port,
          serviceMillis,
          cores,
          queueCapacity,
          millis,
          initialCapacity,
          maxConnections,
          reportsLoad,
          bodyBytes,
          seed);
    }

    /** Returns these options with another pod. */
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

  /**
   * During its warm-up an upstream collapses if more than this multiple of the requests that it can
   * process arrive within {@link #COLLAPSE_WINDOW_NANOS}.
   */
  private static final double COLLAPSE_MULTIPLE = 3;

  private static final long COLLAPSE_WINDOW_NANOS = 1_500_000_000L;

  /**
   * An upstream never collapses at this many requests or fewer, because that many arrive by chance.
   */
  private static final int COLLAPSE_MIN_REQUESTS = 10;

  /** Time, in milliseconds, for which connections must be open together to count as concurrent. */
  private static final long CONCURRENCY_CHECK_MILLIS = 50;

  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final long SLOW_BYTE_MILLIS = 20;

  private record PendingRequest(
      ChannelHandlerContext context,
      String id,
      boolean isHead,
      boolean closesConnection,
      long deadlineNanos) {}

  private final Options options;
  private final ExecutionLog executions;
  private final MultiThreadIoEventLoopGroup group;
  private final EventLoop loop;
  private final Channel listener;
  private final SplittableRandom random;
  private volatile long startedNanos = System.nanoTime();
  private final Set<SocketChannel> openChannels = new HashSet<>();
  private final ArrayDeque<PendingRequest> waiting = new ArrayDeque<>();
  private final ArrayDeque<Long> arrivalNanos = new ArrayDeque<>();
  private final byte[] bodyPadding;
  private volatile Fault fault = Fault.NONE;
  private volatile double faultShare;
  private volatile int connections;
  private volatile int maxConcurrentConnections;
  private volatile long served;
  private volatile boolean collapsed;
  private volatile long lastArrivalNanos;
  private int runningRequests;

  /** Starts an upstream on loopback. */
  public FakeUpstream(Options options, ExecutionLog executions) {
    this.options = options;
    this.executions = executions;
    this.random = new SplittableRandom(options.seed());
    this.bodyPadding =
        " ".repeat(Math.max(0, options.bodyBytes())).getBytes(StandardCharsets.US_ASCII);
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
                  protected void initChannel(SocketChannel channel) {
                    onAccepted(channel);
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

  /** Returns the address as {@code 127.0.0.1:port}. */
  public String hostAndPort() {
    return "127.0.0.1:" + address().getPort();
  }

  /** Injects a fault into a share (0 to 1) of the requests from now on. */
  public void setFault(Fault newFault, double share) {
    faultShare = share;
    fault = newFault;
  }

  /** Returns the number of requests that got status 200. */
  public long served() {
    return served;
  }

  /** Returns the number of open connections. */
  public int connections() {
    return connections;
  }

  /** Returns the largest number of connections that were open together for at least 50 ms. */
  public int maxConcurrentConnections() {
    return maxConcurrentConnections;
  }

  /** Returns whether the upstream collapsed under load during its warm-up. It does not recover. */
  public boolean hasCollapsed() {
    return collapsed;
  }

  /**
   * Returns the arrival time of the latest request ({@link System#nanoTime}), or 0 if there was
   * none.
   */
  public long lastArrivalNanos() {
    return lastArrivalNanos;
  }

  /** Returns the number of running and waiting requests. */
  public int requestsInProgress() {
    return loop.submit(() -> runningRequests + waiting.size()).syncUninterruptibly().getNow();
  }

  /**
   * Closes all connections, drops the waiting requests and restarts the warm-up. Returns once that
   * is done.
   */
  public void restart() {
    loop.submit(
            () -> {
              List.copyOf(openChannels).forEach(SocketChannel::close);
              waiting.clear();
              arrivalNanos.clear();
              startedNanos = System.nanoTime();
            })
        .syncUninterruptibly();
  }

  private void onAccepted(SocketChannel channel) {
    if (collapsed || connections >= options.maxConnections()) {
      channel.close();
      return;
    }
    openChannels.add(channel);
    connections = openChannels.size();
    channel
        .closeFuture()
        .addListener(
            closing -> {
              openChannels.remove(channel);
              connections = openChannels.size();
            });
    if (connections > maxConcurrentConnections) {
      // A busy loop may see a client's new connection before the end of its old one. Therefore only
      // connections that are still open a moment later are counted.
      List<SocketChannel> channelsNow = List.copyOf(openChannels);
      loop.schedule(
          () -> countConcurrentConnections(channelsNow),
          CONCURRENCY_CHECK_MILLIS,
          TimeUnit.MILLISECONDS);
    }
    channel
        .pipeline()
        .addLast(
            new HttpServerCodec(),
            new HttpObjectAggregator(MAX_BODY_BYTES),
            new SimpleChannelInboundHandler<FullHttpRequest>() {
              @Override
              protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
                onRequest(context, request);
              }

              @Override
              public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                context.close();
              }
            });
  }

  private void countConcurrentConnections(List<SocketChannel> channelsThen) {
    int stillOpen = 0;
    for (SocketChannel channel : channelsThen) {
      stillOpen += channel.isOpen() ? 1 : 0;
    }
    maxConcurrentConnections = Math.max(maxConcurrentConnections, stillOpen);
  }

  private void onRequest(ChannelHandlerContext context, FullHttpRequest request) {
    long nowNanos = System.nanoTime();
    lastArrivalNanos = nowNanos;
    if (updateCollapsed(nowNanos)) {
      context.close();
      return;
    }
    String timeoutMillis = request.headers().get("X-Timeout-Ms");
    long deadlineNanos =
        timeoutMillis == null
            ? Long.MAX_VALUE
            : nowNanos + Long.parseLong(timeoutMillis) * 1_000_000L;
    PendingRequest pending =
        new PendingRequest(
            context,
            request.headers().get("X-Request-ID"),
            request.method().equals(HttpMethod.HEAD),
            request.headers().contains(HttpHeaderNames.CONNECTION, "close", true),
            deadlineNanos);
    Fault requestFault =
        fault != Fault.NONE && random.nextDouble() < faultShare ? fault : Fault.NONE;
    switch (requestFault) {
      case RESET_BEFORE -> reset(context);
      case FAIL_FAST -> respond(pending, 500, false);
      case TURN_AWAY -> respond(pending, 503, true);
      default -> {
        if (options.serviceMillis() <= 0) {
          recordExecution(pending);
          finishService(pending, requestFault);
        } else if (runningRequests < options.cores()) {
          startService(pending, requestFault);
        } else if (waiting.size() < options.queueCapacity()) {
          waiting.add(pending);
        } else {
          respond(pending, 503, true);
        }
      }
    }
  }

  /**
   * Counts an arrival and returns whether the upstream has collapsed. Simulates the failure that
   * rule 4, the ramp-up of cold upstreams, is about: one that is overwhelmed during its warm-up.
   */
  private boolean updateCollapsed(long nowNanos) {
    if (collapsed || options.warmUpMillis() <= 0 || speedFraction(nowNanos) >= 1) {
      return collapsed;
    }
    arrivalNanos.add(nowNanos);
    while (nowNanos - arrivalNanos.peek() > COLLAPSE_WINDOW_NANOS) {
      arrivalNanos.poll();
    }
    double capacity =
        speedFraction(nowNanos)
            * options.cores()
            / Math.max(0.01, options.serviceMillis())
            * COLLAPSE_WINDOW_NANOS
            / 1e6;
    collapsed = arrivalNanos.size() > Math.max(COLLAPSE_MIN_REQUESTS, COLLAPSE_MULTIPLE * capacity);
    return collapsed;
  }

  private double speedFraction(long nowNanos) {
    double ageMillis = (nowNanos - startedNanos) / 1e6;
    return options.warmUpMillis() <= 0 || ageMillis >= options.warmUpMillis()
        ? 1
        : options.startCapacity()
            + (1 - options.startCapacity()) * ageMillis / options.warmUpMillis();
  }

  private void recordExecution(PendingRequest pending) {
    executions.record(pending.id(), options.name(), options.pod());
  }

  private void startService(PendingRequest pending, Fault requestFault) {
    runningRequests++;
    recordExecution(pending);
    double serviceMillis =
        -Math.log(1 - random.nextDouble())
            * options.serviceMillis()
            / speedFraction(System.nanoTime());
    loop.schedule(
        () -> {
          runningRequests--;
          finishService(pending, requestFault);
          startWaiting();
        },
        (long) (serviceMillis * 1e6),
        TimeUnit.NANOSECONDS);
  }

  private void startWaiting() {
    PendingRequest pending;
    while (runningRequests < options.cores() && (pending = waiting.poll()) != null) {
      if (!pending.context().channel().isActive()) {
        continue; // the client has disconnected and the request has not started
      }
      if (System.nanoTime() > pending.deadlineNanos()) {
        respond(pending, 504, true);
      } else {
        Fault requestFault =
            fault != Fault.NONE && random.nextDouble() < faultShare ? fault : Fault.NONE;
        startService(pending, requestFault);
      }
    }
  }

  private void finishService(PendingRequest pending, Fault requestFault) {
    switch (requestFault) {
      case SILENT -> {} // the request was processed, but no response is sent
      case RESET_AFTER -> reset(pending.context());
      case SPOILT ->
          pending
              .context()
              .channel()
              .pipeline()
              .firstContext()
              .writeAndFlush(
                  Unpooled.copiedBuffer(
                      "\u0001noise\r\nmore of it\r\n\r\n", StandardCharsets.ISO_8859_1));
      case SLOW_BYTES -> {
        byte[] responseBytes =
            ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Request-ID: "
                    + pending.id()
                    + "\r\n\r\nslow")
                .getBytes(StandardCharsets.ISO_8859_1);
        sendByteByByte(pending.context(), responseBytes, 0);
      }
      default -> {
        served++;
        respond(pending, 200, false);
      }
    }
  }

  private void sendByteByByte(ChannelHandlerContext context, byte[] responseBytes, int position) {
    if (position < responseBytes.length && context.channel().isActive()) {
      context
          .channel()
          .pipeline()
          .firstContext()
          .writeAndFlush(Unpooled.wrappedBuffer(new byte[] {responseBytes[position]}));
      loop.schedule(
          () -> sendByteByByte(context, responseBytes, position + 1),
          SLOW_BYTE_MILLIS,
          TimeUnit.MILLISECONDS);
    }
  }

  private void respond(PendingRequest pending, int status, boolean notProcessed) {
    ByteBuf body = Unpooled.EMPTY_BUFFER;
    int length = 0;
    if (status == 200) {
      byte[] id = String.valueOf(pending.id()).getBytes(StandardCharsets.ISO_8859_1);
      int paddingLength = Math.max(0, bodyPadding.length - id.length);
      length = id.length + paddingLength;
      body =
          pending.isHead()
              ? body
              : Unpooled.wrappedBuffer(
                  Unpooled.wrappedBuffer(id),
                  Unpooled.wrappedBuffer(bodyPadding, 0, paddingLength));
    }
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
    response.headers().set("X-Served-By", options.name());
    if (pending.id() != null) {
      response.headers().set("X-Request-ID", pending.id());
    }
    if (notProcessed) {
      response.headers().set("X-Not-Processed", "1");
    }
    if (options.reportsLoad()) {
      response.headers().set("X-Server-Load", "inflight=" + (runningRequests + waiting.size()));
    }
    pending.context().writeAndFlush(response);
    if (pending.closesConnection()) {
      pending.context().close();
    }
  }

  private static void reset(ChannelHandlerContext context) {
    context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
    context.close();
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }
}
