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
 * Immutable snapshot of one version of the operator's file, shared by all workers.
 *
 * <p>Only the counters of its limits, budgets and connections change. A request is evaluated under
 * one snapshot and keeps it until it ends, whatever is reloaded meanwhile.
 */
final class ConfigurationSnapshot {
  /**
   * Route with what a request needs to take it: its weighted split, and the origins to log, by
   * class.
   */
  record RouteTarget(
      DaemonConfig.Route route,
      WeightedSplit<String> split,
      Map<String, FilterResult.Origin> origins) {}

  /**
   * Pool with its endpoint list in the form that the load balancers take, and its shared limits.
   */
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

  /**
   * Names of the headers that decide about a request or that routes set or remove, in lower case,
   * by listener.
   */
  final Map<String, Set<String>> inspectedHeaders = new HashMap<>();

  final Map<String, Settings.RequestClass> classes = new HashMap<>();

  /** Names of the endpoints that the fleet's state holds out of service. */
  final Set<String> drainedEndpoints;

  /**
   * Builds the snapshot of a configuration.
   *
   * @param drainedEndpoints endpoints that the fleet's state holds out of service
   * @param previous snapshot that this one replaces, or null for the first one
   * @param nowUnixMillis present time
   */
  ConfigurationSnapshot(
      DaemonConfig config,
      Set<String> drainedEndpoints,
      ConfigurationSnapshot previous,
      double nowUnixMillis) {
    this.drainedEndpoints = Set.copyOf(drainedEndpoints);
    this.version = previous == null ? 1 : previous.version + 1;
    this.config = config;
    this.limiter =
        new Limiter(
            config.limits(),
            config.process().limitKeys(),
            previous == null ? null : previous.limiter);
    DaemonConfig.Process process = config.process();
    boolean sameBudget =
        previous != null
            && previous.config.process().retryRatio() == process.retryRatio()
            && previous.config.process().retryBurst() == process.retryBurst();
    this.retryBudget =
        sameBudget
            ? previous.retryBudget
            : new RetryBudget(process.retryRatio(), process.retryBurst());
    for (Settings.RequestClass requestClass : config.classes()) {
      classes.put(requestClass.name(), requestClass);
    }
    for (DaemonConfig.Pool pool : config.pools().values()) {
      pools.put(
          pool.name(),
          poolSnapshot(
              pool,
              previous == null ? null : previous.pools.get(pool.name()),
              previous == null ? Set.of() : previous.drainedEndpoints,
              nowUnixMillis));
    }
    List<RouteTarget> targets = new ArrayList<>();
    for (DaemonConfig.Route route : config.routes()) {
      targets.add(
          new RouteTarget(
              route,
              new WeightedSplit<>(
                  route.split().stream()
                      .map(s -> new WeightedSplit.Part<>(s.pool(), s.weight(), s.pool()))
                      .toList()),
              classes.keySet().stream()
                  .collect(
                      Collectors.toMap(
                          requestClass -> requestClass,
                          requestClass ->
                              new FilterResult.Origin(route.name(), requestClass, null)))));
    }
    Set<String> byRoutes = headersUsedByRoutes(config);
    for (DaemonConfig.Listener listener : config.listeners().values()) {
      Set<String> names = new HashSet<>(byRoutes);
      names.add(listener.classHeader().toLowerCase(Locale.ROOT));
      names.add(listener.tenantHeader().toLowerCase(Locale.ROOT));
      inspectedHeaders.put(listener.name(), Set.copyOf(names));
    }
    for (String listener : config.listeners().keySet()) {
      List<RouteRule<RouteTarget>> rules = new ArrayList<>();
      for (RouteTarget target : targets) {
        DaemonConfig.Route route = target.route();
        if (route.listeners().isEmpty() || route.listeners().contains(listener)) {
          RouteRule<Integer> match = route.match();
          rules.add(
              new RouteRule<>(
                  match.name(),
                  match.hostPatterns(),
                  match.kind(),
                  match.path(),
                  match.methods(),
                  match.headers(),
                  match.classes(),
                  target));
        }
      }
      routes.put(listener, new RouteTable<>(rules));
    }
  }

  /**
   * Returns the endpoints for requests that a replaced pool still serves: those of the pool with
   * its name. If there is none any more, they are the earlier ones, of which those that the fleet's
   * state holds out of service get no new requests.
   */
  UpstreamHosts.ListUpdate endpointsOfReplacedPool(
      String pool, UpstreamHosts.ListUpdate earlierEndpoints) {
    PoolSnapshot replacement = pools.get(pool);
    if (replacement != null) {
      return replacement.endpoints();
    }
    List<UpstreamHosts.Member> members =
        earlierEndpoints.members().stream().map(this::withoutRequestsIfDrained).toList();
    return new UpstreamHosts.ListUpdate(version, true, members);
  }

  /**
   * Returns the endpoint as it is, or without new requests if the fleet holds it out of service.
   */
  private UpstreamHosts.Member withoutRequestsIfDrained(UpstreamHosts.Member member) {
    return drainedEndpoints.contains(member.name())
        ? member.withCondition(EndpointUpdate.Condition.TERMINATING)
        : member;
  }

  private static Set<String> headersUsedByRoutes(DaemonConfig config) {
    Set<String> names = new HashSet<>();
    for (DaemonConfig.Route route : config.routes()) {
      names.add(route.splitHeader().toLowerCase(Locale.ROOT));
      names.addAll(route.match().headers().keySet());
      route.setHeaders().keySet().forEach(n -> names.add(n.toLowerCase(Locale.ROOT)));
      route.removeHeaders().forEach(n -> names.add(n.toLowerCase(Locale.ROOT)));
    }
    return names;
  }

  /**
   * Returns the pool's endpoints, each with the time at which its server started.
   *
   * <p>Guards against full load on a cold server, rule 4: a server that a reload adds may be cold,
   * so its start time is the time of the reload. A server that stays keeps its start time. The
   * servers of the first configuration have run for long, so their start time is 0. A server that
   * returns to service may have been restarted meanwhile, so it counts as started now. The fleet's
   * state only takes endpoints out of service and never adds one.
   */
  private PoolSnapshot poolSnapshot(
      DaemonConfig.Pool pool,
      PoolSnapshot previous,
      Set<String> previouslyDrained,
      double nowUnixMillis) {
    Map<String, UpstreamHosts.Member> previousByName = new HashMap<>();
    if (previous != null) {
      previous.endpoints.members().forEach(member -> previousByName.put(member.name(), member));
    }
    List<UpstreamHosts.Member> members = new ArrayList<>();
    for (UpstreamHosts.Member member : pool.members()) {
      UpstreamHosts.Member previousMember = previousByName.get(member.name());
      boolean drained = drainedEndpoints.contains(member.name());
      boolean returned = previous != null && !drained && previouslyDrained.contains(member.name());
      double startedUnixMillis =
          previousMember != null && previousMember.address().equals(member.address()) && !returned
              ? previousMember.startedUnixMs()
              : version == 1 ? 0 : nowUnixMillis;
      members.add(withoutRequestsIfDrained(member).withStart(startedUnixMillis));
    }
    boolean sameBudget =
        previous != null
            && previous.config.retryRatio() == pool.retryRatio()
            && previous.config.retryBurst() == pool.retryBurst();
    // Kept across reloads: it limits connections per host, over all workers and all load balancers.
    ConnectionLimits connections =
        previous == null ? new ConnectionLimits(pool.maxConnections()) : previous.connections;
    connections.setLimit(pool.maxConnections());
    connections.retainListed(
        members.stream().map(UpstreamHosts.Member::address).collect(Collectors.toSet()));
    return new PoolSnapshot(
        pool,
        new UpstreamHosts.ListUpdate(version, true, members),
        sameBudget ? previous.retryBudget : new RetryBudget(pool.retryRatio(), pool.retryBurst()),
        connections);
  }
}
