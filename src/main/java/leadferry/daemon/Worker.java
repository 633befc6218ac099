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
import leadferry.http.HttpProtocol;
import leadferry.http.HttpServer;
import leadferry.http.HttpServerSettings;
import leadferry.loadbalancer.EndpointListEvent;

/**
 * One event loop and all that is its own: the module instance and the connections of each pool, the
 * clients of each listener, its part of the budgets. Everything here runs on that loop.
 */
final class Worker {
  private static final long SWEEP_MILLIS = 200;

  /** A pool on this worker. */
  private static final class WorkerPool {
    final Dispatcher dispatcher;
    final UpstreamConnectionPool upstreams;
    ConfigurationSnapshot.PoolSnapshot snapshot;

    WorkerPool(
        Dispatcher dispatcher,
        UpstreamConnectionPool upstreams,
        ConfigurationSnapshot.PoolSnapshot version) {
      this.dispatcher = dispatcher;
      this.upstreams = upstreams;
      this.snapshot = version;
    }
  }

  /**
   * A listener that has gone from the file, and until when (ns) its backlog may still tell of
   * clients.
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
  private long nextSeed;
  private boolean draining;
  private boolean clientShedding;

  /** A worker of so many; its part of the budgets is an equal one. */
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
    loop.scheduleAtFixedRate(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
  }

  EventLoop loop() {
    return loop;
  }

  /** Puts a version in force; pools and listeners that it keeps go on as they are. */
  void apply(ConfigurationSnapshot v) {
    for (Iterator<Map.Entry<String, WorkerPool>> i = pools.entrySet().iterator(); i.hasNext(); ) {
      Map.Entry<String, WorkerPool> e = i.next();
      ConfigurationSnapshot.PoolSnapshot next = v.pools.get(e.getKey());
      if (next == null || !next.config().canReuseDispatcherOf(e.getValue().snapshot.config())) {
        i.remove();
        retiredPools.add(e.getValue()); // what it has taken ends there
      }
    }
    for (ConfigurationSnapshot.PoolSnapshot p : v.pools.values()) {
      WorkerPool kept = pools.get(p.config().name());
      if (kept == null) {
        pools.put(p.config().name(), startPool(p));
      } else {
        if (!p.endpoints().members().equals(kept.snapshot.endpoints().members())) {
          kept.dispatcher.onEndpointList(EndpointListEvent.FULL, p.endpoints());
        }
        kept.snapshot = p;
        kept.upstreams.updateBounds(p.bounds());
        kept.dispatcher
            .sweep(); // what a lower bound leaves no room for, and carries nothing, goes now
      }
      WorkerPool pool = pools.get(p.config().name());
      pool.dispatcher.setRetryGate(() -> retryAllowed(v, p));
    }
    for (Iterator<Map.Entry<String, HttpServer>> i = servers.entrySet().iterator(); i.hasNext(); ) {
      Map.Entry<String, HttpServer> e = i.next();
      DaemonConfig.Listener l = v.config.listeners().get(e.getKey());
      if (l == null || !serverSettings(l).equals(e.getValue().settings())) {
        i.remove();
        e.getValue().drain();
        closingServers.add(
            new ClosingServer(
                e.getKey(),
                e.getValue(),
                System.nanoTime() + 2 * Daemon.ACCEPT_GRACE_MILLIS * 1_000_000L));
      }
    }
    for (DaemonConfig.Listener l : v.config.listeners().values()) {
      DaemonRequestFilter gate = new DaemonRequestFilter(this, v, l);
      HttpServer front = servers.get(l.name());
      if (front == null) {
        HttpServer fresh =
            new HttpServer(
                serverSettings(l),
                gate,
                transport,
                socketBudget,
                bodyBudget,
                log.withField("listener", l.name()));
        fresh.setClientShedding(clientShedding);
        servers.put(l.name(), fresh);
      } else {
        front.setFilter(gate);
      }
    }
  }

  private static boolean retryAllowed(
      ConfigurationSnapshot v, ConfigurationSnapshot.PoolSnapshot p) {
    if (!p.retryBudget().take()) {
      return false;
    }
    if (!v.retryBudget.take()) {
      p.retryBudget().refund();
      return false;
    }
    return true;
  }

  private static HttpServerSettings serverSettings(DaemonConfig.Listener l) {
    return new HttpServerSettings(
        l.maxBodyBytes(),
        Long.MAX_VALUE,
        l.receiveTimeoutMillis(),
        0,
        Math.min(2_000, l.idleMillis()),
        l.idleMillis(),
        l.maxOpenRequests(),
        l.maxPipelinedRequests(),
        false,
        true);
  }

  private WorkerPool startPool(ConfigurationSnapshot.PoolSnapshot p) {
    DaemonConfig.Pool c = p.config();
    Log named = log.withField("pool", c.name());
    UpstreamConnectionPool upstreams =
        new UpstreamConnectionPool(
            loop,
            transport,
            new HttpProtocol(c.maxResponseBytes(), Long.MAX_VALUE, false, true, c.passErrors()),
            p.bounds(),
            socketBudget,
            named);
    Dispatcher d =
        new Dispatcher(
            c.name(),
            loop,
            c.settings().withProxyIndex(c.settings().proxyIndex() + index),
            nextSeed++,
            upstreams,
            bodyBudget,
            named);
    d.setOutcomeCounter(outcomeCounts);
    d.start(p.endpoints(), () -> {});
    return new WorkerPool(d, upstreams, p);
  }

  /** The pool of that name, or null. */
  Dispatcher dispatcher(String name) {
    WorkerPool p = pools.get(name);
    return p == null ? null : p.dispatcher;
  }

  /** A connection that the listener has accepted. */
  void onAccepted(String listener, SocketChannel ch) {
    HttpServer f = servers.get(listener);
    for (int i = closingServers.size() - 1; f == null && i >= 0; i--) {
      f = closingServers.get(i).listener().equals(listener) ? closingServers.get(i).server() : null;
    }
    if (f == null) {
      ch.close();
    } else {
      f.onAccepted(ch);
    }
  }

  boolean isDraining() {
    return draining;
  }

  /** Whether requests would be served. */
  boolean isServing() {
    return !draining && !clientShedding;
  }

  /** Sends clients away, or no longer; who comes all the same is served. */
  void setClientShedding(boolean now) {
    clientShedding = now;
    if (!draining) {
      servers.values().forEach(f -> f.setClientShedding(now));
    }
  }

  /** Hosts on which requests are in flight. */
  Set<String> busyHosts() {
    Set<String> out = new HashSet<>();
    pools.values().forEach(p -> out.addAll(p.dispatcher.busyHosts()));
    retiredPools.forEach(p -> out.addAll(p.dispatcher.busyHosts()));
    return out;
  }

  /**
   * What has become of attempts and requests here since this process began, by class; on the
   * worker's loop only.
   */
  private static final class OutcomeCounts implements leadferry.engine.OutcomeCounter {
    final Map<String, Map<String, long[]>> attemptsByHost = new HashMap<>();
    final Map<String, long[]> requests = new HashMap<>();

    private static void add(Map<String, long[]> to, String className, boolean bad) {
      long[] n = to.computeIfAbsent(className, k -> new long[2]);
      n[0]++;
      n[1] += bad ? 1 : 0;
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
   * Adds what was counted here to a member's report; hosts that are in no list any more are
   * forgotten.
   */
  void addOutcomesTo(com.fasterxml.jackson.databind.node.ObjectNode to) {
    Set<String> known = new HashSet<>();
    pools.values().forEach(p -> p.snapshot.endpoints().members().forEach(m -> known.add(m.name())));
    outcomeCounts.attemptsByHost.keySet().retainAll(known);
    outcomeCounts.attemptsByHost.forEach(
        (host, by) -> add(by, to.withObject("/hosts").withObjectProperty(host)));
    add(outcomeCounts.requests, to.withObject("/own"));
  }

  private static void add(
      Map<String, long[]> counts, com.fasterxml.jackson.databind.node.ObjectNode to) {
    counts.forEach(
        (className, n) -> {
          com.fasterxml.jackson.databind.JsonNode had = to.path(className);
          to.putArray(className).add(had.path(0).asLong() + n[0]).add(had.path(1).asLong() + n[1]);
        });
  }

  /** Hosts that a pool's module has ejected. */
  Set<String> ejectedHosts() {
    Set<String> out = new HashSet<>();
    pools.values().forEach(p -> out.addAll(p.dispatcher.ejectedHosts()));
    return out;
  }

  /** Answers what was taken and asks clients to leave. */
  void drain() {
    draining = true;
    servers.values().forEach(HttpServer::drain);
  }

  /** Whether anything that was taken has no answer yet. */
  boolean hasPendingRequests() {
    return servers.values().stream().anyMatch(HttpServer::hasPendingRequests)
        || closingServers.stream().anyMatch(c -> c.server().hasPendingRequests());
  }

  private void sweep() {
    try {
      for (WorkerPool p : pools.values()) {
        p.dispatcher.sweep();
      }
      for (Iterator<WorkerPool> i = retiredPools.iterator(); i.hasNext(); ) {
        WorkerPool p = i.next();
        p.dispatcher.sweep();
        if (p.dispatcher.openRequests() == 0) {
          p.dispatcher.closeIdle();
          i.remove();
        }
      }
      for (HttpServer f : servers.values()) {
        f.enforceTimeouts();
      }
      long now = System.nanoTime();
      for (ClosingServer c : closingServers) {
        c.server().enforceTimeouts();
      }
      closingServers.removeIf(c -> c.server().hasNoClients() && now > c.deadlineNanos());
    } catch (RuntimeException e) {
      // Guards against a periodic task that ends for ever with its first exception.
      log.failure("upkeep failed", e);
    }
  }
}
