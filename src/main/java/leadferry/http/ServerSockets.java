package leadferry.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.SocketChannel;
import java.util.function.Consumer;
import leadferry.engine.AcceptBackoffHandler;

/** Configures the listening TCP sockets of the process. */
public final class ServerSockets {
  private ServerSockets() {}

  /**
   * Returns a bootstrap that is ready to bind and accepts further options.
   *
   * @param loop event loops that accept and serve connections
   * @param socketType class of the listening socket
   * @param backlog maximum number of connections in the kernel's accept queue
   * @param backoff pauses accepting after failed accepts
   * @param accepted receives each connection on its event loop before any of its input is read
   */
  public static ServerBootstrap bootstrap(
      EventLoopGroup loop,
      Class<? extends ServerChannel> socketType,
      int backlog,
      AcceptBackoffHandler backoff,
      Consumer<SocketChannel> accepted) {
    return new ServerBootstrap()
        .group(loop)
        .channel(socketType)
        .option(ChannelOption.SO_BACKLOG, backlog)
        .option(ChannelOption.SO_REUSEADDR, true)
        .handler(backoff)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                accepted.accept(channel);
              }
            });
  }
}
