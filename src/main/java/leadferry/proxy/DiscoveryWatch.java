package leadferry.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import leadferry.engine.Dispatcher;
import leadferry.engine.Log;
import leadferry.engine.ReadLagTracker;
import leadferry.engine.RetryingSocketChannel;
import leadferry.engine.UpstreamHosts;
import leadferry.loadbalancer.EndpointListEvent;

/**
 * Watches the endpoint list of discovery. A new connection resumes from the last version that was
 * applied, and a lost connection therefore loses no change. At another discovery address, where
 * versions may be numbered differently, the watch starts with the full list. {@link WatchState}
 * defines its states.
 *
 * <p>If the settings let the load balancer poll discovery, the load balancer decides when the next
 * connection is opened; otherwise {@link ReconnectBackoff} does. Confined to the event loop.
 */
final class DiscoveryWatch {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  /**
   * Maximum time without data on a watch, which receives some every 2 s. Guards against half-open
   * watches: changes missed on such a watch count as notified after 6 s, and its replacement has to
   * be open and to have a response by then.
   */
  private static final long SILENCE_TIMEOUT_NANOS = 3_000_000_000L;

  /**
   * Maximum time until the first response of a connection. An agent on the same machine responds at
   * once; a connection without a response is replaced after this time, once. Guards against a
   * replacement that is silent as well: two silence timeouts exceed the 6 s.
   */
  private static final long FIRST_RESPONSE_TIMEOUT_NANOS = 1_000_000_000L;

  /** Version while no list has been received from the present address. */
  private static final long NO_VERSION = -1;

  private final Dispatcher dispatcher;
  private final Log log;
  private final boolean polled;
  private final Bootstrap bootstrap;
  private final ReconnectBackoff backoff;

  private WatchState state = WatchState.IDLE;
  private InetSocketAddress address;
  private long version = NO_VERSION;

  /** Null in the states IDLE and BACKING_OFF. */
  private DiscoveryConnection connection;

  private Future<?> scheduledReconnect;

  /** Whether discovery itself has sent or confirmed a list since the start. */
  private boolean confirmed;

  /** Cause of the last failure, or null after a valid response. A repeated cause is not logged. */
  private String lastFailure;

  /** Whether the next connection has the shorter timeout for its first response. */
  private boolean expectsPromptResponse = true;

  private final DiscoveryCallTrace trace;

  DiscoveryWatch(EventLoopGroup loop, Config config, Dispatcher dispatcher, Log log) {
    this(loop, config, dispatcher, log, RetryingSocketChannel.class);
  }

  /** Creates a watch that connects with channels of type {@code channelType}. */
  DiscoveryWatch(
      EventLoopGroup loop,
      Config config,
      Dispatcher dispatcher,
      Log log,
      Class<? extends Channel> channelType) {
    this.dispatcher = dispatcher;
    this.log = log;
    this.trace = new DiscoveryCallTrace(log);
    this.address = config.discovery();
    this.polled = config.settings().shouldWatchDiscovery();
    this.backoff = new ReconnectBackoff(config.drainGraceMillis());
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(channelType)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {}
                });
  }

  /** Starts the load balancer with the endpoint list of the configuration, then the watch. */
  void start(JsonNode knownList) {
    dispatcher.start(decodeKnown(knownList), this::connect);
    if (!polled) {
      connect();
    }
  }

  private UpstreamHosts.ListUpdate decodeKnown(JsonNode knownList) {
    try {
      UpstreamHosts.ListUpdate known = EndpointListDecoder.decode(knownList);
      version = known.version();
      return known;
    } catch (MalformedEndpointListException e) {
      return new UpstreamHosts.ListUpdate(0, true, List.of());
    }
  }

  /** Whether discovery itself has sent or confirmed a list since the start. */
  boolean isConfirmed() {
    return confirmed;
  }

  /**
   * Moves the watch to another address. The present endpoints stay until the new discovery has sent
   * its list.
   */
  void moveTo(InetSocketAddress newAddress) {
    if (!newAddress.equals(address)) {
      address = newAddress;
      version = NO_VERSION;
      backoff.reset();
      connect();
    }
  }

  /** Fails a connection that has received nothing for too long, or whose list does not end. */
  void checkTimeouts() {
    if (connection == null) {
      return;
    }
    boolean prompt = !polled && expectsPromptResponse && !state.hasReceived();
    long timeoutNanos = prompt ? FIRST_RESPONSE_TIMEOUT_NANOS : SILENCE_TIMEOUT_NANOS;
    // Data that this process has not read yet does not count as silence.
    long readUpToNanos = System.nanoTime() - ReadLagTracker.lagNanos();
    if (readUpToNanos - connection.lastReadNanos() > timeoutNanos) {
      expectsPromptResponse = !prompt;
      onFailure(connection, "silent");
    } else if (connection.isListStalled(readUpToNanos, SILENCE_TIMEOUT_NANOS)) {
      onFailure(connection, "list incomplete after the timeout");
    }
  }

  /** Opens a connection and closes the present one. */
  private void connect() {
    disconnect();
    ChannelFuture connecting = bootstrap.connect(address);
    if (!connecting.channel().isRegistered()) {
      // Guards against a watch that waits forever: a channel that was never opened is never closed.
      onConnectionLost("out of sockets");
      return;
    }
    DiscoveryConnection opened =
        new DiscoveryConnection(this, trace.begin(), address, connecting.channel());
    connection = opened;
    transition(WatchState.CONNECTING);
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            onConnected(opened);
          } else {
            onFailure(opened, "connect failed");
          }
        });
  }

  private void disconnect() {
    if (scheduledReconnect != null) {
      scheduledReconnect.cancel(false);
      scheduledReconnect = null;
    }
    transition(WatchState.IDLE);
    if (connection != null) {
      DiscoveryConnection replaced = connection;
      connection = null;
      trace.ended(replaced.number(), "replaced");
      replaced.close();
    }
  }

  private void onConnected(DiscoveryConnection opened) {
    if (!isCurrent(opened)) {
      opened.close();
      return;
    }
    opened.open();
    trace.accepted(opened.number());
    transition(WatchState.AWAITING_RESPONSE);
    requestUpdates();
  }

  private void requestUpdates() {
    if (version == NO_VERSION) {
      connection.requestList();
    } else {
      connection.requestChangesSince(version);
    }
  }

  /** Whether {@code candidate} is the present connection of this watch, and not a replaced one. */
  boolean isCurrent(DiscoveryConnection candidate) {
    return connection == candidate;
  }

  /** Handles a part of a response. */
  void onResponsePart() {
    expectsPromptResponse = true;
    if (state == WatchState.AWAITING_RESPONSE) {
      transition(WatchState.RECEIVING);
    }
  }

  /** Handles a valid list, either full or with changes only. */
  void onList(UpstreamHosts.ListUpdate list) {
    boolean first = state != WatchState.SYNCHRONIZED;
    apply(list);
    if (first) {
      confirm();
    }
  }

  /** Handles the message of discovery that nothing has changed. */
  void onUnchanged() {
    boolean first = state != WatchState.SYNCHRONIZED;
    dispatcher.onUpToDate();
    if (first && polled && version != NO_VERSION) {
      // Guards against a poll interval that grew during a failure and would outlast the next
      // failure.
      dispatcher.onEndpointList(
          EndpointListEvent.DELTA, new UpstreamHosts.ListUpdate(version, false, List.of()));
    }
    if (first) {
      confirm();
    }
  }

  /** Handles the end of a response that carried changes or the full list. */
  void onResponseEnd(boolean followedChanges) {
    if (followedChanges || version == NO_VERSION) {
      onFailure(connection, "ended");
    } else {
      requestUpdates();
    }
  }

  /** Closes a connection. If it is the present one, the next connection is scheduled. */
  void onFailure(DiscoveryConnection failed, String reason) {
    failed.close();
    if (isCurrent(failed)) {
      trace.ended(failed.number(), reason);
      onConnectionLost(reason);
    }
  }

  /** Handles an exception on a connection. */
  void onException(DiscoveryConnection failed, Throwable cause) {
    if (!(cause instanceof IOException)) {
      log.failure("watch: connection failed", cause);
    }
    onFailure(failed, "failed");
  }

  private void apply(UpstreamHosts.ListUpdate list) {
    if (version == NO_VERSION && !list.full()) {
      onFailure(connection, "changes came ahead of the list");
      return;
    }
    if (list.version() < version) {
      log.line("watch: version " + list.version() + " is older than " + version + ", left out");
      return;
    }
    version = list.version();
    dispatcher.onEndpointList(list.full() ? EndpointListEvent.FULL : EndpointListEvent.DELTA, list);
  }

  /**
   * Marks the watch as synchronized at the first valid response of a connection, even if its list
   * could not be applied.
   */
  private void confirm() {
    if (state == WatchState.RECEIVING) {
      trace.answered(connection.number(), version);
      transition(WatchState.SYNCHRONIZED);
    }
    confirmed = true;
    lastFailure = null;
    backoff.reset();
  }

  /**
   * Schedules the next connection after the present one was lost, or leaves the schedule to the
   * load balancer.
   */
  private void onConnectionLost(String reason) {
    connection = null;
    if (!reason.equals(lastFailure)) {
      log.line("watch: " + reason);
    }
    lastFailure = reason;
    if (polled) {
      transition(WatchState.IDLE);
      dispatcher.onWatchFailed();
    } else {
      transition(WatchState.BACKING_OFF);
      long delayMillis = backoff.nextDelayMillis();
      scheduledReconnect =
          dispatcher.loop().schedule(this::connect, delayMillis, TimeUnit.MILLISECONDS);
    }
  }

  private void transition(WatchState next) {
    assert state.canTransitionTo(next) : state + " to " + next;
    state = next;
  }
}
