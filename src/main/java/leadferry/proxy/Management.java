package leadferry.proxy;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import leadferry.engine.AcceptBackoff;
import leadferry.engine.Log;
import leadferry.engine.RetryingServerSocketChannel;

/**
 * Where operators call: one call a connection, answered with 200 or an error. It has a thread of
 * its own. Guards operators against a client proxy that does not hear them when it is busiest; what
 * it reads and sets of the rest must be safe for use by another thread.
 */
final class Management implements AutoCloseable {
  /**
   * Connections kept at once; the oldest makes room. Guards descriptors against callers that say
   * nothing.
   */
  static final int MOST = 12;

  /**
   * How long (ms) a call may take to come; callers may be slow, but not as slow as those that stay.
   */
  private static final long SLOW_MS = 5_000;

  private static final int BACKLOG = 128;
  private static final HttpDecoderConfig DECODER =
      new HttpDecoderConfig()
          .setMaxInitialLineLength(1_024)
          .setMaxHeaderSize(4_096)
          .setInitialBufferSize(256);

  /** What one path does. */
  private record Operation(HttpMethod method, BooleanSupplier what) {}

  private final Map<String, Operation> operations;
  private final Log log;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(
          1, new DefaultThreadFactory("management", true), NioIoHandler.newFactory());
  private final ArrayDeque<Channel> open = new ArrayDeque<>();
  private Channel listener;

  /**
   * {@code ready} tells whether this process can serve; the others carry out what they are named
   * for.
   */
  Management(BooleanSupplier ready, Runnable drain, Runnable activate, Log log) {
    this.log = log;
    this.operations =
        Map.of(
            "/v1/readyz", new Operation(HttpMethod.GET, ready),
            "/v1/client-proxy/drain", new Operation(HttpMethod.PUT, done(drain)),
            "/v1/client-proxy/activate", new Operation(HttpMethod.PUT, done(activate)));
  }

  private static BooleanSupplier done(Runnable what) {
    return () -> {
      what.run();
      return true;
    };
  }

  /** Listens; throws what the bind throws. */
  void listen(InetSocketAddress address) throws Exception {
    listener =
        new ServerBootstrap()
            .group(group)
            .channel(RetryingServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .handler(
                new ChannelInitializer<ServerChannel>() {
                  @Override
                  protected void initChannel(ServerChannel socket) {
                    socket.pipeline().addLast(new AcceptBackoff(log::line));
                  }
                })
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel ch) {
                    accepted(ch);
                  }
                })
            .bind(address)
            .sync()
            .channel();
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  private void accepted(SocketChannel ch) {
    open.add(ch);
    ch.closeFuture().addListener(f -> open.remove(ch));
    if (open.size() > MOST) {
      open.peekFirst().close();
    }
    ch.pipeline().addLast(new HttpServerCodec(DECODER), new Call());
    ch.eventLoop().schedule(() -> ch.close(), SLOW_MS, TimeUnit.MILLISECONDS);
  }

  private HttpResponseStatus carryOut(HttpRequest call) {
    Operation o = operations.get(call.uri());
    if (o == null) {
      return HttpResponseStatus.NOT_FOUND;
    }
    if (!call.method().equals(o.method())) {
      return HttpResponseStatus.METHOD_NOT_ALLOWED;
    }
    return o.what().getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
  }

  /** One call; what is not one is answered with 400. */
  private final class Call extends SimpleChannelInboundHandler<HttpObject> {
    private HttpRequest head;
    private boolean answered;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
      if (answered) {
        return;
      }
      if (part.decoderResult().isFailure()) {
        answer(ctx, HttpResponseStatus.BAD_REQUEST);
        return;
      }
      if (part instanceof HttpRequest h) {
        head = h;
      }
      if (part instanceof LastHttpContent && head != null) {
        answer(ctx, carryOut(head));
      }
    }

    private void answer(ChannelHandlerContext ctx, HttpResponseStatus status) {
      answered = true;
      FullHttpResponse r =
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
      r.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
      r.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      ctx.writeAndFlush(r).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (!(cause instanceof IOException)) {
        log.failure("an operator's call failed", cause);
      }
      ctx.close();
    }
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }
}
