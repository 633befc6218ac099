package leadferry.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.SocketChannel;
import java.util.function.Consumer;
import leadferry.engine.AcceptBackoffHandler;

/** What every listening TCP socket of the process is set up with. */
public final class ServerSockets {
  private ServerSockets() {}

  /**
   * A bootstrap that is ready to bind, and to which options may be added.
   *
   * @param loop where connections are accepted and served
   * @param socketType the listening socket's class
   * @param backlog connections that may stand in the kernel's queue at once
   * @param backoff pauses after accepts that failed
   * @param accepted given each connection, on its event loop, before anything is read of it
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
