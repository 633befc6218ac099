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
 * Reads and judges {@code [[route]]}: each by itself, against what the file names, and against the
 * others.
 */
final class RouteReader {
  private final TomlSection root;
  private final DeclaredNames names;

  RouteReader(TomlSection root, DeclaredNames names) {
    this.root = root;
    this.names = names;
  }

  /** The routes in the order of the file, none of them out of reach of all requests. */
  List<DaemonConfig.Route> read() {
    List<DaemonConfig.Route> out = new ArrayList<>();
    List<TomlSection> sections = root.tables("route");
    for (TomlSection s : sections) {
      out.add(route(s, out.size()));
      s.rejectUnknownKeys();
    }
    for (String listener : names.listeners) {
      List<RouteRule<Integer>> rules = new ArrayList<>();
      for (DaemonConfig.Route r : out) {
        if (r.listeners().isEmpty() || r.listeners().contains(listener)) {
          rules.add(r.match());
        }
      }
      for (ShadowedRouteFinder.ShadowedRoute shadowed : ShadowedRouteFinder.findShadowed(rules)) {
        RouteRule<Integer> r = rules.get(shadowed.routeIndex());
        sections
            .get(r.target())
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
    return out;
  }

  private DaemonConfig.Route route(TomlSection s, int index) {
    String name = s.string("name", null, "the route's name");
    if (!name.isEmpty()) {
      DeclaredNames.declare(s, name, names.routes);
    }
    Set<String> at = s.knownNames("listeners", names.listeners, "listener");
    String pool = s.string("pool", "", "the name of a pool");
    List<DaemonConfig.PoolShare> split = split(s, pool);
    List<String> fallback = new ArrayList<>(s.knownNames("fallback", names.pools, "pool"));
    String className = s.string("class", "", "the name of a class");
    if (!className.isEmpty()) {
      s.requireKnown("class", className, names.classes, "class");
    }
    String by = s.string("split_by", "key", "key, tenant, address or header:NAME");
    DaemonConfig.SplitBy splitBy = DaemonConfig.SplitBy.KEY;
    String splitHeader = "X-Route-Key";
    if (by.startsWith("header:") && by.substring(7).matches(DeclaredNames.TOKEN)) {
      splitHeader = by.substring(7);
    } else if (by.equals("tenant") || by.equals("address")) {
      splitBy = DaemonConfig.SplitBy.valueOf(by.toUpperCase(Locale.ROOT));
    } else if (!by.equals("key")) {
      s.addError("split_by", "'" + by + "'", "key, tenant, address or header:NAME");
    }
    RouteRule<Integer> match = match(s, name, index);
    String rewrite = s.string("rewrite_prefix", "", "a path that begins with /");
    if (!rewrite.isEmpty()) {
      NormalizedPath form =
          NormalizedPath.normalize(
              NormalizedPath.percentEncode(NormalizedPath.toOctetChars(rewrite)),
              NormalizedPath.Mode.STRICT);
      if (form == null) {
        s.addError("rewrite_prefix", "'" + rewrite + "'", "a plain path that begins with /");
      } else if (match.kind() != RouteRule.Kind.PREFIX) {
        s.addError("rewrite_prefix", "set", "only where the route has a prefix");
      }
    }
    Map<String, String> set = s.stringMap("set_headers");
    set.forEach(
        (k, v) -> {
          checkHeaderName(s, "set_headers." + k, k);
          if (!v.chars().allMatch(c -> c >= ' ' && c < 0x7f)) {
            s.addError("set_headers." + k, "'" + v + "'", "printable ASCII");
          }
        });
    List<String> remove = s.strings("remove_headers");
    for (int i = 0; i < remove.size(); i++) {
      checkHeaderName(s, "remove_headers[" + i + "]", remove.get(i));
    }
    return new DaemonConfig.Route(
        name,
        List.copyOf(at),
        match,
        className,
        split,
        splitBy,
        splitHeader,
        fallback,
        s.flag("stream", false),
        rewrite,
        Map.copyOf(set),
        List.copyOf(remove));
  }

  private static void checkHeaderName(TomlSection s, String key, String name) {
    if (!name.matches(DeclaredNames.TOKEN)
        || Headers.PROTECTED.contains(name.toLowerCase(Locale.ROOT))) {
      s.addError(key, "'" + name + "'", "a header that does not frame the message");
    }
  }

  private List<DaemonConfig.PoolShare> split(TomlSection s, String pool) {
    List<DaemonConfig.PoolShare> out = new ArrayList<>();
    List<TomlSection> parts = s.tables("split");
    if (pool.isEmpty() == parts.isEmpty()) {
      s.addError("pool", pool.isEmpty() ? "missing" : "set beside split", "either pool or split");
    }
    if (!pool.isEmpty()) {
      s.requireKnown("pool", pool, names.pools, "pool");
      out.add(new DaemonConfig.PoolShare(pool, 1));
    }
    double sum = 0;
    Set<String> named = new HashSet<>();
    for (TomlSection p : parts) {
      String name = p.string("pool", null, "the name of a pool");
      if (!name.isEmpty()) {
        p.requireKnown("pool", name, names.pools, "pool");
        if (!named.add(name)) {
          p.addError("pool", "'" + name + "' a second time", "each pool once");
        }
      }
      double weight = p.number("weight", 1, 0, 1e6);
      sum += weight;
      out.add(new DaemonConfig.PoolShare(name, weight));
      p.rejectUnknownKeys();
    }
    if (!parts.isEmpty() && sum <= 0) {
      s.addError("split", "all weights zero", "a weight above 0");
    }
    return out;
  }

  private RouteRule<Integer> match(TomlSection s, String name, int index) {
    List<String> hosts = s.strings("hosts");
    for (int i = 0; i < hosts.size(); i++) {
      String h = hosts.get(i).toLowerCase(Locale.ROOT);
      String plain =
          h.startsWith("*.")
              ? h.substring(2)
              : h.endsWith(".*") ? h.substring(0, h.length() - 2) : h;
      if (!h.equals("*") && !plain.matches("[a-z0-9_-]+(\\.[a-z0-9_-]+)*|\\[[0-9a-f:.]+\\]")) {
        s.addError("hosts[" + i + "]", "'" + hosts.get(i) + "'", "a name, *.name, name.* or *");
      }
      hosts.set(i, h);
    }
    RouteRule.Kind kind = RouteRule.Kind.PREFIX;
    String path = "/";
    int given = 0;
    for (RouteRule.Kind k : RouteRule.Kind.values()) {
      String key = k == RouteRule.Kind.EXACT ? "path" : k.name().toLowerCase(Locale.ROOT);
      String text =
          s.string(key, "", k == RouteRule.Kind.REGEX ? "a regular expression" : "a path");
      if (text.isEmpty()) {
        continue;
      }
      given++;
      kind = k;
      path = k == RouteRule.Kind.REGEX ? text : NormalizedPath.toOctetChars(text);
      if (k == RouteRule.Kind.REGEX) {
        try {
          Pattern.compile(text);
        } catch (PatternSyntaxException e) {
          s.addError(key, e.getMessage(), "a regular expression in RE2 syntax");
          path = "/";
          kind = RouteRule.Kind.PREFIX;
        }
      } else if (!text.startsWith("/")
          || NormalizedPath.normalize(
                  NormalizedPath.percentEncode(path), NormalizedPath.Mode.STRICT)
              == null) {
        s.addError(
            key, "'" + text + "'", "a decoded path that begins with /, without . or .. or //");
      }
    }
    if (given != 1) {
      s.addError(
          "",
          given == 0 ? "no path" : "more than one of path, prefix, regex",
          "one of path, prefix, regex");
    }
    List<String> methods = s.strings("methods");
    for (int i = 0; i < methods.size(); i++) {
      if (!methods.get(i).matches("[A-Z][A-Z-]*") || methods.get(i).equals("CONNECT")) {
        s.addError(
            "methods[" + i + "]", "'" + methods.get(i) + "'", "a method in capitals, not CONNECT");
      }
    }
    Map<String, String> headers = new LinkedHashMap<>();
    s.stringMap("headers")
        .forEach(
            (k, v) -> {
              if (!k.matches(DeclaredNames.TOKEN)) {
                s.addError("headers." + k, "'" + k + "'", "the name of a header");
              }
              headers.put(k.toLowerCase(Locale.ROOT), v);
            });
    return new RouteRule<>(
        name,
        hosts.isEmpty() ? List.of("*") : hosts,
        kind,
        path,
        new LinkedHashSet<>(methods),
        headers,
        s.knownNames("classes", names.classes, "class"),
        index);
  }
}
