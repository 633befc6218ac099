package leadferry.testbed;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Generates load of safe and unsafe requests at each proxy of a fault test. */
final class FaultTestLoad implements AutoCloseable {
  private static final long DEADLINE_MILLIS = 3_000;
  private static final int CONNECTIONS = 16;

  private final FaultTestPlan plan;
  private final InvariantChecker checker;
  private final List<LoadGenerator> generators = new ArrayList<>();
  private final Set<String> unsafePrefixes = new TreeSet<>();

  FaultTestLoad(FaultTestPlan plan, FaultTestTopology topology, InvariantChecker checker) {
    this.plan = plan;
    this.checker = checker;
    topology.proxyAddresses().forEach(this::add);
  }

  private void add(String proxy, InetSocketAddress address) {
    String unsafePrefix = proxy + "u-";
    unsafePrefixes.add(unsafePrefix);
    generators.add(generator(proxy, address, "GET", "/list", proxy + "s-"));
    generators.add(generator(proxy, address, "POST", "/claim", unsafePrefix));
  }

  private LoadGenerator generator(
      String proxy, InetSocketAddress address, String method, String path, String idPrefix) {
    LoadGenerator.RequestKind kind =
        new LoadGenerator.RequestKind("all", 1, method, path, "", 0, DEADLINE_MILLIS);
    LoadGenerator.Plan load =
        new LoadGenerator.Plan(
            address,
            plan.requestsPerSecond() / 2,
            0,
            plan.seconds(),
            CONNECTIONS,
            1,
            List.of(kind),
            idPrefix);
    return new LoadGenerator(
        load,
        done -> {
          long now = System.nanoTime();
          checker.onRequestCompleted(proxy, done.outcome(), now - done.latencyNanos(), now);
        });
  }

  void start() {
    generators.forEach(LoadGenerator::start);
  }

  /** Waits until all requests have completed. */
  void await() throws InterruptedException {
    for (LoadGenerator generator : generators) {
      generator.await();
    }
  }

  /** Returns the prefixes of the ids of unsafe requests, which may run at most once. */
  Set<String> unsafePrefixes() {
    return unsafePrefixes;
  }

  long sent() {
    return generators.stream().mapToLong(LoadGenerator::sent).sum();
  }

  long served() {
    return generators.stream()
        .mapToLong(generator -> generator.count(LoadGenerator.Outcome.SERVED))
        .sum();
  }

  @Override
  public void close() {
    generators.forEach(LoadGenerator::close);
  }
}
