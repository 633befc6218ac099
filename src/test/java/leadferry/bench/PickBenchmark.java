package leadferry.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import leadferry.loadbalancer.AttemptOutcome;
import leadferry.loadbalancer.EndpointListEvent;
import leadferry.loadbalancer.EndpointUpdate;
import leadferry.loadbalancer.LoadBalancer;
import leadferry.loadbalancer.LoadBalancerActions;
import leadferry.loadbalancer.RequestArrival;
import leadferry.loadbalancer.Settings;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Cost of the load balancer per request: its arrival, the choice of an endpoint and its outcome,
 * with 16 requests open at a time.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class PickBenchmark {
  private static final int OPEN_REQUESTS = 16;

  @Param({"30", "3000"})
  public int hosts;

  private LoadBalancer loadBalancer;
  private double nowMillis = 1e6;
  private long nextId;

  static Settings settings() {
    return new Settings(
        List.of(
            new Settings.RequestClass(
                "c", 400, 800, Settings.Semantics.AT_MOST_ONCE, Settings.KeyScope.CELL, 0, 1, 0)),
        List.of(),
        new Settings.Limits(true, true, false, 3, 0, 1),
        new Settings.WarmUpRules(0, 1, 1_000, 3, 0),
        false,
        null,
        0,
        1,
        1,
        false);
  }

  static List<EndpointUpdate> endpoints(int count) {
    List<EndpointUpdate> endpoints = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      endpoints.add(
          new EndpointUpdate(i + 1, "z", "k", i / 8, EndpointUpdate.Condition.READY, 1, 0));
    }
    return endpoints;
  }

  /** Actions that do nothing, so that only the decision is measured. */
  static class NoOpActions implements LoadBalancerActions {
    @Override
    public void send(long request, long endpoint, double windowMillis) {}

    @Override
    public void reject(long request, double retryAfterMillis) {}

    @Override
    public void fail(long request) {}

    @Override
    public void cancel(long request, int attempt) {}

    @Override
    public void schedule(double delayMillis, long token) {}

    @Override
    public void watchEndpoints() {}

    @Override
    public void log(String line) {}
  }

  /** Creates a load balancer with {@link #OPEN_REQUESTS} open requests. */
  @Setup
  public void build() {
    loadBalancer = new LoadBalancer(settings(), 1, new NoOpActions());
    loadBalancer.onStart(nowMillis);
    loadBalancer.onEndpointList(nowMillis, EndpointListEvent.FULL, endpoints(hosts));
    for (int i = 0; i < OPEN_REQUESTS; i++) {
      loadBalancer.onRequest(
          nowMillis,
          new RequestArrival(
              nextId++, loadBalancer.policyOf("c", 800), null, 800, Double.NaN, false));
    }
  }

  /** Ends the oldest open request and starts another one. */
  @Benchmark
  public void requestAndOutcome() {
    nowMillis += 0.5;
    loadBalancer.onOutcome(nowMillis, nextId - OPEN_REQUESTS, 0, AttemptOutcome.OK, 8, true, null);
    loadBalancer.onRequest(
        nowMillis,
        new RequestArrival(
            nextId++, loadBalancer.policyOf("c", 800), null, 800, Double.NaN, false));
  }
}
