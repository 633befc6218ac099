package leadferry.engine;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;

/**
 * Opens connections to hosts, within the process's bound on sockets. An attempt for which this
 * machine has no socket, port or network ends as one that never ran, and no host pays for it; one
 * whose host can't be reached ends as a failed connect. Confined to the pool's loop.
 */
final class UpstreamConnector {
  /** Of attempts that got no socket on this machine one in so many has a line in the log. */
  private static final int LOCAL_FAILURES_PER_LINE = 100;

  private final UpstreamConnectionPool pool;
  private final Bootstrap bootstrap;
  private final Protocol protocol;
  private final Sockets sockets;
  private final Log log;
  private long localFailures;

  UpstreamConnector(
      UpstreamConnectionPool pool,
      EventLoop loop,
      Class<? extends Channel> channelType,
      Protocol protocol,
      Sockets sockets,
      Log log) {
    this.pool = pool;
    this.protocol = protocol;
    this.sockets = sockets;
    this.log = log;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(channelType)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, UpstreamConnectionPool.READS)
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, UpstreamConnectionPool.MARKS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {}
                });
  }

  /** How long connections that are begun from now on may take to come up; at least 1 ms. */
  void connectTimeout(double millis) {
    bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, millis));
  }

  /**
   * Opens a connection for the attempt and runs it there. {@code places}, null where nothing bounds
   * them, has one taken for it, which is given back when the connection has closed.
   */
  void connect(Attempt attempt, UpstreamHost host, ConnectionLimits.Places places) {
    ChannelFuture connect = sockets.roomForUpstream() ? bootstrap.connect(host.address) : null;
    if (connect == null || !connect.channel().isRegistered()) {
      // Guards against a host that pays for a bound of this process or of the system.
      if (nextLocalFailureIsLogged()) {
        log.line("out of sockets: " + localFailures + " attempts had none");
      }
      if (places != null) {
        places.give();
      }
      attempt.moot();
      return;
    }
    Channel channel = connect.channel();
    sockets.upstreamOpened();
    channel.closeFuture().addListener(closed -> release(places));
    attempt.connecting(channel);
    host.connecting.add(attempt);
    connect.addListener(done -> completed(attempt, host, channel, done.cause()));
  }

  private void release(ConnectionLimits.Places places) {
    sockets.upstreamClosed();
    if (places != null) {
      places.give();
    }
  }

  /** The connection is up, or {@code cause} says why it is not. */
  private void completed(Attempt attempt, UpstreamHost host, Channel channel, Throwable cause) {
    if (!host.connecting.remove(attempt)) {
      channel.close(); // the attempt ended meanwhile
    } else if (cause != null && ConnectFailure.isLocal(cause)) {
      logLocalFailure(cause);
      attempt.moot();
    } else if (cause != null) {
      attempt.notSent();
    } else if (UpstreamConnectionPool.endUnlessSendable(attempt)) {
      protocol.open(pool, host, channel).run(attempt);
    }
  }

  private void logLocalFailure(Throwable cause) {
    if (nextLocalFailureIsLogged()) {
      log.line(
          "no connection to be had here: "
              + cause.getMessage()
              + ", "
              + localFailures
              + " attempts had none");
    }
  }

  private boolean nextLocalFailureIsLogged() {
    return localFailures++ % LOCAL_FAILURES_PER_LINE == 0;
  }
}
