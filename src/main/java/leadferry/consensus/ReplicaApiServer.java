package leadferry.consensus;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Listens for members and operators, and speaks {@link LineProtocol} over TCP. */
final class ReplicaApiServer implements AutoCloseable {
  private static final int MAX_CONNECTIONS = 20_000;

  /** Idle time after which a connection without a request is closed. */
  private static final int IDLE_TIMEOUT_SECONDS = 120;

  private static final int ACCEPT_BACKLOG = 4_096;
  private static final int EVENT_LOOPS = 2;
  private static final int SHUTDOWN_TIMEOUT_MILLIS = 100;

  private final ReplicaConfig config;
  private final Replica replica;
  private final MultiThreadIoEventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(
          EVENT_LOOPS,
          new DefaultThreadFactory("replica-endpoint", true),
          NioIoHandler.newFactory());
  private final Set<ReplicaConnectionHandler> connections = ConcurrentHashMap.newKeySet();
  private final ViewPublisher publisher;
  private Channel listener;

  ReplicaApiServer(ReplicaConfig config, Replica replica) {
    this.config = config;
    this.replica = replica;
    this.publisher =
        new ViewPublisher(
            replica.stateMachine(), connections, task -> eventLoops.next().execute(task));
  }

  /**
   * Starts to listen.
   *
   * @throws IOException if the address can't be used
   */
  void listen() throws IOException {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    initializeConnection(channel);
                  }
                })
            .bind(config.apiAddress())
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException(
          "api: can't listen on " + config.apiAddress() + ": " + bound.cause().getMessage());
    }
    listener = bound.channel();
  }

  private void initializeConnection(SocketChannel channel) {
    if (connections.size() >= MAX_CONNECTIONS) {
      channel.close();
      return;
    }
    channel
        .pipeline()
        .addLast(
            new ReadTimeoutHandler(IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS),
            new LineBasedFrameDecoder(LineProtocol.MAX_LINE_BYTES, true, true),
            new ReplicaConnectionHandler(channel, config.fleet(), replica, connections));
  }

  /**
   * Schedules a push of the view to the members that watch it. Called after each change of the
   * state.
   */
  void publishView() {
    publisher.schedule();
  }

  @Override
  public void close() {
    if (listener != null) {
      listener.close();
    }
    eventLoops.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }
}
