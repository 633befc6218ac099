package leadferry.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import leadferry.routing.RequestAttributes;
import leadferry.routing.RouteRule;
import leadferry.routing.RouteTable;
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
 * Cost of a route lookup in small and large tables; the baseline is a lookup in a {@code HashMap}.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class RouteBenchmark {
  /** Number of different requests; enough that the table does not stay in the L1 cache. */
  private static final int REQUESTS = 4_096;

  @Param({"10", "1000", "100000"})
  public int routes;

  private RouteTable<Integer> table;
  private final Request[] exact = new Request[REQUESTS];
  private final Request[] prefix = new Request[REQUESTS];
  private final Map<String, Integer> map = new java.util.HashMap<>();
  private int cursor;

  private record Request(String host, String path) implements RequestAttributes {
    @Override
    public String method() {
      return "GET";
    }

    @Override
    public String className() {
      return null;
    }

    @Override
    public String header(String name) {
      return null;
    }
  }

  private static String path(int route) {
    return "/office" + route % 97 + "/team" + route % 1_009 + "/visits" + route;
  }

  /** Returns a prefix of one of three depths. */
  private static String prefixPath(int route) {
    return switch (route % 6) {
      case 1 -> "/office" + route + "/x";
      case 3 -> "/office" + route % 97 + "/team" + route;
      default -> path(route) + "/deep";
    };
  }

  /** Fills the route table and draws the requests. */
  @Setup
  public void build() {
    List<RouteRule<Integer>> rules = new ArrayList<>();
    for (int i = 0; i < routes; i++) {
      RouteRule.Kind kind = i % 2 == 0 ? RouteRule.Kind.EXACT : RouteRule.Kind.PREFIX;
      rules.add(
          new RouteRule<>(
              "r" + i,
              List.of("api.test"),
              kind,
              i % 2 == 0 ? path(i) : prefixPath(i),
              Set.of(),
              Map.of(),
              Set.of(),
              i));
      map.put(path(i), i);
    }
    table = new RouteTable<>(rules);
    SplittableRandom random = new SplittableRandom(1);
    for (int i = 0; i < REQUESTS; i++) {
      int route = 2 * random.nextInt(routes / 2);
      // Paths are copied, like paths read from the wire: a lookup never gets a string object of the
      // table, nor one with a cached hash.
      exact[i] = new Request("api.test", new String(path(route).toCharArray()));
      prefix[i] = new Request("api.test", prefixPath(route + 1) + "/7f3a/log");
    }
  }

  /** Looks up a route by its exact path. */
  @Benchmark
  public Object exact() {
    return table.find(exact[cursor++ & REQUESTS - 1]);
  }

  /** Looks up a route by the prefix of a path. */
  @Benchmark
  public Object prefix() {
    return table.find(prefix[cursor++ & REQUESTS - 1]);
  }

  /** Looks up a path in a {@code HashMap}, as baseline. */
  @Benchmark
  public Object baselineHashMap() {
    return map.get(exact[cursor++ & REQUESTS - 1].path());
  }
}
