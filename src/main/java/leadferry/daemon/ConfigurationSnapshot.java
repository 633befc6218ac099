package leadferry.daemon;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import leadferry.engine.ConnectionLimits;
import leadferry.engine.PoolBounds;
import leadferry.engine.UpstreamHosts;
import leadferry.http.FilterResult;
import leadferry.limits.Limiter;
import leadferry.limits.RetryBudget;
import leadferry.loadbalancer.EndpointUpdate;
import leadferry.loadbalancer.Settings;
import leadferry.routing.RouteRule;
import leadferry.routing.RouteTable;
import leadferry.routing.WeightedSplit;

/**
 * One operator's file in force: immutable but for what limits and budgets count, and shared by all
 * workers. A request is judged by one version and ends under it.
 */
final class ConfigurationSnapshot {
  /** A route as requests take it. */
  record RouteTarget(
      DaemonConfig.Route route,
      WeightedSplit<String> split,
      Map<String, FilterResult.Origin> origins) {}

  /** A pool with its hosts as they are told to the modules. */
  record PoolSnapshot(
      DaemonConfig.Pool config,
      UpstreamHosts.ListUpdate endpoints,
      RetryBudget retryBudget,
      ConnectionLimits connections) {
    PoolBounds bounds() {
      return new PoolBounds(
          config.connectionIdleMillis(),
          config.connectTimeoutMillis(),
          config.restMillis(),
          config.maxPending(),
          config.maxRequestsPerConnection(),
          connections);
    }
  }

  final long version;
  final DaemonConfig config;
  final Limiter limiter;
  final RetryBudget retryBudget;
  final Map<String, PoolSnapshot> pools = new HashMap<>();
  final Map<String, RouteTable<RouteTarget>> routes = new HashMap<>();

  /** By listener, in lower case: the headers that the file has requests judged by, or sets. */
  final Map<String, Set<String>> inspectedHeaders = new HashMap<>();

  final Map<String, Settings.RequestClass> classes = new HashMap<>();

  /** Hosts that are out of service by what the fleet has agreed. */
  final Set<String> drainedEndpoints;

  /** {@code before} is the version that this one follows, or null; {@code unixMs} the time. */
  ConfigurationSnapshot(
      DaemonConfig config, Set<String> hostsOut, ConfigurationSnapshot before, double unixMs) {
    this.drainedEndpoints = Set.copyOf(hostsOut);
    this.version = before == null ? 1 : before.version + 1;
    this.config = config;
    this.limiter =
        new Limiter(
            config.limits(), config.process().limitKeys(), before == null ? null : before.limiter);
    DaemonConfig.Process p = config.process();
    boolean sameBudget =
        before != null
            && before.config.process().retryRatio() == p.retryRatio()
            && before.config.process().retryBurst() == p.retryBurst();
    this.retryBudget =
        sameBudget ? before.retryBudget : new RetryBudget(p.retryRatio(), p.retryBurst());
    for (Settings.RequestClass c : config.classes()) {
      classes.put(c.name(), c);
    }
    for (DaemonConfig.Pool pool : config.pools().values()) {
      pools.put(
          pool.name(),
          poolSnapshot(
              pool,
              before == null ? null : before.pools.get(pool.name()),
              before == null ? Set.of() : before.drainedEndpoints,
              unixMs));
    }
    List<RouteTarget> targets = new ArrayList<>();
    for (DaemonConfig.Route r : config.routes()) {
      targets.add(
          new RouteTarget(
              r,
              new WeightedSplit<>(
                  r.split().stream()
                      .map(s -> new WeightedSplit.Part<>(s.pool(), s.weight(), s.pool()))
                      .toList()),
              classes.keySet().stream()
                  .collect(
                      Collectors.toMap(c -> c, c -> new FilterResult.Origin(r.name(), c, null)))));
    }
    Set<String> byRoutes = headersUsedByRoutes(config);
    for (DaemonConfig.Listener l : config.listeners().values()) {
      Set<String> names = new HashSet<>(byRoutes);
      names.add(l.classHeader().toLowerCase(Locale.ROOT));
      names.add(l.tenantHeader().toLowerCase(Locale.ROOT));
      inspectedHeaders.put(l.name(), Set.copyOf(names));
    }
    for (String listener : config.listeners().keySet()) {
      List<RouteRule<RouteTarget>> rules = new ArrayList<>();
      for (RouteTarget t : targets) {
        DaemonConfig.Route r = t.route();
        if (r.listeners().isEmpty() || r.listeners().contains(listener)) {
          RouteRule<Integer> m = r.match();
          rules.add(
              new RouteRule<>(
                  m.name(),
                  m.hostPatterns(),
                  m.kind(),
                  m.path(),
                  m.methods(),
                  m.headers(),
                  m.classes(),
                  t));
        }
      }
      routes.put(listener, new RouteTable<>(rules));
    }
  }

  private static Set<String> headersUsedByRoutes(DaemonConfig config) {
    Set<String> names = new HashSet<>();
    for (DaemonConfig.Route r : config.routes()) {
      names.add(r.splitHeader().toLowerCase(Locale.ROOT));
      names.addAll(r.match().headers().keySet());
      r.setHeaders().keySet().forEach(n -> names.add(n.toLowerCase(Locale.ROOT)));
      r.removeHeaders().forEach(n -> names.add(n.toLowerCase(Locale.ROOT)));
    }
    return names;
  }

  /**
   * The pool's hosts with the times at which they started. Guards rule 4: a server that a new file
   * names for the first time may be cold, so it is taken to have started now; one that stays keeps
   * its time, and those of the first file have run for long. One that comes back into service may
   * have been started anew meanwhile. What the fleet has agreed only takes hosts out, never in.
   */
  private PoolSnapshot poolSnapshot(
      DaemonConfig.Pool pool, PoolSnapshot before, Set<String> outBefore, double unixMs) {
    Map<String, UpstreamHosts.Member> known = new HashMap<>();
    if (before != null) {
      before.endpoints.members().forEach(m -> known.put(m.name(), m));
    }
    List<UpstreamHosts.Member> members = new ArrayList<>();
    for (UpstreamHosts.Member m : pool.members()) {
      UpstreamHosts.Member old = known.get(m.name());
      boolean out = drainedEndpoints.contains(m.name());
      boolean back = before != null && !out && outBefore.contains(m.name());
      double started =
          old != null && old.address().equals(m.address()) && !back
              ? old.startedUnixMs()
              : version == 1 ? 0 : unixMs;
      members.add(
          new UpstreamHosts.Member(
              m.name(),
              m.address(),
              m.zone(),
              m.kind(),
              m.cell(),
              out ? EndpointUpdate.Condition.TERMINATING : m.condition(),
              m.weight(),
              started));
    }
    boolean sameBudget =
        before != null
            && before.config.retryRatio() == pool.retryRatio()
            && before.config.retryBurst() == pool.retryBurst();
    // Counts what the workers hold, whatever becomes of the modules: the bound is the hosts'.
    ConnectionLimits connections =
        before == null ? new ConnectionLimits(pool.maxConnections()) : before.connections;
    connections.setLimit(pool.maxConnections());
    connections.retainListed(
        members.stream().map(UpstreamHosts.Member::address).collect(Collectors.toSet()));
    return new PoolSnapshot(
        pool,
        new UpstreamHosts.ListUpdate(version, true, members),
        sameBudget ? before.retryBudget : new RetryBudget(pool.retryRatio(), pool.retryBurst()),
        connections);
  }
}
