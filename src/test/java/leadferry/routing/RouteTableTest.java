package leadferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.re2j.Pattern;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a request that takes another route than the order of precedence requires. Compares
 * the compiled table with a direct evaluation of that order on random routes.
 */
class RouteTableTest {
  private record Request(
      String host, String path, String method, String className, Map<String, String> headers)
      implements RequestAttributes {
    @Override
    public String header(String name) {
      return headers.get(name);
    }
  }

  private static Request get(String host, String path) {
    return new Request(host, path, "GET", null, Map.of());
  }

  private static RouteRule<Integer> rule(
      String name, RouteRule.Kind kind, String path, String... hosts) {
    return new RouteRule<>(
        name,
        hosts.length == 0 ? List.of("*") : List.of(hosts),
        kind,
        path,
        Set.of(),
        Map.of(),
        Set.of(),
        0);
  }

  private static RouteRule<Integer> withConditions(
      RouteRule<Integer> rule,
      Set<String> methods,
      Map<String, String> headers,
      Set<String> classes) {
    return new RouteRule<>(
        rule.name(), rule.hostPatterns(), rule.kind(), rule.path(), methods, headers, classes, 0);
  }

  @ParameterizedTest
  @CsvSource({
    "/visits, exact", "/visits/, prefix", "/visits/7, regex", "/visits/x, prefix",
    "/visits/x/deep, deeper", "/visits/x/deeply, prefix", "/visitsx, root", "/, root",
  })
  void pathMatchesExactThenRegularExpressionThenLongestPrefix(String path, String expectedRoute) {
    RouteTable<Integer> table =
        new RouteTable<>(
            List.of(
                rule("root", RouteRule.Kind.PREFIX, "/"),
                rule("prefix", RouteRule.Kind.PREFIX, "/visits/"),
                rule("deeper", RouteRule.Kind.PREFIX, "/visits/x/deep"),
                rule("regex", RouteRule.Kind.REGEX, "/visits/[0-9]+"),
                rule("exact", RouteRule.Kind.EXACT, "/visits")));
    assertThat(table.find(get("a", path)).name()).isEqualTo(expectedRoute);
  }

  @ParameterizedTest
  @CsvSource({
    "a.test, exact", "x.a.test, suffix", "y.x.a.test, longer", "x.b.test, short", "a.org, lead",
    "a.b.org, longlead", "else, any", "'', any", "test, any", ".a.test, short"
  })
  void hostMatchesExactThenLongestSuffixThenLongestPrefix(String host, String expectedRoute) {
    RouteTable<Integer> table =
        new RouteTable<>(
            List.of(
                rule("any", RouteRule.Kind.PREFIX, "/"),
                rule("short", RouteRule.Kind.PREFIX, "/", "*.test"),
                rule("suffix", RouteRule.Kind.PREFIX, "/", "*.a.test"),
                rule("longer", RouteRule.Kind.PREFIX, "/", "*.x.a.test"),
                rule("lead", RouteRule.Kind.PREFIX, "/", "a.*"),
                rule("longlead", RouteRule.Kind.PREFIX, "/", "a.b.*"),
                rule("exact", RouteRule.Kind.PREFIX, "/", "a.test")));
    assertThat(table.find(get(host, "/")).name()).isEqualTo(expectedRoute);
  }

  @Test
  void searchDoesNotFallBackToALessSpecificHost() {
    RouteTable<Integer> table =
        new RouteTable<>(
            List.of(
                rule("any", RouteRule.Kind.PREFIX, "/"),
                rule("one", RouteRule.Kind.EXACT, "/x", "a.test")));
    assertThat(table.find(get("a.test", "/y"))).isNull();
  }

  @Test
  void routesOfOnePathTheOneWithMostMatchingConditionsWins() {
    RouteRule<Integer> base = rule("plain", RouteRule.Kind.PREFIX, "/a");
    RouteTable<Integer> table =
        new RouteTable<>(
            List.of(
                base,
                withConditions(
                    rule("post", RouteRule.Kind.PREFIX, "/a"), Set.of("POST"), Map.of(), Set.of()),
                withConditions(
                    rule("both", RouteRule.Kind.PREFIX, "/a"),
                    Set.of("POST"),
                    Map.of("x", "1"),
                    Set.of()),
                withConditions(
                    rule("class", RouteRule.Kind.PREFIX, "/a/b"),
                    Set.of(),
                    Map.of(),
                    Set.of("log"))));
    assertThat(table.find(get("h", "/a/b")).name())
        .isEqualTo("plain"); // continues with the shorter prefix
    assertThat(table.find(new Request("h", "/a/b", "GET", "log", Map.of())).name())
        .isEqualTo("class");
    assertThat(table.find(new Request("h", "/a", "POST", null, Map.of())).name()).isEqualTo("post");
    assertThat(table.find(new Request("h", "/a", "POST", null, Map.of("x", "1"))).name())
        .isEqualTo("both");
    assertThat(table.find(new Request("h", "/a", "POST", null, Map.of("x", "2"))).name())
        .isEqualTo("post");
  }

  /** Finds a rule by the definition of the order of precedence, without an index. */
  private static RouteRule<Integer> findByDefinition(
      List<RouteRule<Integer>> rules, Request request) {
    String host =
        rules.stream()
            .flatMap(x -> x.hostPatterns().stream())
            .filter(h -> hostMatches(h, request.host()))
            .max(
                Comparator.comparingInt(
                    h ->
                        h.equals("*")
                            ? 0
                            : h.endsWith(".*")
                                ? 1_000 + h.length()
                                : h.startsWith("*.") ? 2_000 + h.length() : 3_000))
            .orElse("*");
    Comparator<Integer> order =
        Comparator.<Integer>comparingInt(
                i ->
                    switch (rules.get(i).kind()) {
                      case EXACT -> 0;
                      case REGEX -> 1;
                      case PREFIX -> 2;
                    })
            .thenComparingInt(
                i ->
                    rules.get(i).kind() == RouteRule.Kind.PREFIX
                        ? -rules.get(i).path().length()
                        : 0)
            .thenComparingInt(
                i ->
                    rules.get(i).kind() == RouteRule.Kind.REGEX
                        ? 0
                        : -rules.get(i).conditionCount())
            .thenComparingInt(i -> i);
    return IntStream.range(0, rules.size())
        .boxed()
        .filter(
            i ->
                rules.get(i).hostPatterns().contains(host)
                    && pathMatches(rules.get(i), request.path())
                    && rules.get(i).matchesConditions(request))
        .min(order)
        .map(rules::get)
        .orElse(null);
  }

  private static boolean hostMatches(String hostPattern, String host) {
    return hostPattern.equals("*")
        || hostPattern.equals(host)
        || (hostPattern.startsWith("*.")
            && host.length() > hostPattern.length() - 1
            && host.endsWith(hostPattern.substring(1)))
        || (hostPattern.endsWith(".*")
            && host.length() > hostPattern.length() - 1
            && host.startsWith(hostPattern.substring(0, hostPattern.length() - 1)));
  }

  private static boolean pathMatches(RouteRule<Integer> rule, String path) {
    return switch (rule.kind()) {
      case EXACT -> path.equals(rule.path());
      case REGEX -> Pattern.matches(rule.path(), path);
      case PREFIX -> path.equals(rule.path()) || path.startsWith(rule.path() + "/");
    };
  }

  private static final String[] HOSTS = {"*", "a.b", "*.b", "*.a.b", "a.*", "c"};
  private static final String[] PATHS = {"/", "/a", "/a/b", "/a/b/c", "/b", "/ab"};
  private static final String[] REGEXES = {"/a.*", "/[ab]+", "/.*/c", "/a/b"};

  private static List<RouteRule<Integer>> randomRules(SplittableRandom random) {
    List<RouteRule<Integer>> rules = new ArrayList<>();
    int ruleCount = 1 + random.nextInt(12);
    for (int i = 0; i < ruleCount; i++) {
      RouteRule.Kind kind = RouteRule.Kind.values()[random.nextInt(3)];
      String path =
          kind == RouteRule.Kind.REGEX
              ? REGEXES[random.nextInt(REGEXES.length)]
              : PATHS[random.nextInt(PATHS.length)];
      rules.add(
          withConditions(
              rule("r" + i, kind, path, HOSTS[random.nextInt(HOSTS.length)]),
              random.nextInt(3) == 0 ? Set.of(random.nextBoolean() ? "GET" : "POST") : Set.of(),
              random.nextInt(4) == 0 ? Map.of("x", random.nextBoolean() ? "1" : "*") : Map.of(),
              random.nextInt(4) == 0 ? Set.of("log") : Set.of()));
    }
    return rules;
  }

  private static Request randomRequest(SplittableRandom random) {
    String[] hosts = {"", "c", "a.b", "x.b", "x.a.b", "a.x", "d"};
    String[] paths = {"/", "/a", "/a/", "/a/b", "/a/b/c", "/a/b/cd", "/b/x", "/ab", "/abba", "/c"};
    return new Request(
        hosts[random.nextInt(hosts.length)],
        paths[random.nextInt(paths.length)],
        random.nextBoolean() ? "GET" : "POST",
        random.nextBoolean() ? "log" : null,
        random.nextBoolean() ? Map.of("x", random.nextBoolean() ? "1" : "2") : Map.of());
  }

  @Test
  void randomRoutesAreFoundInTheOrderOfPrecedence() {
    SplittableRandom random = new SplittableRandom(42);
    int found = 0;
    for (int i = 0; i < 3_000; i++) {
      List<RouteRule<Integer>> rules = randomRules(random);
      RouteTable<Integer> table = new RouteTable<>(rules);
      for (int j = 0; j < 20; j++) {
        Request request = randomRequest(random);
        RouteRule<Integer> expected = findByDefinition(rules, request);
        assertThat(table.find(request)).as("%s of %s", request, rules).isSameAs(expected);
        found += expected == null ? 0 : 1;
      }
    }
    assertThat(found).isGreaterThan(10_000);
  }

  @Test
  void shadowedRouteIsNeverFound() {
    SplittableRandom random = new SplittableRandom(7);
    int shadowedCount = 0;
    for (int i = 0; i < 2_000; i++) {
      List<RouteRule<Integer>> rules = randomRules(random);
      RouteTable<Integer> table = new RouteTable<>(rules);
      for (ShadowedRouteFinder.ShadowedRoute shadowedRoute :
          ShadowedRouteFinder.findShadowed(rules)) {
        shadowedCount++;
        for (int j = 0; j < 50; j++) {
          assertThat(table.find(randomRequest(random)))
              .as("%s", rules)
              .isNotSameAs(rules.get(shadowedRoute.routeIndex()));
        }
      }
    }
    assertThat(shadowedCount).isGreaterThan(100);
  }

  @Test
  void duplicateRoutesAndRoutesAfterACatchAllAreReported() {
    List<RouteRule<Integer>> rules =
        List.of(
            rule("a", RouteRule.Kind.PREFIX, "/a"),
            rule("twin", RouteRule.Kind.PREFIX, "/a/"),
            rule("all", RouteRule.Kind.REGEX, "/.*", "x"),
            rule("behind", RouteRule.Kind.PREFIX, "/b", "x"),
            rule("also", RouteRule.Kind.PREFIX, "/b", "x", "y"),
            rule("exact", RouteRule.Kind.EXACT, "/b", "x"));
    assertThat(ShadowedRouteFinder.findShadowed(rules))
        .containsExactly(
            new ShadowedRouteFinder.ShadowedRoute(1, 0),
            new ShadowedRouteFinder.ShadowedRoute(3, 2));
  }
}
