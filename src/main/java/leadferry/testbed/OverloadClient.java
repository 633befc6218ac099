package leadferry.testbed;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import leadferry.testbed.OverloadPlan.Crowd;

/**
 * One client of an overload test with at most one connection. Confined to the test's event loop.
 */
final class OverloadClient {
  /** State that all clients of a test share. */
  interface Context {
    OverloadPlan plan();

    EventLoop loop();

    SplittableRandom random();

    OverloadTimeline timeline();

    /** Returns the id of the next request. */
    String nextId();

    /** Returns whether usual ({@code counted}) or crowd clients have nothing more to do. */
    boolean isOver(boolean counted);
  }

  private static final long RECONNECT_MILLIS = 100;
  private static final long FLOOD_MILLIS = 50;
  private static final int MAX_RESPONSE_BYTES = 1 << 20;
  private static final String SLOW_HEADER = "x".repeat(1_000);

  private final Context context;
  private final Crowd kind;
  private final InetSocketAddress target;

  /** Whether this is a usual client, whose requests are counted. */
  private final boolean counted;

  private Channel channel;

  /** Bucket that counts the open request, or null if there is none. */
  private OverloadTimeline.Bucket openRequestBucket;

  private Future<?> timer;
  private boolean closed;

  OverloadClient(Context context, Crowd kind, InetSocketAddress target, boolean counted) {
    this.context = context;
    this.kind = kind;
    this.target = target;
    this.counted = counted;
  }

  private boolean isOver() {
    return closed || context.isOver(counted);
  }

  // --- connection

  /**
   * Connects. A client that sends requests begins one before, so that the request's time includes
   * the connect.
   */
  void connect() {
    if (isOver()) {
      return;
    }
    boolean sendsRequests = kind.sendsRequests();
    if (sendsRequests) {
      beginRequest();
    }
    ChannelFuture connecting = bootstrap(sendsRequests).connect(target);
    Channel mine = connecting.channel();
    channel = mine;
    connecting.addListener(
        future -> {
          if (connecting.isSuccess()) {
            mine.closeFuture().addListener(closing -> onDisconnected(mine));
            beginSending();
          } else if (channel == mine) {
            onConnectFailed();
          }
        });
  }

  private Bootstrap bootstrap(boolean sendsRequests) {
    return new Bootstrap()
        .group(context.loop())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.AUTO_READ, kind != Crowd.DEAF)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) context.plan().timeoutMillis())
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel connected) {
                if (sendsRequests) {
                  connected
                      .pipeline()
                      .addLast(
                          new HttpResponseDecoder(),
                          new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                          new ResponseHandler());
                }
              }
            });
  }

  /**
   * Handles a failed connect: the open request has failed, and the next one follows after a pause.
   */
  private void onConnectFailed() {
    if (!kind.sendsRequests()) {
      reconnectLater();
      return;
    }
    channel = null;
    if (abandonRequest()) {
      context.loop().schedule(this::sendNext, RECONNECT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void onDisconnected(Channel mine) {
    if (channel != mine) {
      return;
    }
    channel = null;
    if (openRequestBucket != null) {
      reconnect();
    } else if (!kind.sendsRequests()) {
      reconnectLater();
    }
  }

  private void reconnectLater() {
    if (!isOver()) {
      context.loop().schedule(this::connect, RECONNECT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Closes the connection and connects again. */
  void reconnect() {
    Channel mine = channel;
    channel = null;
    abandonRequest();
    if (mine != null) {
      mine.close();
    }
    // Scheduled rather than called, because connects that fail at once would recurse.
    context.loop().schedule(this::sendNext, 1, TimeUnit.MILLISECONDS);
  }

  void close() {
    closed = true;
    if (timer != null) {
      timer.cancel(false);
    }
    if (channel != null) {
      channel.close();
    }
  }

  // --- sending

  private void beginSending() {
    switch (kind) {
      case USUAL, RETRYING -> sendRequest();
      case SILENT -> {}
      case TRICKLING -> trickle(0);
      case HEADS -> write(head("POST", "Content-Length: 1000\r\n"));
      case DEAF -> flood();
    }
  }

  private String head(String method, String headers) {
    return method
        + " "
        + context.plan().path()
        + " HTTP/1.1\r\nHost: overload.test\r\nX-Request-ID: "
        + context.nextId()
        + "\r\n"
        + headers
        + "\r\n";
  }

  private String request() {
    return head("GET", "X-Timeout-Ms: " + context.plan().timeoutMillis() + "\r\n");
  }

  private void write(String text) {
    channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
  }

  private void trickle(int position) {
    String text = "GET " + context.plan().path() + " HTTP/1.1\r\nHost: overload.test\r\nX-Slow: ";
    text += SLOW_HEADER;
    if (!isOver() && channel.isActive() && position < text.length()) {
      write(text.substring(position, position + 1));
      context.loop().schedule(() -> trickle(position + 1), 1, TimeUnit.SECONDS);
    }
  }

  private void flood() {
    if (!isOver() && channel.isActive()) {
      if (channel.isWritable()) {
        write(request());
      }
      context.loop().schedule(this::flood, FLOOD_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  // --- requests

  /** Begins a request; its timeout includes connecting if there is no connection. */
  private void beginRequest() {
    openRequestBucket = context.timeline().currentBucket();
    if (counted) {
      openRequestBucket.countSent();
    }
    timer =
        context
            .loop()
            .schedule(this::onTimeout, context.plan().timeoutMillis(), TimeUnit.MILLISECONDS);
  }

  private void sendRequest() {
    if (openRequestBucket != null) {
      write(request());
    }
  }

  private void onResponse(int status, boolean keepAlive) {
    if (openRequestBucket == null) {
      return;
    }
    timer.cancel(false);
    boolean served = status == 200;
    if (counted) {
      if (served) {
        openRequestBucket.countServed();
        context.timeline().endGap();
      } else {
        openRequestBucket.countRejected();
      }
    }
    openRequestBucket = null;
    if (!keepAlive) {
      Channel mine = channel;
      channel = null;
      mine.close();
    }
    long thinkNanos = kind == Crowd.RETRYING && !served ? 0 : thinkNanos();
    context.loop().schedule(this::sendNext, thinkNanos, TimeUnit.NANOSECONDS);
  }

  private long thinkNanos() {
    double exponential = -Math.log(1 - context.random().nextDouble());
    return (long) (exponential * context.plan().thinkMillis() * 1e6);
  }

  private void sendNext() {
    if (isOver() || openRequestBucket != null) {
      return;
    }
    if (channel == null || !channel.isActive()) {
      connect();
    } else {
      beginRequest();
      sendRequest();
    }
  }

  /** Counts the open request as unanswered. Returns false if there is no open request. */
  private boolean abandonRequest() {
    if (openRequestBucket == null) {
      return false;
    }
    timer.cancel(false);
    if (counted) {
      openRequestBucket.countUnanswered();
    }
    openRequestBucket = null;
    return true;
  }

  private void onTimeout() {
    if (openRequestBucket != null) {
      reconnect();
    }
  }

  /** Reads the responses of a connection. */
  private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    @Override
    protected void channelRead0(ChannelHandlerContext handler, FullHttpResponse response) {
      onResponse(response.status().code(), HttpUtil.isKeepAlive(response));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext handler, Throwable cause) {
      handler.close();
    }
  }
}
