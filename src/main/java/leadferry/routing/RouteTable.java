package leadferry.routing;

import com.google.re2j.Pattern;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The compiled routes of one listener. {@link ShadowedRouteFinder} and the operator's documentation
 * follow the same order of precedence:
 *
 * <ol>
 *   <li>The host: the exact name, else the longest {@code *.suffix}, else the longest {@code
 *       prefix.*}, else {@code *}. Only the routes of the most specific host are considered; the
 *       search does not fall back to a less specific host.
 *   <li>The path: the exact path, else regular expressions in the order of the file, else the
 *       longest prefix.
 *   <li>The conditions (methods, headers, classes): among the routes with the same host and path
 *       whose conditions are all met, the one with the largest number of conditions; of several,
 *       the first in the file. If the request meets the conditions of no route, the search
 *       continues with the next path of point 2.
 * </ol>
 *
 * <p>Exact and prefix routes cost one hash step per char and one probe per depth that has prefixes,
 * whatever their number, and allocate nothing. Each regular expression costs one match. Safe for
 * use by many threads.
 */
public final class RouteTable<T> {
  /** The routes of one host pattern. */
  private static final class HostRoutes<T> {
    final SubstringMap<List<RouteRule<T>>> exactRules = new SubstringMap<>();
    final SubstringMap<List<RouteRule<T>>> prefixRules = new SubstringMap<>();
    final List<RouteRule<T>> regexRules = new ArrayList<>();
    final List<Pattern> regexPatterns = new ArrayList<>();

    /** Bit n is set if some prefix has n segments; the last bit stands for 63 segments or more. */
    long prefixDepths;

    RouteRule<T> find(RequestAttributes request) {
      String path = request.path();
      if (!exactRules.isEmpty()) {
        RouteRule<T> exactRule = firstMatching(exactRules.get(path), request);
        if (exactRule != null) {
          return exactRule;
        }
      }
      for (int i = 0; i < regexPatterns.size(); i++) {
        if (regexRules.get(i).matchesConditions(request) && regexPatterns.get(i).matches(path)) {
          return regexRules.get(i);
        }
      }
      return prefixRules.isEmpty() ? null : findLongestPrefix(path, request);
    }

    private RouteRule<T> findLongestPrefix(String path, RequestAttributes request) {
      RouteRule<T> best = null;
      int hash = 0;
      int length = path.length();
      int depth = 0;
      for (int i = 0; i <= length; i++) {
        char character = i < length ? path.charAt(i) : '/';
        if (character == '/') {
          // With many routes each probe is a cache miss, so only depths that have prefixes are
          // probed.
          if ((prefixDepths >>> Math.min(depth, 63) & 1) != 0) {
            RouteRule<T> rule = firstMatching(prefixRules.get(path, 0, i, hash), request);
            best = rule == null ? best : rule;
          }
          depth++;
        }
        hash = SubstringMap.extendHash(hash, character);
      }
      return best;
    }

    private static <T> RouteRule<T> firstMatching(
        List<RouteRule<T>> rules, RequestAttributes request) {
      if (rules != null) {
        for (int i = 0; i < rules.size(); i++) {
          if (rules.get(i).matchesConditions(request)) {
            return rules.get(i);
          }
        }
      }
      return null;
    }
  }

  private final SubstringMap<HostRoutes<T>> exactHosts = new SubstringMap<>();
  private final SubstringMap<HostRoutes<T>> hostSuffixes = new SubstringMap<>();
  private final SubstringMap<HostRoutes<T>> hostPrefixes = new SubstringMap<>();
  private final HostRoutes<T> anyHostRoutes = new HostRoutes<>();

  /**
   * Compiles rules in the order of the file. {@link ShadowedRouteFinder} must have accepted them.
   */
  public RouteTable(List<RouteRule<T>> rules) {
    Map<String, HostRoutes<T>> byHost = new LinkedHashMap<>();
    byHost.put("*", anyHostRoutes);
    for (RouteRule<T> rule : rules) {
      for (String host : rule.hostPatterns()) {
        add(byHost.computeIfAbsent(host, h -> new HostRoutes<>()), rule);
      }
    }
    byHost.forEach(
        (host, routes) -> {
          if (host.startsWith("*.")) {
            hostSuffixes.put(host.substring(1), routes);
          } else if (host.endsWith(".*")) {
            hostPrefixes.put(host.substring(0, host.length() - 1), routes);
          } else if (!host.equals("*")) {
            exactHosts.put(host, routes);
          }
        });
  }

  private static <T> void add(HostRoutes<T> routes, RouteRule<T> rule) {
    if (rule.kind() == RouteRule.Kind.REGEX) {
      routes.regexRules.add(rule);
      routes.regexPatterns.add(rule.compilePattern());
      return;
    }
    SubstringMap<List<RouteRule<T>>> table =
        rule.kind() == RouteRule.Kind.EXACT ? routes.exactRules : routes.prefixRules;
    if (rule.kind() == RouteRule.Kind.PREFIX) {
      routes.prefixDepths |= 1L << Math.min(63, rule.path().chars().filter(c -> c == '/').count());
    }
    List<RouteRule<T>> rulesOfPath = table.get(rule.path());
    if (rulesOfPath == null) {
      rulesOfPath = new ArrayList<>(1);
      table.put(rule.path(), rulesOfPath);
    }
    rulesOfPath.add(rule);
    rulesOfPath.sort(
        Comparator.comparingInt(x -> -x.conditionCount())); // stable: keeps the file's order
  }

  /** Returns the rule that takes a request, or null if none does. */
  public RouteRule<T> find(RequestAttributes request) {
    String host = request.host();
    HostRoutes<T> routes = exactHosts.isEmpty() ? null : exactHosts.get(host);
    if (routes == null && !hostSuffixes.isEmpty()) {
      for (int dot = host.indexOf('.');
          dot >= 0 && routes == null;
          dot = host.indexOf('.', dot + 1)) {
        routes = dot == 0 ? null : findRegion(hostSuffixes, host, dot, host.length());
      }
    }
    if (routes == null && !hostPrefixes.isEmpty()) {
      for (int dot = host.lastIndexOf('.');
          dot > 0 && routes == null;
          dot = host.lastIndexOf('.', dot - 1)) {
        routes = dot == host.length() - 1 ? null : findRegion(hostPrefixes, host, 0, dot + 1);
      }
    }
    return (routes == null ? anyHostRoutes : routes).find(request);
  }

  private static <V> V findRegion(SubstringMap<V> table, String text, int start, int end) {
    int hash = 0;
    for (int i = start; i < end; i++) {
      hash = SubstringMap.extendHash(hash, text.charAt(i));
    }
    return table.get(text, start, end - start, hash);
  }
}
