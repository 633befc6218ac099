package leadferry.proxy;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.MultiThreadIoEventLoopGroup;
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
import leadferry.engine.AcceptBackoffHandler;
import leadferry.engine.Log;
import leadferry.engine.RetryingServerSocketChannel;
import leadferry.http.ServerSockets;

/**
 * The HTTP server for operators: one request a connection, answered with 200 or an error status. It
 * has a thread of its own. Guards operators against a client proxy that does not answer them when
 * it is busiest; what it reads and sets of the rest must be safe for use by another thread.
 */
final class ManagementServer implements AutoCloseable {
  /** Past it, the oldest is closed. Guards descriptors against callers that send nothing. */
  static final int MAX_CONNECTIONS = 12;

  /** How long a connection may stay open: time enough for a slow caller's request. */
  private static final long CONNECTION_TIMEOUT_MILLIS = 5_000;

  private static final int BACKLOG = 128;
  private static final int MAX_REQUEST_LINE_BYTES = 1_024;
  private static final int MAX_HEADER_BYTES = 4_096;
  private static final int INITIAL_BUFFER_BYTES = 256;
  private static final String READY_PATH = "/v1/readyz";
  private static final String DRAIN_PATH = "/v1/client-proxy/drain";
  private static final String ACTIVATE_PATH = "/v1/client-proxy/activate";
  private static final HttpDecoderConfig DECODER =
      new HttpDecoderConfig()
          .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
          .setMaxHeaderSize(MAX_HEADER_BYTES)
          .setInitialBufferSize(INITIAL_BUFFER_BYTES);

  /** What one path does; {@code action} returns whether it could be done. */
  private record Operation(HttpMethod method, BooleanSupplier action) {}

  private final Map<String, Operation> operations;
  private final Log log;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(
          1, new DefaultThreadFactory("management", true), NioIoHandler.newFactory());
  private final ArrayDeque<Channel> connections = new ArrayDeque<>();
  private Channel listener;

  /**
   * {@code ready} tells whether this process can serve; the others carry out what they are named
   * for.
   */
  ManagementServer(BooleanSupplier ready, Runnable drain, Runnable activate, Log log) {
    this.log = log;
    this.operations =
        Map.of(
            READY_PATH, new Operation(HttpMethod.GET, ready),
            DRAIN_PATH, new Operation(HttpMethod.PUT, alwaysDone(drain)),
            ACTIVATE_PATH, new Operation(HttpMethod.PUT, alwaysDone(activate)));
  }

  private static BooleanSupplier alwaysDone(Runnable action) {
    return () -> {
      action.run();
      return true;
    };
  }

  /** Listens; throws what the bind throws. */
  void listen(InetSocketAddress address) throws Exception {
    listener =
        ServerSockets.bootstrap(
                group,
                RetryingServerSocketChannel.class,
                BACKLOG,
                new AcceptBackoffHandler(log::line),
                this::accept)
            .bind(address)
            .sync()
            .channel();
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  private void accept(SocketChannel channel) {
    connections.add(channel);
    channel.closeFuture().addListener(closed -> connections.remove(channel));
    if (connections.size() > MAX_CONNECTIONS) {
      connections.peekFirst().close();
    }
    channel.pipeline().addLast(new HttpServerCodec(DECODER), new RequestHandler());
    channel
        .eventLoop()
        .schedule(() -> channel.close(), CONNECTION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private HttpResponseStatus execute(HttpRequest request) {
    Operation operation = operations.get(request.uri());
    if (operation == null) {
      return HttpResponseStatus.NOT_FOUND;
    }
    if (!request.method().equals(operation.method())) {
      return HttpResponseStatus.METHOD_NOT_ALLOWED;
    }
    boolean done = operation.action().getAsBoolean();
    return done ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
  }

  /** The one request of a connection; a malformed one is answered with 400. */
  private final class RequestHandler extends SimpleChannelInboundHandler<HttpObject> {
    private HttpRequest request;
    private boolean responded;

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
      if (responded) {
        return;
      }
      if (part.decoderResult().isFailure()) {
        respond(context, HttpResponseStatus.BAD_REQUEST);
        return;
      }
      if (part instanceof HttpRequest head) {
        request = head;
      }
      if (part instanceof LastHttpContent && request != null) {
        respond(context, execute(request));
      }
    }

    private void respond(ChannelHandlerContext context, HttpResponseStatus status) {
      responded = true;
      FullHttpResponse response =
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      if (!(cause instanceof IOException)) {
        log.failure("an operator's call failed", cause);
      }
      context.close();
    }
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }
}
