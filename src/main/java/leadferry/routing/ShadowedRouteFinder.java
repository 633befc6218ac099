package leadferry.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Finds routes that no request can select under the order of precedence of {@link RouteTable}. */
public final class ShadowedRouteFinder {
  /** A route and the route that always precedes it, each as its index in the list of routes. */
  public record ShadowedRoute(int routeIndex, int winnerIndex) {}

  private ShadowedRouteFinder() {}

  /**
   * Returns the unreachable routes of a listener, each with the route that is selected instead.
   *
   * <p>A route is found if another one with the same host and path covers its conditions, or if it
   * follows a regular expression that matches every path. Regular expressions are compared with
   * each other by their text only: whether one contains another can't be decided in linear time.
   */
  public static <T> List<ShadowedRoute> findShadowed(List<RouteRule<T>> rules) {
    Map<String, List<Integer>> routesByGroup = new HashMap<>();
    Map<String, List<Integer>> catchAllsByHost = new HashMap<>();
    for (int i = 0; i < rules.size(); i++) {
      RouteRule<T> rule = rules.get(i);
      for (String host : rule.hostPatterns()) {
        routesByGroup.computeIfAbsent(groupKey(host, rule), k -> new ArrayList<>(1)).add(i);
        if (rule.matchesAnyPath()) {
          catchAllsByHost.computeIfAbsent(host, k -> new ArrayList<>(1)).add(i);
        }
      }
    }
    List<ShadowedRoute> shadowedRoutes = new ArrayList<>();
    for (int i = 0; i < rules.size(); i++) {
      int winnerIndex = -1;
      for (String host : rules.get(i).hostPatterns()) {
        winnerIndex = findWinnerInGroup(rules, i, routesByGroup.get(groupKey(host, rules.get(i))));
        if (winnerIndex < 0) {
          winnerIndex =
              findPrecedingCatchAll(rules, i, catchAllsByHost.getOrDefault(host, List.of()));
        }
        if (winnerIndex < 0) {
          break; // the route is reachable for this host
        }
      }
      if (winnerIndex >= 0) {
        shadowedRoutes.add(new ShadowedRoute(i, winnerIndex));
      }
    }
    return shadowedRoutes;
  }

  private static String groupKey(String host, RouteRule<?> rule) {
    return host + '\0' + rule.kind() + '\0' + rule.path();
  }

  private static <T> int findWinnerInGroup(
      List<RouteRule<T>> rules, int index, List<Integer> group) {
    RouteRule<T> rule = rules.get(index);
    for (int otherIndex : group) {
      RouteRule<T> other = rules.get(otherIndex);
      boolean precedes =
          (rule.kind() == RouteRule.Kind.REGEX || other.conditionCount() == rule.conditionCount())
              ? otherIndex < index
              : other.conditionCount() > rule.conditionCount();
      if (otherIndex != index && precedes && other.covers(rule)) {
        return otherIndex;
      }
    }
    return -1;
  }

  private static <T> int findPrecedingCatchAll(
      List<RouteRule<T>> rules, int index, List<Integer> catchAll) {
    RouteRule<T> rule = rules.get(index);
    for (int otherIndex : catchAll) {
      boolean precedes =
          rule.kind() == RouteRule.Kind.PREFIX
              || (rule.kind() == RouteRule.Kind.REGEX && otherIndex < index);
      if (otherIndex != index && precedes && rules.get(otherIndex).covers(rule)) {
        return otherIndex;
      }
    }
    return -1;
  }
}
