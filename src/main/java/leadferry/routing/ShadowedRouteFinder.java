package leadferry.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Finds routes that can never win, by the order of precedence of {@link RouteTable}. */
public final class ShadowedRouteFinder {
  /** A route that another one always beats. */
  public record ShadowedRoute(int routeIndex, int winnerIndex) {}

  private ShadowedRouteFinder() {}

  /**
   * The routes of a listener that can't be reached, each with the one that wins in its place. Found
   * are routes of one host and path of which one covers the conditions of another, and whatever
   * stands behind a regular expression that takes every path. Regular expressions are not compared
   * with each other beyond their text: whether one contains another is not told in linear time.
   */
  public static <T> List<ShadowedRoute> findShadowed(List<RouteRule<T>> rules) {
    Map<String, List<Integer>> groups = new HashMap<>();
    Map<String, List<Integer>> catchAll = new HashMap<>();
    for (int i = 0; i < rules.size(); i++) {
      RouteRule<T> r = rules.get(i);
      for (String host : r.hostPatterns()) {
        groups.computeIfAbsent(group(host, r), k -> new ArrayList<>(1)).add(i);
        if (r.matchesAnyPath()) {
          catchAll.computeIfAbsent(host, k -> new ArrayList<>(1)).add(i);
        }
      }
    }
    List<ShadowedRoute> found = new ArrayList<>();
    for (int i = 0; i < rules.size(); i++) {
      int by = -1;
      for (String host : rules.get(i).hostPatterns()) {
        by = winner(rules, i, groups.get(group(host, rules.get(i))));
        if (by < 0) {
          by = behind(rules, i, catchAll.getOrDefault(host, List.of()));
        }
        if (by < 0) {
          break; // it can win for this host
        }
      }
      if (by >= 0) {
        found.add(new ShadowedRoute(i, by));
      }
    }
    return found;
  }

  private static String group(String host, RouteRule<?> r) {
    return host + '\0' + r.kind() + '\0' + r.path();
  }

  private static <T> int winner(List<RouteRule<T>> rules, int i, List<Integer> group) {
    RouteRule<T> r = rules.get(i);
    for (int j : group) {
      RouteRule<T> other = rules.get(j);
      boolean before =
          (r.kind() == RouteRule.Kind.REGEX || other.conditionCount() == r.conditionCount())
              ? j < i
              : other.conditionCount() > r.conditionCount();
      if (j != i && before && other.covers(r)) {
        return j;
      }
    }
    return -1;
  }

  private static <T> int behind(List<RouteRule<T>> rules, int i, List<Integer> catchAll) {
    RouteRule<T> r = rules.get(i);
    for (int j : catchAll) {
      boolean before =
          r.kind() == RouteRule.Kind.PREFIX || (r.kind() == RouteRule.Kind.REGEX && j < i);
      if (j != i && before && rules.get(j).covers(r)) {
        return j;
      }
    }
    return -1;
  }
}
