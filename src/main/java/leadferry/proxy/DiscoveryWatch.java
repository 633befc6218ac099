package leadferry.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import leadferry.engine.Dispatcher;
import leadferry.engine.Log;
import leadferry.engine.ReadLagTracker;
import leadferry.engine.RetryingSocketChannel;
import leadferry.engine.UpstreamHosts;
import leadferry.loadbalancer.DiscoveryTiming;
import leadferry.loadbalancer.EndpointListEvent;

/**
 * Watches the endpoint list of discovery. A new connection resumes from the last version that was
 * applied, and a lost connection therefore loses no change. At another discovery address, where
 * versions may be numbered differently, the watch starts with the full list.
 *
 * <p>{@link DiscoveryTiming} has the rule from which all intervals follow. A call begins on a
 * connection of its own and becomes the watch with its first message; all other connections are
 * then closed. While there is no watch, the next call begins
 *
 * <ul>
 *   <li>after the latest one has failed, with a backoff: that of the load balancer if the settings
 *       let it poll discovery, else {@link ReconnectBackoff};
 *   <li>one call interval after the latest one began, whether it has failed or is still open.
 * </ul>
 *
 * <p>Confined to the event loop.
 */
final class DiscoveryWatch {
  /**
   * Maximum time without a message on the watch. The checks add up to {@link
   * Proxy#HOUSEKEEPING_MILLIS} to it.
   */
  private static final long SILENCE_TIMEOUT_NANOS =
      TimeUnit.MILLISECONDS.toNanos(
          (long) DiscoveryTiming.MAX_CALL_INTERVAL_MILLIS - Proxy.HOUSEKEEPING_MILLIS);

  /** Version while no list has been received from the present address. */
  private static final long NO_VERSION = -1;

  private final Dispatcher dispatcher;
  private final Log log;
  private final DiscoveryCallTrace trace;
  private final Bootstrap bootstrap;
  private final ReconnectBackoff backoff;
  private final DiscoveryCallTimer timer;
  private final UnansweredCalls unanswered = new UnansweredCalls();

  private boolean polled;
  private InetSocketAddress address;
  private long version = NO_VERSION;

  /** Connection that has delivered a message and has not been silent since; null while none has. */
  private DiscoveryConnection watch;

  /** Connection that was begun last; null before the first one. */
  private DiscoveryConnection latest;

  /** Whether discovery itself has sent or confirmed a list since the start. */
  private boolean confirmed;

  /** Cause of the last failure, or null after a valid response. A repeated cause is not logged. */
  private String lastFailure;

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
    this.timer = new DiscoveryCallTimer(dispatcher.loop(), this::beginCall);
    this.backoff = new ReconnectBackoff(config.drainGraceMillis());
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(channelType)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {}
                });
  }

  /** Starts the load balancer with the endpoint list of the configuration, then the watch. */
  void start(JsonNode knownList) {
    dispatcher.start(decodeKnown(knownList), this::callUnlessPending);
    if (!polled) {
      beginCall();
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
   * Applies another configuration. At another address, the present endpoints stay until the new
   * discovery has sent its list.
   */
  void reconfigure(Config config) {
    polled = config.settings().shouldWatchDiscovery();
    if (!config.discovery().equals(address)) {
      address = config.discovery();
      version = NO_VERSION;
      backoff.reset();
      closeAllExcept(null, "moved to another address");
      beginCall();
    }
  }

  /** Begins a call beside a watch that has received no message for too long. */
  void checkTimeouts() {
    if (watch == null) {
      return;
    }
    // Data that this process has not read yet does not count as silence.
    long readUpToNanos = System.nanoTime() - ReadLagTracker.lagNanos();
    if (readUpToNanos - watch.lastMessageNanos() > SILENCE_TIMEOUT_NANOS) {
      logFailure("silent");
      trace.silent(watch.number());
      addUnanswered(watch);
      watch = null;
      beginCall();
    }
  }

  // --- calls

  /** Begins a call unless discovery is watched or the latest call may still be answered. */
  private void callUnlessPending() {
    if (watch == null && !unanswered.contains(latest)) {
      beginCall();
    }
  }

  private void beginCall() {
    if (polled || !unanswered.isEmpty()) {
      timer.startInterval();
    } else {
      timer.startAgentInterval();
    }
    ChannelFuture connecting = bootstrap.connect(address);
    if (!connecting.channel().isRegistered()) {
      // Guards against a watch that waits forever: a channel that was never opened is never closed.
      timer.extendToLongestInterval();
      scheduleRetry("out of sockets");
      return;
    }
    DiscoveryConnection opened =
        new DiscoveryConnection(this, trace.begin(), address, connecting.channel());
    latest = opened;
    addUnanswered(opened);
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            onConnected(opened);
          } else {
            onFailure(opened, "connect failed");
          }
        });
  }

  private void addUnanswered(DiscoveryConnection call) {
    DiscoveryConnection givenUp = unanswered.add(call);
    if (givenUp != null) {
      close(givenUp, "given up for a later call");
    }
  }

  private void close(DiscoveryConnection call, String reason) {
    trace.ended(call.number(), reason);
    call.close();
  }

  private void closeAllExcept(DiscoveryConnection kept, String reason) {
    List<DiscoveryConnection> open = new ArrayList<>(unanswered.removeAll());
    if (watch != null) {
      open.add(watch);
      watch = null;
    }
    open.remove(kept);
    open.forEach(call -> close(call, reason));
  }

  // --- events of connections

  private void onConnected(DiscoveryConnection opened) {
    if (!isOpen(opened)) {
      opened.close();
      return;
    }
    opened.open();
    trace.accepted(opened.number());
    requestUpdates(opened);
  }

  private void requestUpdates(DiscoveryConnection call) {
    if (version == NO_VERSION) {
      call.requestList();
    } else {
      call.requestChangesSince(version);
    }
  }

  /** Whether {@code call} is the watch or may become it, and has not been closed. */
  boolean isOpen(DiscoveryConnection call) {
    return call == watch || unanswered.contains(call);
  }

  /**
   * Handles the begin of a successful response. An agent that has begun one is called again only
   * after the time that a silent watch is given.
   */
  void onResponseHead(DiscoveryConnection call) {
    if (!polled && watch == null && call == latest) {
      timer.startLongestInterval();
    }
  }

  /** Handles a valid list, either full or with changes only. */
  void onList(DiscoveryConnection call, UpstreamHosts.ListUpdate list) {
    if (version == NO_VERSION && !list.full()) {
      onFailure(call, "changes came ahead of the list");
      return;
    }
    apply(list);
    becomeWatch(call);
  }

  /** Handles the message of discovery that nothing has changed. */
  void onUnchanged(DiscoveryConnection call) {
    if (version == NO_VERSION) {
      return; // an empty line ahead of the first list
    }
    dispatcher.onUpToDate();
    if (call != watch && polled) {
      // Guards against a poll interval that grew during a failure and would outlast the next
      // failure.
      dispatcher.onEndpointList(
          EndpointListEvent.DELTA, new UpstreamHosts.ListUpdate(version, false, List.of()));
    }
    becomeWatch(call);
  }

  private void apply(UpstreamHosts.ListUpdate list) {
    if (list.version() < version) {
      log.line("watch: version " + list.version() + " is older than " + version + ", left out");
      return;
    }
    version = list.version();
    dispatcher.onEndpointList(list.full() ? EndpointListEvent.FULL : EndpointListEvent.DELTA, list);
  }

  /**
   * Watches the connection of a call from its first valid message on, even if its list could not be
   * applied, and closes all others.
   */
  private void becomeWatch(DiscoveryConnection call) {
    if (call == watch) {
      return;
    }
    trace.answered(call.number(), version);
    timer.stop();
    closeAllExcept(call, "another call was answered");
    watch = call;
    confirmed = true;
    lastFailure = null;
    backoff.reset();
  }

  /** Handles the end of a response that carried changes or the full list. */
  void onResponseEnd(DiscoveryConnection call, boolean followedChanges) {
    if (followedChanges || version == NO_VERSION) {
      onFailure(call, "ended");
    } else {
      requestUpdates(call);
    }
  }

  /** Handles an exception on a connection. */
  void onException(DiscoveryConnection failed, Throwable cause) {
    if (!(cause instanceof IOException)) {
      log.failure("watch: connection failed", cause);
    }
    onFailure(failed, "failed");
  }

  /**
   * Closes a connection. If it was the watch or the latest call, the next call is scheduled;
   * otherwise a later call is under way.
   */
  void onFailure(DiscoveryConnection failed, String reason) {
    if (!isOpen(failed)) {
      failed.close();
      return;
    }
    boolean wasWatch = failed == watch;
    unanswered.remove(failed);
    watch = wasWatch ? null : watch;
    close(failed, reason);
    if (wasWatch) {
      timer.startLongestInterval();
      scheduleRetry(reason);
    } else if (failed == latest) {
      timer.extendToLongestInterval();
      scheduleRetry(reason);
    }
  }

  /** Schedules the next call after a failure, or leaves that to the load balancer. */
  private void scheduleRetry(String reason) {
    logFailure(reason);
    if (polled) {
      dispatcher.onWatchFailed();
    } else {
      timer.retryAfter(backoff.nextDelayMillis());
    }
  }

  private void logFailure(String reason) {
    if (!reason.equals(lastFailure)) {
      log.line("watch: " + reason);
    }
    lastFailure = reason;
  }
}
