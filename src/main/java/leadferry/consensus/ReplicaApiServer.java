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

/** Where members and operators reach a replica, by {@link LineProtocol} over TCP. */
final class ReplicaApiServer implements AutoCloseable {
  private static final int MAX_CONNECTIONS = 20_000;

  /** A connection whose caller has sent nothing for so long is closed. */
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

  /** Listens; throws if the address can't be had. */
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
                    accept(channel);
                  }
                })
            .bind(config.apiAddress())
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException(
          "api: " + config.apiAddress() + " can't be listened on: " + bound.cause().getMessage());
    }
    listener = bound.channel();
  }

  private void accept(SocketChannel channel) {
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

  /** The state may have changed: members that watch get its view. */
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
