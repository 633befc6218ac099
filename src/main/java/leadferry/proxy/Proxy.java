package leadferry.proxy;

import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import leadferry.engine.BodyBudget;
import leadferry.engine.Dispatcher;
import leadferry.engine.ErrorContainment;
import leadferry.engine.Log;
import leadferry.engine.NioTransport;
import leadferry.engine.SocketBudget;
import leadferry.engine.Transport;
import leadferry.engine.UpstreamConnectionPool;
import leadferry.http.HeadBudget;
import leadferry.http.HttpProtocol;
import leadferry.http.HttpServer;
import leadferry.http.HttpServerSettings;

/**
 * Client proxy whose state is confined to one event loop thread. Creates its components, starts
 * them, runs periodic housekeeping and drains. {@link ProxyLifecycle} defines its states.
 */
final class Proxy {
  private static final Transport TRANSPORT = new NioTransport();

  /** Interval of the periodic checks. */
  static final long HOUSEKEEPING_MILLIS = 200;

  private static final double NANOS_PER_MILLI = 1e6;

  /** Time for which binding the client address is retried, every {@link #LISTEN_RETRY_MILLIS}. */
  private static final long LISTEN_TIMEOUT_MILLIS = 1_000;

  private static final long LISTEN_RETRY_MILLIS = 20;

  /**
   * Time for which a process that takes over from another waits for discovery before it listens.
   */
  private static final long LIST_TIMEOUT_MILLIS = 1_500;

  /**
   * Time for which any other process waits for discovery, as a fraction of the drain grace. An
   * agent on the same machine responds at once or not at all.
   */
  private static final double LIST_TIMEOUT_GRACE_FRACTION = 0.5;

  private static final long LIST_POLL_MILLIS = 10;

  private final Config initialConfig;
  private final OperatorState operatorState;
  private final Log log;
  private final MultiThreadIoEventLoopGroup group;
  private final EventLoop loop;
  private final SocketBudget socketBudget;
  private final SharedLimits sharedLimits;
  private final UpstreamConnectionPool upstreams;
  private final Dispatcher dispatcher;
  private final PlatformRequestFilter requestFilter;
  private final HttpServer httpServer;
  private final DiscoveryWatch discoveryWatch;
  private final PeerMessenger peerMessenger;
  private final ConfigReloader configReloader;
  private final ProxyLifecycle lifecycle = new ProxyLifecycle();
  private boolean sheddingClients;

  Proxy(Config config, OperatorState operatorState, HotRestart hotRestart, Log log) {
    this.initialConfig = config;
    this.operatorState = operatorState;
    this.log = log;
    this.group =
        new MultiThreadIoEventLoopGroup(
            1,
            new DefaultThreadFactory("loop", true),
            ErrorContainment.wrap(TRANSPORT.ioHandlerFactory(), log));
    this.loop = (EventLoop) group.next();
    this.socketBudget =
        new SocketBudget(
            config.sockets()
                - (config.management() == null ? 0 : ManagementServer.MAX_CONNECTIONS));
    BodyBudget bodyBudget = new BodyBudget(0);
    this.sharedLimits =
        new SharedLimits(hotRestart, config.memoryMegabytes(), socketBudget, bodyBudget, log);
    this.upstreams =
        new UpstreamConnectionPool(
            loop, TRANSPORT, HttpProtocol.PLATFORM, config.bounds(), socketBudget, log);
    this.dispatcher =
        new Dispatcher(null, loop, config.settings(), config.seed(), upstreams, bodyBudget, log);
    this.requestFilter = new PlatformRequestFilter(dispatcher, config.settings(), operatorState);
    this.httpServer =
        new HttpServer(
            HttpServerSettings.forPlatform(config.maxOpen()),
            requestFilter,
            TRANSPORT,
            socketBudget,
            bodyBudget,
            HeadBudget.ofHeap(1),
            hotRestart.requestIds(),
            log);
    this.discoveryWatch = new DiscoveryWatch(group, config, dispatcher, log);
    this.configReloader = new ConfigReloader(loop, config, requestFilter, log, this::onReload);
    this.peerMessenger = createPeerMessenger();
  }

  private PeerMessenger createPeerMessenger() {
    PeerAddresses addresses = initialConfig.peerAddresses();
    if (addresses == null) {
      return null;
    }
    PeerMessenger messenger = new PeerMessenger(addresses, dispatcher::onPeerMessage, log);
    dispatcher.shareSuspicions(initialConfig.seed(), messenger::broadcast);
    return messenger;
  }

  /**
   * Starts the discovery watch, and listens once discovery has sent its list or the wait for the
   * list has timed out.
   */
  void start() throws ConfigException {
    try {
      loop.submit(() -> discoveryWatch.start(initialConfig.knownList())).sync();
      if (peerMessenger != null) {
        peerMessenger.start(loop);
      }
      awaitEndpointList();
      listen();
      lifecycle.advance(ProxyLifecycle.State.SERVING);
      loop.submit(() -> sharedLimits.exchangeStates(loop, this::isListening)).sync();
      operatorState.onChange(() -> loop.execute(this::applyOperatorState));
      loop.submit(this::applyOperatorState).sync(); // calls made before the listener was set
      loop.submit(this::runHousekeeping).sync();
    } catch (Exception e) {
      lifecycle.advance(ProxyLifecycle.State.ENDED);
      group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
      if (isSocketFailure(e)) {
        throw new ConfigException(
            "can't listen on " + initialConfig.listen() + ": " + e.getMessage());
      }
      throw new ConfigException("can't start: " + e);
    } finally {
      lifecycle.finishStart();
    }
    loop.scheduleAtFixedRate(
        this::runHousekeeping, HOUSEKEEPING_MILLIS, HOUSEKEEPING_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Waits for the list of discovery. Guards against a new process that uses the outdated list of
   * its configuration: the changes that discovery has count as notified from the start of the
   * process, and an endpoint that already drains has no grace left. If discovery is down, the start
   * takes longer by this wait.
   */
  private void awaitEndpointList() throws Exception {
    double graceMillis = LIST_TIMEOUT_GRACE_FRACTION * initialConfig.drainGraceMillis();
    double timeoutMillis =
        sharedLimits.isShared() ? LIST_TIMEOUT_MILLIS : Math.min(LIST_TIMEOUT_MILLIS, graceMillis);
    long untilNanos = System.nanoTime() + (long) (timeoutMillis * NANOS_PER_MILLI);
    while (!loop.submit(discoveryWatch::isConfirmed).get() && System.nanoTime() < untilNanos) {
      Thread.sleep(LIST_POLL_MILLIS);
    }
  }

  /**
   * Binds the client address, and retries for a while if the system has no socket or buffer
   * available or the address is still in use. Guards the start against a temporary shortage: a
   * process that ended for it would count as crashed.
   */
  private void listen() throws Exception {
    long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LISTEN_TIMEOUT_MILLIS);
    while (true) {
      try {
        httpServer.listen(group, initialConfig.listen());
        return;
      } catch (Exception e) {
        if (!isSocketFailure(e) || System.nanoTime() > untilNanos) {
          throw e;
        }
        Thread.sleep(LISTEN_RETRY_MILLIS);
      }
    }
  }

  private static boolean isSocketFailure(Exception failure) {
    return failure instanceof SocketException || failure instanceof ChannelException;
  }

  /** Waits until the start has finished; returns whether the proxy serves. */
  boolean awaitStart() {
    return lifecycle.awaitStart();
  }

  private void applyOperatorState() {
    if (operatorState.isDraining() != sheddingClients && !lifecycle.isShuttingDown()) {
      sheddingClients = !sheddingClients;
      log.line(
          sheddingClients
              ? "operator drain started: clients are asked to leave"
              : "operator drain ended: clients may stay");
      httpServer.setClientShedding(sheddingClients);
    }
  }

  private void runHousekeeping() {
    try {
      if (!lifecycle.isShuttingDown() && dispatcher.hasSendableHost()) {
        operatorState.setReady(true);
      }
      dispatcher.sweep();
      httpServer.enforceTimeouts();
      discoveryWatch.checkTimeouts();
      configReloader.reloadIfChanged();
    } catch (RuntimeException | Error e) {
      // Guards against the end of the periodic task: its first exception would cancel it.
      log.failure("housekeeping failed", e);
    }
  }

  /** Reloads the configuration whenever its file changes from now on. */
  void watch(String file) {
    configReloader.watch(Path.of(file));
  }

  /** Reloads the configuration now. */
  void reload(String file) {
    configReloader.reload(Path.of(file));
  }

  private void onReload(Config config) {
    upstreams.updateBounds(config.bounds());
    log.line("configuration reloaded, discovery at " + config.discovery());
    discoveryWatch.reconfigure(config);
  }

  /** Starts the {@link GracefulShutdown}. */
  void drain() {
    loop.execute(
        () -> {
          GracefulShutdown shutdown =
              new GracefulShutdown(
                  loop, httpServer, configReloader.config().settings(), log, this::onDrained);
          lifecycle.advance(ProxyLifecycle.State.DRAINING);
          operatorState.setReady(false);
          boolean anotherProcessListens = sharedLimits.isAnotherProcessListening();
          if (anotherProcessListens) {
            // The other process accepts new clients; a client still connected here is asked to
            // leave with its next response.
            log.line("draining: another process listens");
            httpServer.stopListening();
            httpServer.setClientShedding(true);
          } else {
            log.line("draining");
            requestFilter.startDraining();
            httpServer.drain();
          }
          shutdown.startPolling(anotherProcessListens);
        });
  }

  private void onDrained() {
    lifecycle.advance(ProxyLifecycle.State.ENDED);
  }

  void awaitEnd() {
    lifecycle.awaitEnd();
  }

  /** Whether the start has failed, or the proxy has drained or was stopped. */
  boolean hasEnded() {
    return lifecycle.hasEnded();
  }

  /** Shuts the event loop down at once, without a drain. */
  void stop() {
    lifecycle.advance(ProxyLifecycle.State.ENDED);
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }

  InetSocketAddress address() {
    return (InetSocketAddress) httpServer.listener().localAddress();
  }

  /** Whether the listening socket of this process is open. */
  boolean isListening() {
    return httpServer.listener().isOpen();
  }

  /**
   * Returns the number of requests that are open or have open attempts; called on the event loop.
   */
  int openRequests() {
    return dispatcher.openRequests();
  }

  /** Whether the named endpoint may get requests; called on the event loop. */
  boolean canSendTo(String endpoint) {
    return dispatcher.isSendable(endpoint);
  }

  /** Returns the budget of file descriptors for sockets; called on the event loop. */
  SocketBudget socketBudget() {
    return socketBudget;
  }

  /** Returns the event loop to which the proxy is confined. */
  EventLoop loop() {
    return loop;
  }
}
