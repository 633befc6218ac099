package leadferry.loadbalancer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Creates settings and endpoints for tests, and records the actions of a load balancer. */
final class LoadBalancerFixture implements LoadBalancerActions {
  /** Name of the class in {@link #createIdempotent}. */
  static final String IDEMPOTENT = "safe";

  record Send(long request, int number, long endpoint, double atMillis) {}

  double nowMillis = 1_000;
  final List<Send> sends = new ArrayList<>();
  final List<Long> rejected = new ArrayList<>();
  final List<Long> failed = new ArrayList<>();
  final List<String> logs = new ArrayList<>();
  final List<Long> cancelled = new ArrayList<>();
  final TreeMap<Double, List<Long>> timers = new TreeMap<>();
  int watchCount;
  private final Map<Long, Integer> attemptCounts = new HashMap<>();

  static Settings.RequestClass requestClass(
      String name, Settings.Semantics semantics, Settings.KeyScope scope) {
    return new Settings.RequestClass(name, 400, 800, semantics, scope, 300, 1, 0);
  }

  static Settings settings(Settings.RequestClass... classes) {
    return settings(true, 4, false, classes);
  }

  static Settings settings(List<Settings.Tenant> tenants, Settings.RequestClass requestClass) {
    return settings(tenants, true, 4, false, requestClass);
  }

  static Settings settings(
      boolean canRunParallelAttempts,
      int maxAttempts,
      boolean shouldWatchDiscovery,
      Settings.RequestClass... classes) {
    return settings(List.of(), canRunParallelAttempts, maxAttempts, shouldWatchDiscovery, classes);
  }

  private static Settings settings(
      List<Settings.Tenant> tenants,
      boolean canRunParallelAttempts,
      int maxAttempts,
      boolean shouldWatchDiscovery,
      Settings.RequestClass... classes) {
    return new Settings(
        List.of(classes),
        tenants,
        new Settings.Limits(true, true, canRunParallelAttempts, maxAttempts, 1_000, 1),
        new Settings.WarmUpRules(8_000, 0.3, 1_500, 3, 10_000),
        shouldWatchDiscovery,
        "a",
        0,
        1,
        0.1,
        false);
  }

  static EndpointUpdate endpoint(long id) {
    return endpoint(id, EndpointUpdate.Condition.READY, 0);
  }

  static EndpointUpdate endpoint(
      long id, EndpointUpdate.Condition condition, double onlineSinceMillis) {
    return new EndpointUpdate(
        id, id % 5 == 4 ? "b" : "a", "k" + id % 2, id / 4, condition, 1, onlineSinceMillis);
  }

  static List<EndpointUpdate> endpoints(int count) {
    List<EndpointUpdate> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      all.add(endpoint(i));
    }
    return all;
  }

  /** Returns a request that arrives under the settings in force. */
  static RequestArrival request(
      LoadBalancer balancer, long id, String className, double budgetMillis) {
    return new RequestArrival(
        id, balancer.policyOf(className, budgetMillis), null, budgetMillis, Double.NaN, false);
  }

  /** Passes a request to the load balancer. */
  void arrive(LoadBalancer balancer, long id, String className, double budgetMillis) {
    balancer.onRequest(nowMillis, request(balancer, id, className, budgetMillis));
  }

  /** Returns a load balancer that knows these endpoints and acts on this fixture. */
  LoadBalancer create(Settings settings, List<EndpointUpdate> endpoints) {
    LoadBalancer balancer = new LoadBalancer(settings, 7, this);
    balancer.onStart(nowMillis);
    balancer.onEndpointList(nowMillis, EndpointListEvent.CACHED, endpoints);
    return balancer;
  }

  /**
   * Returns a load balancer with this number of endpoints and the single class {@link #IDEMPOTENT}.
   */
  LoadBalancer createIdempotent(int endpoints) {
    return create(
        settings(requestClass(IDEMPOTENT, Settings.Semantics.IDEMPOTENT, Settings.KeyScope.ALL)),
        endpoints(endpoints));
  }

  /** Sends a request and ends it successfully after {@code spentMillis}. */
  void serve(LoadBalancer balancer, long id, double spentMillis) {
    arrive(balancer, id, IDEMPOTENT, 800);
    Send send = last();
    nowMillis += spentMillis;
    balancer.onOutcome(nowMillis, id, send.number(), AttemptOutcome.OK, spentMillis, true, null);
  }

  /** Sends a request and returns the endpoint of the last attempt. */
  long request(LoadBalancer balancer, int id) {
    arrive(balancer, id, IDEMPOTENT, 800);
    return last().endpoint();
  }

  /** Serves a request in 100 ms with a load report of {@code heldRequests}. */
  void serveWithReport(LoadBalancer balancer, int id, double atMillis, double heldRequests) {
    request(balancer, id);
    balancer.onOutcome(atMillis, id, 0, AttemptOutcome.OK, 100, true, loadReport(heldRequests));
  }

  static LoadReport loadReport(double heldRequests) {
    return new LoadReport(heldRequests, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
  }

  Send last() {
    return sends.get(sends.size() - 1);
  }

  @Override
  public void send(long request, long endpoint, double windowMillis) {
    sends.add(
        new Send(request, attemptCounts.merge(request, 1, Integer::sum) - 1, endpoint, nowMillis));
  }

  @Override
  public void reject(long request, double retryAfterMillis) {
    rejected.add(request);
  }

  @Override
  public void fail(long request) {
    failed.add(request);
  }

  @Override
  public void cancel(long request, int attempt) {
    cancelled.add(request);
  }

  @Override
  public void schedule(double delayMillis, long token) {
    timers.computeIfAbsent(nowMillis + delayMillis, time -> new ArrayList<>()).add(token);
  }

  @Override
  public void watchEndpoints() {
    watchCount++;
  }

  @Override
  public void log(String line) {
    logs.add(line);
  }
}
