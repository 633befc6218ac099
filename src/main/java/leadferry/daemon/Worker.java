package leadferry.daemon;

import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import leadferry.engine.BodyBudget;
import leadferry.engine.Dispatcher;
import leadferry.engine.Log;
import leadferry.engine.SocketBudget;
import leadferry.engine.Transport;
import leadferry.engine.UpstreamConnectionPool;
import leadferry.engine.UpstreamHosts;
import leadferry.http.HeadBudget;
import leadferry.http.HttpProtocol;
import leadferry.http.HttpServer;
import leadferry.http.HttpServerSettings;
import leadferry.loadbalancer.EndpointListEvent;

/**
 * Event loop with its state: the load balancer and the connections of each pool, the client
 * connections of each listener, and an equal part of the process's budgets. All methods run on that
 * loop.
 */
final class Worker {
  private static final long SWEEP_MILLIS = 200;

  /** Pool on this worker. */
  private static final class WorkerPool {
    final Dispatcher dispatcher;
    final UpstreamConnectionPool upstreams;
    ConfigurationSnapshot.PoolSnapshot snapshot;
    UpstreamHosts.ListUpdate endpoints;

    WorkerPool(
        Dispatcher dispatcher,
        UpstreamConnectionPool upstreams,
        ConfigurationSnapshot.PoolSnapshot version) {
      this.dispatcher = dispatcher;
      this.upstreams = upstreams;
      this.snapshot = version;
      this.endpoints = version.endpoints();
    }

    void updateEndpoints(UpstreamHosts.ListUpdate next) {
      if (!next.members().equals(endpoints.members())) {
        dispatcher.onEndpointList(EndpointListEvent.FULL, next);
      }
      endpoints = next;
    }
  }

  /**
   * Server of a listener that was removed from the file.
   *
   * @param deadlineNanos time until which connections may still arrive from the listener's backlog
   */
  private record ClosingServer(String listener, HttpServer server, long deadlineNanos) {}

  private final EventLoop loop;
  private final Transport transport;
  private final int index;
  private final Log log;
  private final SocketBudget socketBudget;
  private final BodyBudget bodyBudget;
  private final Map<String, WorkerPool> pools = new HashMap<>();
  private final List<WorkerPool> retiredPools = new ArrayList<>();
  private final Map<String, HttpServer> servers = new HashMap<>();
  private final List<ClosingServer> closingServers = new ArrayList<>();
  private final OutcomeCounts outcomeCounts = new OutcomeCounts();
  private final HeadBudget headBudget;
  private long nextSeed;
  private boolean draining;
  private boolean clientShedding;

  /** Creates a worker, with its equal part of the process's socket and body budgets. */
  Worker(
      EventLoop loop,
      Transport transport,
      int number,
      DaemonConfig.Process process,
      long seed,
      Log log) {
    this.loop = loop;
    this.transport = transport;
    this.index = number;
    this.log = log;
    this.nextSeed = seed;
    this.socketBudget = new SocketBudget(process.descriptors() / process.workers());
    this.bodyBudget = new BodyBudget(((long) process.bodyMemoryMb() << 20) / process.workers());
    this.headBudget = HeadBudget.ofHeap(process.workers());
    loop.scheduleAtFixedRate(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
  }

  EventLoop loop() {
    return loop;
  }

  /** Applies a snapshot. Pools and listeners that it keeps continue unchanged. */
  void apply(ConfigurationSnapshot snapshot) {
    for (Iterator<Map.Entry<String, WorkerPool>> iterator = pools.entrySet().iterator();
        iterator.hasNext(); ) {
      Map.Entry<String, WorkerPool> entry = iterator.next();
      ConfigurationSnapshot.PoolSnapshot next = snapshot.pools.get(entry.getKey());
      if (next == null || !next.config().canReuseDispatcherOf(entry.getValue().snapshot.config())) {
        iterator.remove();
        retiredPools.add(entry.getValue()); // requests that it accepted finish there
      }
    }
    for (WorkerPool retired : retiredPools) {
      String name = retired.snapshot.config().name();
      retired.updateEndpoints(snapshot.endpointsOfReplacedPool(name, retired.endpoints));
    }
    for (ConfigurationSnapshot.PoolSnapshot poolSnapshot : snapshot.pools.values()) {
      WorkerPool existing = pools.get(poolSnapshot.config().name());
      if (existing == null) {
        pools.put(poolSnapshot.config().name(), startPool(poolSnapshot));
      } else {
        existing.updateEndpoints(poolSnapshot.endpoints());
        existing.snapshot = poolSnapshot;
        existing.upstreams.updateBounds(poolSnapshot.bounds());
        existing.dispatcher.sweep(); // closes idle connections above a lowered limit at once
      }
      WorkerPool pool = pools.get(poolSnapshot.config().name());
      pool.dispatcher.setRetryGate(() -> retryAllowed(snapshot, poolSnapshot));
    }
    for (Iterator<Map.Entry<String, HttpServer>> iterator = servers.entrySet().iterator();
        iterator.hasNext(); ) {
      Map.Entry<String, HttpServer> entry = iterator.next();
      DaemonConfig.Listener listener = snapshot.config.listeners().get(entry.getKey());
      if (listener == null || !serverSettings(listener).equals(entry.getValue().settings())) {
        iterator.remove();
        entry.getValue().drain();
        closingServers.add(
            new ClosingServer(
                entry.getKey(),
                entry.getValue(),
                System.nanoTime() + 2 * Daemon.ACCEPT_GRACE_MILLIS * 1_000_000L));
      }
    }
    for (DaemonConfig.Listener listener : snapshot.config.listeners().values()) {
      DaemonRequestFilter filter = new DaemonRequestFilter(this, snapshot, listener);
      HttpServer server = servers.get(listener.name());
      if (server == null) {
        HttpServer newServer =
            new HttpServer(
                serverSettings(listener),
                filter,
                transport,
                socketBudget,
                bodyBudget,
                headBudget,
                null,
                log.withField("listener", listener.name()));
        newServer.setClientShedding(clientShedding);
        servers.put(listener.name(), newServer);
      } else {
        server.setFilter(filter);
      }
    }
  }

  private static boolean retryAllowed(
      ConfigurationSnapshot snapshot, ConfigurationSnapshot.PoolSnapshot poolSnapshot) {
    if (!poolSnapshot.retryBudget().take()) {
      return false;
    }
    if (!snapshot.retryBudget.take()) {
      poolSnapshot.retryBudget().refund();
      return false;
    }
    return true;
  }

  private static HttpServerSettings serverSettings(DaemonConfig.Listener listener) {
    return new HttpServerSettings(
        listener.maxBodyBytes(),
        Long.MAX_VALUE,
        listener.receiveTimeoutMillis(),
        0,
        Math.min(2_000, listener.idleMillis()),
        listener.idleMillis(),
        listener.maxOpenRequests(),
        listener.maxPipelinedRequests(),
        false,
        true);
  }

  private WorkerPool startPool(ConfigurationSnapshot.PoolSnapshot poolSnapshot) {
    DaemonConfig.Pool config = poolSnapshot.config();
    Log poolLog = log.withField("pool", config.name());
    UpstreamConnectionPool upstreams =
        new UpstreamConnectionPool(
            loop,
            transport,
            new HttpProtocol(
                config.maxResponseBytes(), Long.MAX_VALUE, false, true, config.passErrors()),
            poolSnapshot.bounds(),
            socketBudget,
            poolLog);
    Dispatcher dispatcher =
        new Dispatcher(
            config.name(),
            loop,
            config.settings().withProxyIndex(config.settings().proxyIndex() + index),
            nextSeed++,
            upstreams,
            bodyBudget,
            poolLog);
    dispatcher.setOutcomeCounter(outcomeCounts);
    dispatcher.start(poolSnapshot.endpoints(), () -> {});
    return new WorkerPool(dispatcher, upstreams, poolSnapshot);
  }

  /** Returns the dispatcher of a pool, or null if there is no such pool. */
  Dispatcher dispatcher(String name) {
    WorkerPool pool = pools.get(name);
    return pool == null ? null : pool.dispatcher;
  }

  /** Assigns an accepted connection to the listener's server. */
  void onAccepted(String listener, SocketChannel client) {
    HttpServer server = servers.get(listener);
    for (int i = closingServers.size() - 1; server == null && i >= 0; i--) {
      server =
          closingServers.get(i).listener().equals(listener) ? closingServers.get(i).server() : null;
    }
    if (server == null) {
      client.close();
    } else {
      server.onAccepted(client);
    }
  }

  boolean isDraining() {
    return draining;
  }

  /** Returns whether new requests should be sent to this worker. */
  boolean isServing() {
    return !draining && !clientShedding;
  }

  /**
   * Enables or disables the shedding of client connections. Requests that arrive nevertheless are
   * served.
   */
  void setClientShedding(boolean enabled) {
    clientShedding = enabled;
    if (!draining) {
      servers.values().forEach(f -> f.setClientShedding(enabled));
    }
  }

  /** Returns the hosts on which requests are in flight. */
  Set<String> busyHosts() {
    Set<String> hosts = new HashSet<>();
    pools.values().forEach(p -> hosts.addAll(p.dispatcher.busyHosts()));
    retiredPools.forEach(p -> hosts.addAll(p.dispatcher.busyHosts()));
    return hosts;
  }

  /**
   * Counts the outcomes of attempts and requests of this worker by class, since the start of the
   * process. Confined to the worker's loop.
   */
  private static final class OutcomeCounts implements leadferry.engine.OutcomeCounter {
    final Map<String, Map<String, long[]>> attemptsByHost = new HashMap<>();
    final Map<String, long[]> requests = new HashMap<>();

    private static void add(Map<String, long[]> countsByClass, String className, boolean bad) {
      long[] totalAndBad = countsByClass.computeIfAbsent(className, k -> new long[2]);
      totalAndBad[0]++;
      totalAndBad[1] += bad ? 1 : 0;
    }

    @Override
    public void countAttempt(String server, String className, boolean bad) {
      add(attemptsByHost.computeIfAbsent(server, k -> new HashMap<>()), className, bad);
    }

    @Override
    public void countRequest(String className, boolean bad) {
      add(requests, className, bad);
    }
  }

  /**
   * Adds this worker's counts to a member's report and discards the counts of hosts that are in no
   * pool any more.
   */
  void addOutcomesTo(com.fasterxml.jackson.databind.node.ObjectNode report) {
    Set<String> listedHosts = new HashSet<>();
    pools.values().forEach(p -> p.endpoints.members().forEach(m -> listedHosts.add(m.name())));
    outcomeCounts.attemptsByHost.keySet().retainAll(listedHosts);
    outcomeCounts.attemptsByHost.forEach(
        (host, by) -> add(by, report.withObject("/hosts").withObjectProperty(host)));
    add(outcomeCounts.requests, report.withObject("/own"));
  }

  private static void add(
      Map<String, long[]> counts, com.fasterxml.jackson.databind.node.ObjectNode report) {
    counts.forEach(
        (className, totalAndBad) -> {
          com.fasterxml.jackson.databind.JsonNode previous = report.path(className);
          report
              .putArray(className)
              .add(previous.path(0).asLong() + totalAndBad[0])
              .add(previous.path(1).asLong() + totalAndBad[1]);
        });
  }

  /** Returns the hosts that a pool's load balancer has ejected. */
  Set<String> ejectedHosts() {
    Set<String> hosts = new HashSet<>();
    pools.values().forEach(p -> hosts.addAll(p.dispatcher.ejectedHosts()));
    return hosts;
  }

  /**
   * Starts the drain: accepted requests get their responses, and clients are asked to close their
   * connections.
   */
  void drain() {
    draining = true;
    servers.values().forEach(HttpServer::drain);
  }

  /** Returns whether an accepted request still has no response. */
  boolean hasPendingRequests() {
    return servers.values().stream().anyMatch(HttpServer::hasPendingRequests)
        || closingServers.stream().anyMatch(c -> c.server().hasPendingRequests());
  }

  /** Removes the replaced pools that no request uses, or will use once it has been received. */
  private void sweepRetiredPools() {
    Set<Dispatcher> awaiting = new HashSet<>();
    servers.values().forEach(server -> server.addAwaitingPoolsTo(awaiting));
    closingServers.forEach(closing -> closing.server().addAwaitingPoolsTo(awaiting));
    for (Iterator<WorkerPool> iterator = retiredPools.iterator(); iterator.hasNext(); ) {
      WorkerPool pool = iterator.next();
      pool.dispatcher.sweep();
      if (pool.dispatcher.openRequests() == 0) {
        pool.dispatcher.closeIdle();
        if (!awaiting.contains(pool.dispatcher)) {
          iterator.remove();
        }
      }
    }
  }

  private void sweep() {
    try {
      for (WorkerPool pool : pools.values()) {
        pool.dispatcher.sweep();
      }
      if (!retiredPools.isEmpty()) {
        sweepRetiredPools();
      }
      for (HttpServer server : servers.values()) {
        server.enforceTimeouts();
      }
      long now = System.nanoTime();
      for (ClosingServer closing : closingServers) {
        closing.server().enforceTimeouts();
      }
      closingServers.removeIf(
          closing -> closing.server().hasNoClients() && now > closing.deadlineNanos());
    } catch (RuntimeException | Error e) {
      // Guards against the executor, which ends a periodic task for good after its first exception.
      log.failure("periodic sweep failed", e);
    }
  }
}
