package leadferry.routing;

import com.google.re2j.Pattern;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The conditions under which a request takes a route.
 *
 * @param name the name of the route
 * @param hostPatterns {@code *} for any host, {@code a.b}, {@code *.a.b} or {@code a.*}, in lower
 *     case
 * @param kind how {@code path} is matched
 * @param path the path, prefix or regular expression, in the form of {@link
 *     NormalizedPath#toOctetChars}
 * @param methods the methods; empty for any method
 * @param headers required values of headers; {@code *} requires only that the header is present
 * @param classes the classes; empty for any class
 * @param target the target of the route
 */
public record RouteRule<T>(
    String name,
    List<String> hostPatterns,
    Kind kind,
    String path,
    Set<String> methods,
    Map<String, String> headers,
    Set<String> classes,
    T target) {

  /** How the path of a rule is matched. */
  public enum Kind {
    /** Matches the whole path literally. */
    EXACT,
    /** Matches the whole path with a regular expression (RE2 syntax, linear time). */
    REGEX,
    /** Matches the path itself and every path below it; a trailing slash is ignored. */
    PREFIX
  }

  public RouteRule {
    hostPatterns = List.copyOf(hostPatterns);
    methods = Set.copyOf(methods);
    headers = Map.copyOf(headers);
    classes = Set.copyOf(classes);
    if (kind == Kind.PREFIX) {
      while (path.endsWith("/")) {
        path = path.substring(0, path.length() - 1);
      }
    }
  }

  /**
   * Returns the number of conditions besides host and path. A rule with more conditions takes
   * precedence.
   */
  int conditionCount() {
    return (methods.isEmpty() ? 0 : 1) + headers.size() + (classes.isEmpty() ? 0 : 1);
  }

  /** Returns whether a request meets the conditions besides host and path. */
  boolean matchesConditions(RequestAttributes request) {
    if (!methods.isEmpty() && !methods.contains(request.method())) {
      return false;
    }
    if (!classes.isEmpty()
        && (request.className() == null || !classes.contains(request.className()))) {
      return false;
    }
    if (!headers.isEmpty()) {
      for (Map.Entry<String, String> entry : headers.entrySet()) {
        String value = request.header(entry.getKey());
        if (value == null || (!entry.getValue().equals("*") && !entry.getValue().equals(value))) {
          return false;
        }
      }
    }
    return true;
  }

  /**
   * Returns whether every request that meets the conditions of {@code other} meets those of this
   * rule.
   */
  boolean covers(RouteRule<?> other) {
    return (methods.isEmpty() || (!other.methods.isEmpty() && methods.containsAll(other.methods)))
        && (classes.isEmpty() || (!other.classes.isEmpty() && classes.containsAll(other.classes)))
        && headers.entrySet().stream()
            .allMatch(
                entry -> {
                  String otherValue = other.headers.get(entry.getKey());
                  return otherValue != null
                      && (entry.getValue().equals("*") || entry.getValue().equals(otherValue));
                });
  }

  /** Returns whether the rule is a regular expression that is known to match every path. */
  boolean matchesAnyPath() {
    return kind == Kind.REGEX && Set.of(".*", "/.*", "^.*$", "^/.*$", "^/.*", "^.*").contains(path);
  }

  Pattern compilePattern() {
    return Pattern.compile(path);
  }
}
