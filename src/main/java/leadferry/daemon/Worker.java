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
  private static final long SWEEP_MS = 200;

  /** A pool on this worker. */
  private static final class WorkerPool {
    final Dispatcher dispatcher;
    final UpstreamConnectionPool upstreams;
    ConfigurationSnapshot.Pool version;

    WorkerPool(
        Dispatcher dispatcher,
        UpstreamConnectionPool upstreams,
        ConfigurationSnapshot.Pool version) {
      this.dispatcher = dispatcher;
      this.upstreams = upstreams;
      this.version = version;
    }
  }

  /**
   * A listener that has gone from the file, and until when (ns) its backlog may still tell of
   * clients.
   */
  private record Closing(String name, HttpServer front, long until) {}

  private final EventLoop loop;
  private final Transport transport;
  private final int number;
  private final Log log;
  private final SocketBudget sockets;
  private final BodyBudget budget;
  private final Map<String, WorkerPool> pools = new HashMap<>();
  private final List<WorkerPool> leaving = new ArrayList<>();
  private final Map<String, HttpServer> fronts = new HashMap<>();
  private final List<Closing> closing = new ArrayList<>();
  private final Counts counts = new Counts();
  private long seeds;
  private boolean draining;
  private boolean away;

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
    this.number = number;
    this.log = log;
    this.seeds = seed;
    this.sockets = new SocketBudget(process.descriptors() / process.workers());
    this.budget = new BodyBudget(((long) process.bodyMemoryMb() << 20) / process.workers());
    loop.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
  }

  EventLoop loop() {
    return loop;
  }

  /** Puts a version in force; pools and listeners that it keeps go on as they are. */
  void apply(ConfigurationSnapshot v) {
    for (Iterator<Map.Entry<String, WorkerPool>> i = pools.entrySet().iterator(); i.hasNext(); ) {
      Map.Entry<String, WorkerPool> e = i.next();
      ConfigurationSnapshot.Pool next = v.pools.get(e.getKey());
      if (next == null || !next.config().continues(e.getValue().version.config())) {
        i.remove();
        leaving.add(e.getValue()); // what it has taken ends there
      }
    }
    for (ConfigurationSnapshot.Pool p : v.pools.values()) {
      WorkerPool kept = pools.get(p.config().name());
      if (kept == null) {
        pools.put(p.config().name(), start(p));
      } else {
        if (!p.members().members().equals(kept.version.members().members())) {
          kept.dispatcher.onEndpointList(EndpointListEvent.FULL, p.members());
        }
        kept.version = p;
        kept.upstreams.updateBounds(p.bounds());
        kept.dispatcher
            .sweep(); // what a lower bound leaves no room for, and carries nothing, goes now
      }
      WorkerPool pool = pools.get(p.config().name());
      pool.dispatcher.setRetryGate(() -> retryAllowed(v, p));
    }
    for (Iterator<Map.Entry<String, HttpServer>> i = fronts.entrySet().iterator(); i.hasNext(); ) {
      Map.Entry<String, HttpServer> e = i.next();
      DaemonConfig.Listener l = v.config.listeners().get(e.getKey());
      if (l == null || !settings(l).equals(e.getValue().settings())) {
        i.remove();
        e.getValue().drain();
        closing.add(
            new Closing(
                e.getKey(),
                e.getValue(),
                System.nanoTime() + 2 * Daemon.LAST_ACCEPT_MS * 1_000_000L));
      }
    }
    for (DaemonConfig.Listener l : v.config.listeners().values()) {
      DaemonRequestFilter gate = new DaemonRequestFilter(this, v, l);
      HttpServer front = fronts.get(l.name());
      if (front == null) {
        HttpServer fresh =
            new HttpServer(
                settings(l), gate, transport, sockets, budget, log.withField("listener", l.name()));
        fresh.setClientShedding(away);
        fronts.put(l.name(), fresh);
      } else {
        front.setFilter(gate);
      }
    }
  }

  private static boolean retryAllowed(ConfigurationSnapshot v, ConfigurationSnapshot.Pool p) {
    if (!p.retries().take()) {
      return false;
    }
    if (!v.retries.take()) {
      p.retries().refund();
      return false;
    }
    return true;
  }

  private static HttpServerSettings settings(DaemonConfig.Listener l) {
    return new HttpServerSettings(
        l.maxBody(),
        Long.MAX_VALUE,
        l.slowMs(),
        0,
        Math.min(2_000, l.idleMs()),
        l.idleMs(),
        l.maxOpen(),
        l.pipeline(),
        false,
        true);
  }

  private WorkerPool start(ConfigurationSnapshot.Pool p) {
    DaemonConfig.Pool c = p.config();
    Log named = log.withField("pool", c.name());
    UpstreamConnectionPool upstreams =
        new UpstreamConnectionPool(
            loop,
            transport,
            new HttpProtocol(c.maxAnswer(), Long.MAX_VALUE, false, true, c.passErrors()),
            p.bounds(),
            sockets,
            named);
    Dispatcher d =
        new Dispatcher(
            c.name(),
            loop,
            c.settings().withProxyIndex(c.settings().proxyIndex() + number),
            seeds++,
            upstreams,
            budget,
            named);
    d.setOutcomeCounter(counts);
    d.start(p.members(), () -> {});
    return new WorkerPool(d, upstreams, p);
  }

  /** The pool of that name, or null. */
  Dispatcher pool(String name) {
    WorkerPool p = pools.get(name);
    return p == null ? null : p.dispatcher;
  }

  /** A connection that the listener has accepted. */
  void accepted(String listener, SocketChannel ch) {
    HttpServer f = fronts.get(listener);
    for (int i = closing.size() - 1; f == null && i >= 0; i--) {
      f = closing.get(i).name().equals(listener) ? closing.get(i).front() : null;
    }
    if (f == null) {
      ch.close();
    } else {
      f.onAccepted(ch);
    }
  }

  boolean draining() {
    return draining;
  }

  /** Whether requests would be served. */
  boolean serves() {
    return !draining && !away;
  }

  /** Sends clients away, or no longer; who comes all the same is served. */
  void sendAway(boolean now) {
    away = now;
    if (!draining) {
      fronts.values().forEach(f -> f.setClientShedding(now));
    }
  }

  /** Hosts on which requests are in flight. */
  Set<String> busyHosts() {
    Set<String> out = new HashSet<>();
    pools.values().forEach(p -> out.addAll(p.dispatcher.busyHosts()));
    leaving.forEach(p -> out.addAll(p.dispatcher.busyHosts()));
    return out;
  }

  /**
   * What has become of attempts and requests here since this process began, by class; on the
   * worker's loop only.
   */
  private static final class Counts implements leadferry.engine.OutcomeCounter {
    final Map<String, Map<String, long[]>> hosts = new HashMap<>();
    final Map<String, long[]> own = new HashMap<>();

    private static void add(Map<String, long[]> to, String className, boolean bad) {
      long[] n = to.computeIfAbsent(className, k -> new long[2]);
      n[0]++;
      n[1] += bad ? 1 : 0;
    }

    @Override
    public void countAttempt(String server, String className, boolean bad) {
      add(hosts.computeIfAbsent(server, k -> new HashMap<>()), className, bad);
    }

    @Override
    public void countRequest(String className, boolean bad) {
      add(own, className, bad);
    }
  }

  /**
   * Adds what was counted here to a member's report; hosts that are in no list any more are
   * forgotten.
   */
  void report(com.fasterxml.jackson.databind.node.ObjectNode to) {
    Set<String> known = new HashSet<>();
    pools.values().forEach(p -> p.version.members().members().forEach(m -> known.add(m.name())));
    counts.hosts.keySet().retainAll(known);
    counts.hosts.forEach((host, by) -> add(by, to.withObject("/hosts").withObjectProperty(host)));
    add(counts.own, to.withObject("/own"));
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
    fronts.values().forEach(HttpServer::drain);
  }

  /** Whether anything that was taken has no answer yet. */
  boolean busy() {
    return fronts.values().stream().anyMatch(HttpServer::hasPendingRequests)
        || closing.stream().anyMatch(c -> c.front().hasPendingRequests());
  }

  private void sweep() {
    try {
      for (WorkerPool p : pools.values()) {
        p.dispatcher.sweep();
      }
      for (Iterator<WorkerPool> i = leaving.iterator(); i.hasNext(); ) {
        WorkerPool p = i.next();
        p.dispatcher.sweep();
        if (p.dispatcher.openRequests() == 0) {
          p.dispatcher.closeIdle();
          i.remove();
        }
      }
      for (HttpServer f : fronts.values()) {
        f.enforceTimeouts();
      }
      long now = System.nanoTime();
      for (Closing c : closing) {
        c.front().enforceTimeouts();
      }
      closing.removeIf(c -> c.front().hasNoClients() && now > c.until());
    } catch (RuntimeException e) {
      // Guards against a periodic task that ends for ever with its first exception.
      log.failure("upkeep failed", e);
    }
  }
}
