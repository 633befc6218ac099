package leadferry.engine;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;

/**
 * Opens connections to hosts within the process's limit on sockets. An attempt for which this
 * machine lacks a socket, port or network ends as one that never ran, and is not charged to the
 * host. An attempt whose host can't be reached ends as a failed connect. Confined to the pool's
 * loop.
 */
final class UpstreamConnector {
  /**
   * Number of attempts that failed for lack of a local resource per log line: one in this many is
   * logged.
   */
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

  /**
   * Sets the time (ms) within which connections opened from now on must be established; at least 1
   * ms.
   */
  void setConnectTimeout(double millis) {
    bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, millis));
  }

  /**
   * Opens a connection for the attempt and sends the attempt on it. The caller must have acquired a
   * slot of {@code slots}, which is released when the connection has closed; {@code slots} is null
   * where the number of connections is unlimited.
   */
  void connect(Attempt attempt, UpstreamHost host, ConnectionLimits.Slots slots) {
    ChannelFuture connect = sockets.makeRoomForUpstream() ? bootstrap.connect(host.address) : null;
    if (connect == null || !connect.channel().isRegistered()) {
      // Guards against charging the host for a limit of this process or of the system.
      if (shouldLogLocalFailure()) {
        log.line("connect failed: no free socket, " + localFailures + " attempts so far");
      }
      if (slots != null) {
        slots.release();
      }
      attempt.endAsNeverRun();
      return;
    }
    Channel channel = connect.channel();
    sockets.onUpstreamOpened();
    channel.closeFuture().addListener(closed -> releaseSocket(slots));
    attempt.onConnecting(channel);
    host.connectingAttempts.add(attempt);
    connect.addListener(done -> onConnectCompleted(attempt, host, channel, done.cause()));
  }

  private void releaseSocket(ConnectionLimits.Slots slots) {
    sockets.onUpstreamClosed();
    if (slots != null) {
      slots.release();
    }
  }

  /** Handles an established connection, or a failed one where {@code cause} is not null. */
  private void onConnectCompleted(
      Attempt attempt, UpstreamHost host, Channel channel, Throwable cause) {
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
    if (shouldLogLocalFailure()) {
      log.line(
          "connect failed on this machine: "
              + cause.getMessage()
              + ", "
              + localFailures
              + " attempts so far");
    }
  }

  private boolean shouldLogLocalFailure() {
    return localFailures++ % LOCAL_FAILURES_PER_LINE == 0;
  }
}
