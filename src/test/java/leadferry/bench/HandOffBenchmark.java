package leadferry.bench;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import leadferry.loadbalancer.AttemptOutcome;
import leadferry.loadbalancer.EndpointListEvent;
import leadferry.loadbalancer.LoadBalancer;
import leadferry.loadbalancer.RequestArrival;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Threads;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Compares two ways to use several cores: four workers with a load balancer each, and four workers
 * that hand each decision to one thread and wait for its result. Only decisions are measured, no
 * sockets. A worker of the second kind hands over eight decisions at a time, like an event loop
 * that has read several requests.
 */
@BenchmarkMode(Mode.Throughput)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class HandOffBenchmark {
  private static final int ENDPOINTS = 30;
  private static final int BATCH = 8;

  private static LoadBalancer newLoadBalancer() {
    LoadBalancer loadBalancer =
        new LoadBalancer(PickBenchmark.settings(), 1, new PickBenchmark.NoOpActions());
    loadBalancer.onStart(1e6);
    loadBalancer.onEndpointList(1e6, EndpointListEvent.FULL, PickBenchmark.endpoints(ENDPOINTS));
    return loadBalancer;
  }

  private static void decide(LoadBalancer loadBalancer, long id, double nowMillis) {
    loadBalancer.onRequest(
        nowMillis,
        new RequestArrival(id, loadBalancer.policyOf("c", 800), null, 800, Double.NaN, false));
    loadBalancer.onOutcome(nowMillis, id, 0, AttemptOutcome.OK, 8, true, null);
  }

  /** One load balancer per thread. */
  @State(Scope.Thread)
  public static class PerWorker {
    final LoadBalancer loadBalancer = newLoadBalancer();
    long id;
    double nowMillis = 1e6;
  }

  /** One load balancer on a dedicated thread. */
  @State(Scope.Benchmark)
  public static class Shared {
    final ConcurrentLinkedQueue<AtomicInteger> pending = new ConcurrentLinkedQueue<>();
    private volatile boolean stopped;
    private Thread decider;

    /** Starts the thread that decides. */
    @Setup(Level.Trial)
    public void start() {
      decider =
          new Thread(
              () -> {
                LoadBalancer loadBalancer = newLoadBalancer();
                long id = 0;
                double nowMillis = 1e6;
                while (!stopped) {
                  AtomicInteger remaining = pending.poll();
                  if (remaining == null) {
                    Thread.onSpinWait();
                    continue;
                  }
                  nowMillis += 0.001;
                  decide(loadBalancer, id++, nowMillis);
                  remaining.decrementAndGet();
                }
              });
      decider.start();
    }

    /** Stops the thread that decides. */
    @TearDown(Level.Trial)
    public void stop() throws InterruptedException {
      stopped = true;
      decider.join();
    }
  }

  /** Each of four workers decides with its own load balancer. */
  @Benchmark
  @Threads(4)
  public void loadBalancerPerWorker(PerWorker state) {
    state.nowMillis += 0.001;
    decide(state.loadBalancer, state.id++, state.nowMillis);
  }

  /** Each of four workers hands a batch of decisions to one thread and waits for all of them. */
  @Benchmark
  @Threads(4)
  @org.openjdk.jmh.annotations.OperationsPerInvocation(BATCH)
  public void oneDecisionThread(Shared state) {
    AtomicInteger remaining = new AtomicInteger(BATCH);
    for (int i = 0; i < BATCH; i++) {
      state.pending.add(remaining);
    }
    while (remaining.get() > 0) {
      Thread.onSpinWait();
    }
  }
}
