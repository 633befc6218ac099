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
 * The watch on discovery's endpoint list. It resumes from the last version that was applied, so
 * that a lost connection loses no change; at another discovery, whose versions may count otherwise,
 * it begins with the whole list. Its states are those of {@link WatchState}.
 *
 * <p>Where the settings say that the load balancer polls, it decides when the next connection is
 * opened; else {@link ReconnectBackoff} does. Confined to the event loop.
 */
final class DiscoveryWatch {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  /**
   * A watch receives something every 2 s. Guards against half-open watches: what they would have
   * told counts as notified after 6 s, and a new one has to be open and answered by then.
   */
  private static final long SILENCE_TIMEOUT_NANOS = 3_000_000_000L;

  /**
   * An agent on the same machine answers a request at once; one that has not is asked anew, once.
   * Guards against a new connection that is silent as well: two silence timeouts exceed the 6 s.
   */
  private static final long FIRST_RESPONSE_TIMEOUT_NANOS = 1_000_000_000L;

  /** The version where none was received from the present address. */
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

  /** Why the last connection failed, until one is sound again: repetitions are not logged. */
  private String lastFailure;

  /** Whether the next connection has the shorter timeout for its first response. */
  private boolean expectsPromptResponse = true;

  DiscoveryWatch(EventLoopGroup loop, Config config, Dispatcher dispatcher, Log log) {
    this(loop, config, dispatcher, log, RetryingSocketChannel.class);
  }

  /** Connects with channels of the class {@code channelType}. */
  DiscoveryWatch(
      EventLoopGroup loop,
      Config config,
      Dispatcher dispatcher,
      Log log,
      Class<? extends Channel> channelType) {
    this.dispatcher = dispatcher;
    this.log = log;
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

  /** Starts the load balancer with the list of the configuration, and the watch behind it. */
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

  /** Moves the watch to another address; the endpoints stay until it has sent its own list. */
  void moveTo(InetSocketAddress newAddress) {
    if (!newAddress.equals(address)) {
      address = newAddress;
      version = NO_VERSION;
      backoff.reset();
      connect();
    }
  }

  /** Fails a connection that has gone silent. */
  void checkTimeouts() {
    if (connection == null) {
      return;
    }
    boolean prompt = !polled && expectsPromptResponse && !state.hasReceived();
    long timeoutNanos = prompt ? FIRST_RESPONSE_TIMEOUT_NANOS : SILENCE_TIMEOUT_NANOS;
    // What stands unread in this process is not silence.
    long readUpToNanos = System.nanoTime() - ReadLagTracker.lagNanos();
    if (readUpToNanos - connection.lastReadNanos() > timeoutNanos) {
      expectsPromptResponse = !prompt;
      onFailure(connection, "silent");
    } else if (connection.isListStalled(readUpToNanos, SILENCE_TIMEOUT_NANOS)) {
      onFailure(connection, "can't be understood: a list that does not end");
    }
  }

  /** Opens a connection, in place of one that is open. */
  private void connect() {
    disconnect();
    ChannelFuture connecting = bootstrap.connect(address);
    if (!connecting.channel().isRegistered()) {
      // Guards against a watch that never ends: a channel that was never opened is never closed.
      onConnectionLost("out of sockets");
      return;
    }
    DiscoveryConnection opened = new DiscoveryConnection(this, address, connecting.channel());
    connection = opened;
    transition(WatchState.CONNECTING);
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            onConnected(opened);
          } else {
            onFailure(opened, "can't be reached");
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
      replaced.close();
    }
  }

  private void onConnected(DiscoveryConnection opened) {
    if (!isCurrent(opened)) {
      opened.close();
      return;
    }
    opened.open();
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

  /** Whether {@code candidate} is the connection of this watch, and not one it has given up. */
  boolean isCurrent(DiscoveryConnection candidate) {
    return connection == candidate;
  }

  /** A part of a response has come. */
  void onResponsePart() {
    expectsPromptResponse = true;
    if (state == WatchState.AWAITING_RESPONSE) {
      transition(WatchState.RECEIVING);
    }
  }

  /** A sound list has come, whole or with changes. */
  void onList(UpstreamHosts.ListUpdate list) {
    boolean first = state != WatchState.SYNCHRONIZED;
    apply(list);
    if (first) {
      confirm();
    }
  }

  /** Discovery has told that nothing has changed. */
  void onUnchanged() {
    boolean first = state != WatchState.SYNCHRONIZED;
    dispatcher.onUpToDate();
    if (first && polled && version != NO_VERSION) {
      // Guards against a poll interval that grew during a failure and would outlast the next one.
      dispatcher.onEndpointList(
          EndpointListEvent.DELTA, new UpstreamHosts.ListUpdate(version, false, List.of()));
    }
    if (first) {
      confirm();
    }
  }

  /** A response is over, one that follows changes or one with the whole list. */
  void onResponseEnd(boolean followedChanges) {
    if (followedChanges || version == NO_VERSION) {
      onFailure(connection, "ended");
    } else {
      requestUpdates();
    }
  }

  /** Ends a connection; where it is the current one, the next is opened in its turn. */
  void onFailure(DiscoveryConnection failed, String reason) {
    failed.close();
    if (isCurrent(failed)) {
      onConnectionLost(reason);
    }
  }

  /** An exception has come up on a connection. */
  void onException(DiscoveryConnection failed, Throwable cause) {
    if (!(cause instanceof IOException)) {
      log.failure("the watch failed", cause);
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

  /** Takes the first sound response of a connection, even if its list could not be applied. */
  private void confirm() {
    if (state == WatchState.RECEIVING) {
      transition(WatchState.SYNCHRONIZED);
    }
    confirmed = true;
    lastFailure = null;
    backoff.reset();
  }

  /** There is no connection any more; the next one is scheduled, or left to the load balancer. */
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
