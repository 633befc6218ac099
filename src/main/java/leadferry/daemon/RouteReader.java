package leadferry.daemon;

import com.google.re2j.Pattern;
import com.google.re2j.PatternSyntaxException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import leadferry.http.Headers;
import leadferry.routing.NormalizedPath;
import leadferry.routing.RouteRule;
import leadferry.routing.ShadowedRouteFinder;

/**
 * Reads and validates {@code [[route]]}: each route by itself, its references to other sections,
 * and its position among the other routes.
 */
final class RouteReader {
  private final TomlSection root;
  private final DeclaredNames names;

  RouteReader(TomlSection root, DeclaredNames names) {
    this.root = root;
    this.names = names;
  }

  /**
   * Returns the routes in the order of the file. Adds an error for each route that no request can
   * reach.
   */
  List<DaemonConfig.Route> read() {
    List<DaemonConfig.Route> routes = new ArrayList<>();
    List<TomlSection> sections = root.tables("route");
    for (TomlSection section : sections) {
      routes.add(route(section, routes.size()));
      section.rejectUnknownKeys();
    }
    for (String listener : names.listeners) {
      List<RouteRule<Integer>> rules = new ArrayList<>();
      for (DaemonConfig.Route route : routes) {
        if (route.listeners().isEmpty() || route.listeners().contains(listener)) {
          rules.add(route.match());
        }
      }
      for (ShadowedRouteFinder.ShadowedRoute shadowed : ShadowedRouteFinder.findShadowed(rules)) {
        RouteRule<Integer> route = rules.get(shadowed.routeIndex());
        sections
            .get(route.target())
            .addError(
                "",
                "can't be reached at listener '"
                    + listener
                    + "': route '"
                    + rules.get(shadowed.winnerIndex()).name()
                    + "' always wins",
                "a route that some request can take");
      }
    }
    return routes;
  }

  private DaemonConfig.Route route(TomlSection section, int index) {
    String name = section.string("name", null, "the route's name");
    if (!name.isEmpty()) {
      DeclaredNames.declare(section, name, names.routes);
    }
    Set<String> listeners = section.knownNames("listeners", names.listeners, "listener");
    String pool = section.string("pool", "", "the name of a pool");
    List<DaemonConfig.PoolShare> split = split(section, pool);
    List<String> fallback = new ArrayList<>(section.knownNames("fallback", names.pools, "pool"));
    String className = section.string("class", "", "the name of a class");
    if (!className.isEmpty()) {
      section.requireKnown("class", className, names.classes, "class");
    }
    String splitByText = section.string("split_by", "key", "key, tenant, address or header:NAME");
    DaemonConfig.SplitBy splitBy = DaemonConfig.SplitBy.KEY;
    String splitHeader = "X-Route-Key";
    if (splitByText.startsWith("header:")
        && splitByText.substring(7).matches(DeclaredNames.TOKEN)) {
      splitHeader = splitByText.substring(7);
    } else if (splitByText.equals("tenant") || splitByText.equals("address")) {
      splitBy = DaemonConfig.SplitBy.valueOf(splitByText.toUpperCase(Locale.ROOT));
    } else if (!splitByText.equals("key")) {
      section.addError("split_by", "'" + splitByText + "'", "key, tenant, address or header:NAME");
    }
    RouteRule<Integer> match = match(section, name, index);
    String rewritePrefix = section.string("rewrite_prefix", "", "a path that begins with /");
    if (!rewritePrefix.isEmpty()) {
      NormalizedPath normalizedPrefix =
          NormalizedPath.normalize(
              NormalizedPath.percentEncode(NormalizedPath.toOctetChars(rewritePrefix)),
              NormalizedPath.Mode.STRICT);
      if (normalizedPrefix == null) {
        section.addError(
            "rewrite_prefix", "'" + rewritePrefix + "'", "a plain path that begins with /");
      } else if (match.kind() != RouteRule.Kind.PREFIX) {
        section.addError("rewrite_prefix", "set", "only where the route has a prefix");
      }
    }
    Map<String, String> setHeaders = section.stringMap("set_headers");
    setHeaders.forEach(
        (header, value) -> {
          checkHeaderName(section, "set_headers." + header, header);
          if (!value.chars().allMatch(c -> c >= ' ' && c < 0x7f)) {
            section.addError("set_headers." + header, "'" + value + "'", "printable ASCII");
          }
        });
    List<String> removeHeaders = section.strings("remove_headers");
    for (int i = 0; i < removeHeaders.size(); i++) {
      checkHeaderName(section, "remove_headers[" + i + "]", removeHeaders.get(i));
    }
    return new DaemonConfig.Route(
        name,
        List.copyOf(listeners),
        match,
        className,
        split,
        splitBy,
        splitHeader,
        fallback,
        section.flag("stream", false),
        rewritePrefix,
        Map.copyOf(setHeaders),
        List.copyOf(removeHeaders));
  }

  private static void checkHeaderName(TomlSection section, String key, String name) {
    if (!name.matches(DeclaredNames.TOKEN)
        || Headers.PROTECTED.contains(name.toLowerCase(Locale.ROOT))) {
      section.addError(key, "'" + name + "'", "a header that does not frame the message");
    }
  }

  private List<DaemonConfig.PoolShare> split(TomlSection section, String pool) {
    List<DaemonConfig.PoolShare> shares = new ArrayList<>();
    List<TomlSection> parts = section.tables("split");
    if (pool.isEmpty() == parts.isEmpty()) {
      section.addError(
          "pool", pool.isEmpty() ? "missing" : "set beside split", "either pool or split");
    }
    if (!pool.isEmpty()) {
      section.requireKnown("pool", pool, names.pools, "pool");
      shares.add(new DaemonConfig.PoolShare(pool, 1));
    }
    double sum = 0;
    Set<String> named = new HashSet<>();
    for (TomlSection part : parts) {
      String name = part.string("pool", null, "the name of a pool");
      if (!name.isEmpty()) {
        part.requireKnown("pool", name, names.pools, "pool");
        if (!named.add(name)) {
          part.addError("pool", "'" + name + "' a second time", "each pool once");
        }
      }
      double weight = part.number("weight", 1, 0, 1e6);
      sum += weight;
      shares.add(new DaemonConfig.PoolShare(name, weight));
      part.rejectUnknownKeys();
    }
    if (!parts.isEmpty() && sum <= 0) {
      section.addError("split", "all weights zero", "a weight above 0");
    }
    return shares;
  }

  private RouteRule<Integer> match(TomlSection section, String name, int index) {
    List<String> hosts = section.strings("hosts");
    for (int i = 0; i < hosts.size(); i++) {
      String host = hosts.get(i).toLowerCase(Locale.ROOT);
      String withoutWildcard =
          host.startsWith("*.")
              ? host.substring(2)
              : host.endsWith(".*") ? host.substring(0, host.length() - 2) : host;
      if (!host.equals("*")
          && !withoutWildcard.matches("[a-z0-9_-]+(\\.[a-z0-9_-]+)*|\\[[0-9a-f:.]+\\]")) {
        section.addError(
            "hosts[" + i + "]", "'" + hosts.get(i) + "'", "a name, *.name, name.* or *");
      }
      hosts.set(i, host);
    }
    RouteRule.Kind kind = RouteRule.Kind.PREFIX;
    String path = "/";
    int pathCount = 0;
    for (RouteRule.Kind candidate : RouteRule.Kind.values()) {
      String key =
          candidate == RouteRule.Kind.EXACT ? "path" : candidate.name().toLowerCase(Locale.ROOT);
      String text =
          section.string(
              key, "", candidate == RouteRule.Kind.REGEX ? "a regular expression" : "a path");
      if (text.isEmpty()) {
        continue;
      }
      pathCount++;
      kind = candidate;
      path = candidate == RouteRule.Kind.REGEX ? text : NormalizedPath.toOctetChars(text);
      if (candidate == RouteRule.Kind.REGEX) {
        try {
          Pattern.compile(text);
        } catch (PatternSyntaxException e) {
          section.addError(key, e.getMessage(), "a regular expression in RE2 syntax");
          path = "/";
          kind = RouteRule.Kind.PREFIX;
        }
      } else if (!text.startsWith("/")
          || NormalizedPath.normalize(
                  NormalizedPath.percentEncode(path), NormalizedPath.Mode.STRICT)
              == null) {
        section.addError(
            key, "'" + text + "'", "a decoded path that begins with /, without . or .. or //");
      }
    }
    if (pathCount != 1) {
      section.addError(
          "",
          pathCount == 0 ? "no path" : "more than one of path, prefix, regex",
          "one of path, prefix, regex");
    }
    List<String> methods = section.strings("methods");
    for (int i = 0; i < methods.size(); i++) {
      if (!methods.get(i).matches("[A-Z][A-Z-]*") || methods.get(i).equals("CONNECT")) {
        section.addError(
            "methods[" + i + "]", "'" + methods.get(i) + "'", "a method in capitals, not CONNECT");
      }
    }
    Map<String, String> headers = new LinkedHashMap<>();
    section
        .stringMap("headers")
        .forEach(
            (header, value) -> {
              if (!header.matches(DeclaredNames.TOKEN)) {
                section.addError("headers." + header, "'" + header + "'", "the name of a header");
              }
              headers.put(header.toLowerCase(Locale.ROOT), value);
            });
    return new RouteRule<>(
        name,
        hosts.isEmpty() ? List.of("*") : hosts,
        kind,
        path,
        new LinkedHashSet<>(methods),
        headers,
        section.knownNames("classes", names.classes, "class"),
        index);
  }
}
