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
 * Two ways to use cores: four workers that each decide for themselves, and four that hand each
 * decision to one thread and wait for its word. Only the decisions, no sockets. A worker of the
 * second kind hands over eight at a time, as an event loop that reads several requests would.
 */
@BenchmarkMode(Mode.Throughput)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class HandOffBenchmark {
  private static final int HOSTS = 30;
  private static final int BATCH = 8;

  private static LoadBalancer balancer() {
    LoadBalancer b = new LoadBalancer(PickBenchmark.settings(), 1, new PickBenchmark.NoOpActions());
    b.onStart(1e6);
    b.onEndpointList(1e6, EndpointListEvent.FULL, PickBenchmark.entries(HOSTS));
    return b;
  }

  private static void decide(LoadBalancer b, long id, double now) {
    b.onRequest(now, new RequestArrival(id, "c", null, 800, Double.NaN, false));
    b.onOutcome(now, id, 0, AttemptOutcome.OK, 8, true, null);
  }

  /** A module a thread. */
  @State(Scope.Thread)
  public static class Own {
    final LoadBalancer balancer = balancer();
    long id;
    double now = 1e6;
  }

  /** One module on a thread of its own. */
  @State(Scope.Benchmark)
  public static class Shared {
    final ConcurrentLinkedQueue<AtomicInteger> asked = new ConcurrentLinkedQueue<>();
    private volatile boolean over;
    private Thread decider;

    @Setup(Level.Trial)
    public void start() {
      decider =
          new Thread(
              () -> {
                LoadBalancer b = balancer();
                long id = 0;
                double now = 1e6;
                while (!over) {
                  AtomicInteger a = asked.poll();
                  if (a == null) {
                    Thread.onSpinWait();
                    continue;
                  }
                  now += 0.001;
                  decide(b, id++, now);
                  a.decrementAndGet();
                }
              });
      decider.start();
    }

    @TearDown(Level.Trial)
    public void stop() throws InterruptedException {
      over = true;
      decider.join();
    }
  }

  @Benchmark
  @Threads(4)
  public void loadBalancerPerWorker(Own o) {
    o.now += 0.001;
    decide(o.balancer, o.id++, o.now);
  }

  @Benchmark
  @Threads(4)
  @org.openjdk.jmh.annotations.OperationsPerInvocation(BATCH)
  public void oneDecisionThread(Shared s) {
    AtomicInteger left = new AtomicInteger(BATCH);
    for (int i = 0; i < BATCH; i++) {
      s.asked.add(left);
    }
    while (left.get() > 0) {
      Thread.onSpinWait();
    }
  }
}
