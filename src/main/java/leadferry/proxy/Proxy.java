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
import leadferry.engine.Log;
import leadferry.engine.NioTransport;
import leadferry.engine.SocketBudget;
import leadferry.engine.Transport;
import leadferry.engine.UpstreamConnectionPool;
import leadferry.http.HttpProtocol;
import leadferry.http.HttpServer;
import leadferry.http.HttpServerSettings;

/**
 * One client proxy, with all of its state on one event loop thread: puts its parts together, starts
 * them, keeps house and drains. Its states are those of {@link ProxyLifecycle}.
 */
final class Proxy {
  private static final Transport TRANSPORT = new NioTransport();

  private static final long HOUSEKEEPING_MILLIS = 200;
  private static final double NANOS_PER_MILLI = 1e6;

  /** For how long the clients' address is tried, and how often. */
  private static final long LISTEN_TIMEOUT_MILLIS = 1_000;

  private static final long LISTEN_RETRY_MILLIS = 20;

  /** How long a process that takes over from another waits for discovery before it listens. */
  private static final long LIST_TIMEOUT_MILLIS = 1_500;

  /**
   * And any other, as a part of the drain's grace: an agent on the same machine answers at once, or
   * is silent.
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
            1, new DefaultThreadFactory("loop", true), TRANSPORT.ioHandlerFactory());
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

  /** Starts the watch, and listens once discovery has told its list or was waited for. */
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
      loop.submit(this::applyOperatorState).sync(); // calls that came before
      loop.submit(this::runHousekeeping).sync();
    } catch (Exception e) {
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
   * Waits for discovery's list. Guards against a new process that goes by the old list of its
   * configuration: what discovery has counts as notified from its first moment, so an endpoint that
   * drains already has no grace left. Where discovery is down it makes the start longer by as much.
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
   * Listens, and tries again for a while where the system has no socket or buffer at the moment, or
   * the address is not free yet. Guards a start against a shortage that passes: a process that ends
   * there is a crash.
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

  /** Waits for the end of the start; returns whether it serves. */
  boolean awaitStart() {
    return lifecycle.awaitStart();
  }

  private void applyOperatorState() {
    if (operatorState.isDraining() != sheddingClients && !lifecycle.isShuttingDown()) {
      sheddingClients = !sheddingClients;
      log.line(sheddingClients ? "clients are sent away" : "clients are taken back");
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
    } catch (RuntimeException e) {
      // Guards against a periodic task that ends for ever with its first exception.
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
    log.line("configuration read again, discovery at " + config.discovery());
    discoveryWatch.moveTo(config.discovery());
  }

  /** Begins the {@link GracefulShutdown}. */
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
            // The other process has the clients; who is still here leaves with its next answer.
            log.line("draining, another process listens");
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

  /** Ends the loop at once. */
  void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    lifecycle.advance(ProxyLifecycle.State.ENDED);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) httpServer.listener().localAddress();
  }

  /** Whether its own socket takes clients. */
  boolean isListening() {
    return httpServer.listener().isOpen();
  }

  /** Requests that are not over, or whose attempts are not; on its loop. */
  int openRequests() {
    return dispatcher.openRequests();
  }

  /** Whether the endpoint of that name may get requests; on its loop. */
  boolean canSendTo(String endpoint) {
    return dispatcher.isSendable(endpoint);
  }

  /** What it holds of descriptors; on its loop. */
  SocketBudget socketBudget() {
    return socketBudget;
  }

  /** The loop on which all of it runs. */
  EventLoop loop() {
    return loop;
  }
}
