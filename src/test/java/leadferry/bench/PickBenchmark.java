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

/** What the module costs a request: its arrival, the pick, its outcome, with 16 open at a time. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class PickBenchmark {
  private static final int OPEN = 16;

  @Param({"30", "3000"})
  public int hosts;

  private LoadBalancer balancer;
  private double now = 1e6;
  private long id;

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

  static List<EndpointUpdate> entries(int n) {
    List<EndpointUpdate> out = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      out.add(new EndpointUpdate(i + 1, "z", "k", i / 8, EndpointUpdate.Condition.READY, 1, 0));
    }
    return out;
  }

  /** Does nothing: what is measured is the decision. */
  static class NoOpActions implements LoadBalancerActions {
    @Override
    public void send(long request, long host, double apart) {}

    @Override
    public void reject(long request, double retryAfterMillis) {}

    @Override
    public void fail(long request) {}

    @Override
    public void cancel(long request, int attempt) {}

    @Override
    public void schedule(double delay, long token) {}

    @Override
    public void watchEndpoints() {}

    @Override
    public void log(String line) {}
  }

  @Setup
  public void build() {
    balancer = new LoadBalancer(settings(), 1, new NoOpActions());
    balancer.onStart(now);
    balancer.onEndpointList(now, EndpointListEvent.FULL, entries(hosts));
    for (int i = 0; i < OPEN; i++) {
      balancer.onRequest(now, new RequestArrival(id++, "c", null, 800, Double.NaN, false));
    }
  }

  @Benchmark
  public void requestAndOutcome() {
    now += 0.5;
    balancer.onOutcome(now, id - OPEN, 0, AttemptOutcome.OK, 8, true, null);
    balancer.onRequest(now, new RequestArrival(id++, "c", null, 800, Double.NaN, false));
  }
}
