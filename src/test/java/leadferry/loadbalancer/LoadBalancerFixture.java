package leadferry.loadbalancer;

import java.util.ArrayList;
import java.util.List;

/** Builds settings and hosts for tests, and records what a balancer asks for. */
final class LoadBalancerFixture implements LoadBalancerActions {
  record Send(long request, int number, long host, double at) {}

  double now = 1_000;
  final List<Send> sends = new ArrayList<>();
  final List<Long> refused = new ArrayList<>();
  final List<Long> failed = new ArrayList<>();
  final List<String> logs = new ArrayList<>();
  final List<Long> cancelled = new ArrayList<>();
  final java.util.TreeMap<Double, List<Long>> timers = new java.util.TreeMap<>();
  int follows;
  private final java.util.Map<Long, Integer> numbers = new java.util.HashMap<>();

  static Settings.RequestClass type(String name, Settings.Semantics s, Settings.Scope scope) {
    return new Settings.RequestClass(name, 400, 800, s, scope, 300, 1, 0);
  }

  static Settings settings(Settings.RequestClass... classes) {
    return settings(true, 4, false, classes);
  }

  static Settings settings(List<Settings.Tenant> tenants, Settings.RequestClass type) {
    return settings(tenants, true, 4, false, type);
  }

  static Settings settings(
      boolean parallel, int maxAttempts, boolean mustFollow, Settings.RequestClass... classes) {
    return settings(List.of(), parallel, maxAttempts, mustFollow, classes);
  }

  private static Settings settings(
      List<Settings.Tenant> tenants,
      boolean parallel,
      int maxAttempts,
      boolean mustFollow,
      Settings.RequestClass... classes) {
    return new Settings(
        List.of(classes),
        tenants,
        new Settings.Limits(true, true, parallel, maxAttempts, 1_000, 1),
        new Settings.Rules(8_000, 0.3, 1_500, 3, 10_000),
        mustFollow,
        "a",
        0,
        1,
        0.1,
        false);
  }

  static EndpointUpdate host(long id) {
    return host(id, EndpointUpdate.Condition.READY, 0);
  }

  static EndpointUpdate host(long id, EndpointUpdate.Condition condition, double since) {
    return new EndpointUpdate(
        id, id % 5 == 4 ? "b" : "a", "k" + id % 2, id / 4, condition, 1, since);
  }

  static List<EndpointUpdate> hosts(int n) {
    List<EndpointUpdate> all = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      all.add(host(i));
    }
    return all;
  }

  static RequestArrival request(long id, String type, double budget) {
    return new RequestArrival(id, type, null, budget, Double.NaN, false);
  }

  Send last() {
    return sends.get(sends.size() - 1);
  }

  @Override
  public void send(long request, long host, double apart) {
    sends.add(new Send(request, numbers.merge(request, 1, Integer::sum) - 1, host, now));
  }

  @Override
  public void reject(long request, double retryAfterMillis) {
    refused.add(request);
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
  public void schedule(double delay, long token) {
    timers.computeIfAbsent(now + delay, x -> new ArrayList<>()).add(token);
  }

  @Override
  public void watchEndpoints() {
    follows++;
  }

  @Override
  public void log(String line) {
    logs.add(line);
  }
}
