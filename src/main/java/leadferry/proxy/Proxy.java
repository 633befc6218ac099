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
  private static final double LIST_TIMEOUT_PART_OF_GRACE = 0.5;

  private static final long LIST_POLL_MILLIS = 10;

  private final Config initialConfig;
  private final OperatorState operators;
  private final Log log;
  private final MultiThreadIoEventLoopGroup group;
  private final EventLoop loop;
  private final SocketBudget sockets;
  private final SharedLimits limits;
  private final UpstreamConnectionPool upstreams;
  private final Dispatcher dispatcher;
  private final PlatformRequestFilter requestFilter;
  private final HttpServer httpServer;
  private final Discovery discovery;
  private final Peers peers;
  private final ConfigReload configReload;
  private final ProxyLifecycle lifecycle = new ProxyLifecycle();
  private boolean sendingAway;

  Proxy(Config config, OperatorState operators, HotRestart hotRestart, Log log) {
    this.initialConfig = config;
    this.operators = operators;
    this.log = log;
    this.group =
        new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("loop", true), TRANSPORT.ioHandlerFactory());
    this.loop = (EventLoop) group.next();
    this.sockets =
        new SocketBudget(
            config.sockets() - (config.management() == null ? 0 : Management.MAX_CONNECTIONS));
    BodyBudget budget = new BodyBudget(0);
    this.limits = new SharedLimits(hotRestart, config.memoryMegabytes(), sockets, budget, log);
    this.upstreams =
        new UpstreamConnectionPool(
            loop, TRANSPORT, HttpProtocol.PLATFORM, config.bounds(), sockets, log);
    this.dispatcher =
        new Dispatcher(null, loop, config.settings(), config.seed(), upstreams, budget, log);
    this.requestFilter = new PlatformRequestFilter(dispatcher, config.settings(), operators);
    this.httpServer =
        new HttpServer(
            HttpServerSettings.forPlatform(config.maxOpen()),
            requestFilter,
            TRANSPORT,
            sockets,
            budget,
            log);
    this.discovery = new Discovery(group, config, dispatcher, log);
    this.configReload = new ConfigReload(loop, config, requestFilter, log, this::onReload);
    this.peers = joinPeers();
  }

  private Peers joinPeers() {
    PeerAddresses addresses = initialConfig.peers();
    if (addresses == null) {
      return null;
    }
    Peers joined = new Peers(addresses, dispatcher::onPeerMessage, log);
    dispatcher.shareSuspicions(initialConfig.seed(), joined::tell);
    return joined;
  }

  /** Starts the watch, and listens once discovery has told its list or was waited for. */
  void start() throws ConfigException {
    try {
      loop.submit(() -> discovery.start(initialConfig.knownList())).sync();
      if (peers != null) {
        peers.start(loop);
      }
      awaitList();
      listen();
      lifecycle.advance(ProxyLifecycle.State.SERVING);
      loop.submit(() -> limits.exchange(loop, this::isListening)).sync();
      operators.onChange(() -> loop.execute(this::followOperators));
      loop.submit(this::followOperators).sync(); // calls that came before
      loop.submit(this::keepHouse).sync();
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
        this::keepHouse, HOUSEKEEPING_MILLIS, HOUSEKEEPING_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Waits for discovery's list. Guards against a new process that goes by the old list of its
   * configuration: what discovery has counts as notified from its first moment, so an endpoint that
   * drains already has no grace left. Where discovery is down it makes the start longer by as much.
   */
  private void awaitList() throws Exception {
    double graceMillis = LIST_TIMEOUT_PART_OF_GRACE * initialConfig.drainGraceMillis();
    double timeoutMillis =
        limits.isShared() ? LIST_TIMEOUT_MILLIS : Math.min(LIST_TIMEOUT_MILLIS, graceMillis);
    long untilNanos = System.nanoTime() + (long) (timeoutMillis * NANOS_PER_MILLI);
    while (!loop.submit(discovery::isConfirmed).get() && System.nanoTime() < untilNanos) {
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

  private void followOperators() {
    if (operators.isDraining() != sendingAway && !lifecycle.isShuttingDown()) {
      sendingAway = !sendingAway;
      log.line(sendingAway ? "clients are sent away" : "clients are taken back");
      httpServer.setClientShedding(sendingAway);
    }
  }

  private void keepHouse() {
    try {
      if (!lifecycle.isShuttingDown() && dispatcher.hasSendableHost()) {
        operators.setReady(true);
      }
      dispatcher.sweep();
      httpServer.enforceTimeouts();
      discovery.sweep();
      configReload.reloadIfChanged();
    } catch (RuntimeException e) {
      // Guards against a periodic task that ends for ever with its first exception.
      log.failure("housekeeping failed", e);
    }
  }

  /** Reloads the configuration whenever its file changes from now on. */
  void watch(String file) {
    configReload.watch(Path.of(file));
  }

  /** Reloads the configuration now. */
  void reload(String file) {
    configReload.reload(Path.of(file));
  }

  private void onReload(Config config) {
    upstreams.updateBounds(config.bounds());
    log.line("configuration read again, discovery at " + config.discovery());
    discovery.moveTo(config.discovery());
  }

  /** Begins the {@link GracefulShutdown}. */
  void drain() {
    loop.execute(
        () -> {
          GracefulShutdown shutdown =
              new GracefulShutdown(
                  loop, httpServer, configReload.config().settings(), log, this::onDrained);
          lifecycle.advance(ProxyLifecycle.State.DRAINING);
          operators.setReady(false);
          boolean takenOver = limits.anotherListens();
          if (takenOver) {
            // The other process has the clients; who is still here leaves with its next answer.
            log.line("draining, another process listens");
            httpServer.stopListening();
            httpServer.setClientShedding(true);
          } else {
            log.line("draining");
            requestFilter.drain();
            httpServer.drain();
          }
          shutdown.awaitClients(takenOver);
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
  int open() {
    return dispatcher.openRequests();
  }

  /** Whether the endpoint of that name may get requests; on its loop. */
  boolean sends(String endpoint) {
    return dispatcher.isSendable(endpoint);
  }

  /** What it holds of descriptors; on its loop. */
  SocketBudget sockets() {
    return sockets;
  }

  /** The loop on which all of it runs. */
  EventLoop loop() {
    return loop;
  }
}
