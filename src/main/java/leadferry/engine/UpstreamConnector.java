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
  private final UpstreamProtocol protocol;
  private final SocketBudget sockets;
  private final Log log;
  private long localFailures;

  UpstreamConnector(
      UpstreamConnectionPool pool,
      EventLoop loop,
      Class<? extends Channel> channelType,
      UpstreamProtocol protocol,
      SocketBudget sockets,
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
            .option(ChannelOption.RECVBUF_ALLOCATOR, UpstreamConnectionPool.READ_BUFFER_ALLOCATOR)
            .option(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                UpstreamConnectionPool.WRITE_BUFFER_WATER_MARK)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {}
                });
  }

  /** How long connections that are begun from now on may take to come up; at least 1 ms. */
  void setConnectTimeout(double millis) {
    bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, millis));
  }

  /**
   * Opens a connection for the attempt and runs it there. {@code places}, null where nothing bounds
   * them, has one taken for it, which is given back when the connection has closed.
   */
  void connect(Attempt attempt, UpstreamHost host, ConnectionLimits.Slots places) {
    ChannelFuture connect = sockets.makeRoomForUpstream() ? bootstrap.connect(host.address) : null;
    if (connect == null || !connect.channel().isRegistered()) {
      // Guards against a host that pays for a bound of this process or of the system.
      if (nextLocalFailureIsLogged()) {
        log.line("out of sockets: " + localFailures + " attempts had none");
      }
      if (places != null) {
        places.release();
      }
      attempt.endAsNeverRun();
      return;
    }
    Channel channel = connect.channel();
    sockets.onUpstreamOpened();
    channel.closeFuture().addListener(closed -> release(places));
    attempt.onConnecting(channel);
    host.connectingAttempts.add(attempt);
    connect.addListener(done -> completed(attempt, host, channel, done.cause()));
  }

  private void release(ConnectionLimits.Slots places) {
    sockets.onUpstreamClosed();
    if (places != null) {
      places.release();
    }
  }

  /** The connection is up, or {@code cause} says why it is not. */
  private void completed(Attempt attempt, UpstreamHost host, Channel channel, Throwable cause) {
    if (!host.connectingAttempts.remove(attempt)) {
      channel.close(); // the attempt ended meanwhile
    } else if (cause != null && ConnectFailure.isLocal(cause)) {
      logLocalFailure(cause);
      attempt.endAsNeverRun();
    } else if (cause != null) {
      attempt.endAsConnectFailed();
    } else if (UpstreamConnectionPool.endUnlessSendable(attempt)) {
      protocol.createConnection(pool, host, channel).send(attempt);
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
