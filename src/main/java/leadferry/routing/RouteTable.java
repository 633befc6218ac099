package leadferry.routing;

import com.google.re2j.Pattern;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The routes of one listener, compiled. The order of precedence, which {@link ShadowedRouteFinder}
 * and the operator's page share:
 *
 * <ol>
 *   <li>The host: the exact name, else the longest {@code *.suffix}, else the longest {@code
 *       prefix.*}, else {@code *}. Only routes of the host found are looked at; there is no way
 *       back to a less particular host.
 *   <li>The path: the exact one, else regular expressions in the order of the file, else the
 *       longest prefix.
 *   <li>The conditions (methods, headers, classes): of routes with one host and path the one with
 *       the most conditions that hold, else the first in the file. Where none holds, the search
 *       goes on with the next path of point 2.
 * </ol>
 *
 * <p>Exact and prefix routes cost one hash step a char and a probe for each depth that has
 * prefixes, whatever their number, and allocate nothing; regular expressions cost one run each.
 * Safe for use by many threads.
 */
public final class RouteTable<T> {
  /** The routes of one host pattern. */
  private static final class HostRoutes<T> {
    final SubstringMap<List<RouteRule<T>>> exact = new SubstringMap<>();
    final SubstringMap<List<RouteRule<T>>> prefixes = new SubstringMap<>();
    final List<RouteRule<T>> regexRules = new ArrayList<>();
    final List<Pattern> regexes = new ArrayList<>();

    /** Bit n is set where some prefix has n segments (the last bit: that many or more). */
    long depths;

    RouteRule<T> find(RequestAttributes s) {
      String path = s.path();
      if (!exact.isEmpty()) {
        RouteRule<T> r = first(exact.get(path), s);
        if (r != null) {
          return r;
        }
      }
      for (int i = 0; i < regexes.size(); i++) {
        if (regexRules.get(i).matchesConditions(s) && regexes.get(i).matches(path)) {
          return regexRules.get(i);
        }
      }
      return prefixes.isEmpty() ? null : longestPrefix(path, s);
    }

    private RouteRule<T> longestPrefix(String path, RequestAttributes s) {
      RouteRule<T> best = null;
      int hash = 0;
      int n = path.length();
      int depth = 0;
      for (int i = 0; i <= n; i++) {
        char c = i < n ? path.charAt(i) : '/';
        if (c == '/') {
          // Each probe among many routes is a miss of the cache: only depths that exist get one.
          if ((depths >>> Math.min(depth, 63) & 1) != 0) {
            RouteRule<T> r = first(prefixes.get(path, 0, i, hash), s);
            best = r == null ? best : r;
          }
          depth++;
        }
        hash = SubstringMap.extendHash(hash, c);
      }
      return best;
    }

    private static <T> RouteRule<T> first(List<RouteRule<T>> rules, RequestAttributes s) {
      if (rules != null) {
        for (int i = 0; i < rules.size(); i++) {
          if (rules.get(i).matchesConditions(s)) {
            return rules.get(i);
          }
        }
      }
      return null;
    }
  }

  private final SubstringMap<HostRoutes<T>> hosts = new SubstringMap<>();
  private final SubstringMap<HostRoutes<T>> suffixes = new SubstringMap<>();
  private final SubstringMap<HostRoutes<T>> prefixes = new SubstringMap<>();
  private final HostRoutes<T> any = new HostRoutes<>();

  /** Compiles rules that {@link ShadowedRouteFinder} has found sound, in the order of the file. */
  public RouteTable(List<RouteRule<T>> rules) {
    Map<String, HostRoutes<T>> byHost = new LinkedHashMap<>();
    byHost.put("*", any);
    for (RouteRule<T> r : rules) {
      for (String host : r.hostPatterns()) {
        add(byHost.computeIfAbsent(host, h -> new HostRoutes<>()), r);
      }
    }
    byHost.forEach(
        (host, routes) -> {
          if (host.startsWith("*.")) {
            suffixes.put(host.substring(1), routes);
          } else if (host.endsWith(".*")) {
            prefixes.put(host.substring(0, host.length() - 1), routes);
          } else if (!host.equals("*")) {
            hosts.put(host, routes);
          }
        });
  }

  private static <T> void add(HostRoutes<T> to, RouteRule<T> r) {
    if (r.kind() == RouteRule.Kind.REGEX) {
      to.regexRules.add(r);
      to.regexes.add(r.compilePattern());
      return;
    }
    SubstringMap<List<RouteRule<T>>> table =
        r.kind() == RouteRule.Kind.EXACT ? to.exact : to.prefixes;
    if (r.kind() == RouteRule.Kind.PREFIX) {
      to.depths |= 1L << Math.min(63, r.path().chars().filter(c -> c == '/').count());
    }
    List<RouteRule<T>> same = table.get(r.path());
    if (same == null) {
      same = new ArrayList<>(1);
      table.put(r.path(), same);
    }
    same.add(r);
    same.sort(Comparator.comparingInt(x -> -x.conditionCount())); // stable: the file's order stays
  }

  /** The rule that wins, or null where none does. */
  public RouteRule<T> find(RequestAttributes s) {
    String host = s.host();
    HostRoutes<T> found = hosts.isEmpty() ? null : hosts.get(host);
    if (found == null && !suffixes.isEmpty()) {
      for (int dot = host.indexOf('.');
          dot >= 0 && found == null;
          dot = host.indexOf('.', dot + 1)) {
        found = dot == 0 ? null : region(suffixes, host, dot, host.length());
      }
    }
    if (found == null && !prefixes.isEmpty()) {
      for (int dot = host.lastIndexOf('.');
          dot > 0 && found == null;
          dot = host.lastIndexOf('.', dot - 1)) {
        found = dot == host.length() - 1 ? null : region(prefixes, host, 0, dot + 1);
      }
    }
    return (found == null ? any : found).find(s);
  }

  private static <V> V region(SubstringMap<V> table, String s, int from, int to) {
    int hash = 0;
    for (int i = from; i < to; i++) {
      hash = SubstringMap.extendHash(hash, s.charAt(i));
    }
    return table.get(s, from, to - from, hash);
  }
}
