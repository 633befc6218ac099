package leadferry.routing;

import com.google.re2j.Pattern;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What a request must have for a route to take it.
 *
 * @param name the route's name
 * @param hostPatterns {@code *} for any, {@code a.b}, {@code *.a.b} or {@code a.*}, in lower case
 * @param kind how {@code path} is meant
 * @param path the path, prefix or regular expression, in the form of {@link
 *     NormalizedPath#toOctetChars}
 * @param methods the methods, or none for any
 * @param headers values that headers must have; {@code *} asks only that the header is there
 * @param classes the classes, or none for any
 * @param target what the route leads to
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

  /** How a rule's path is meant. */
  public enum Kind {
    /** The whole path. */
    EXACT,
    /** A regular expression (RE2 syntax, linear time) that must match the whole path. */
    REGEX,
    /** The path itself or whatever lies below it; a trailing slash is of no account. */
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

  /** Conditions besides host and path: more of them make a rule more particular. */
  int conditionCount() {
    return (methods.isEmpty() ? 0 : 1) + headers.size() + (classes.isEmpty() ? 0 : 1);
  }

  /** Whether the conditions besides host and path hold. */
  boolean matchesConditions(RequestAttributes request) {
    if (!methods.isEmpty() && !methods.contains(request.method())) {
      return false;
    }
    if (!classes.isEmpty()
        && (request.className() == null || !classes.contains(request.className()))) {
      return false;
    }
    if (!headers.isEmpty()) {
      for (Map.Entry<String, String> e : headers.entrySet()) {
        String value = request.header(e.getKey());
        if (value == null || (!e.getValue().equals("*") && !e.getValue().equals(value))) {
          return false;
        }
      }
    }
    return true;
  }

  /** Whether every request that meets the other's conditions meets these too. */
  boolean covers(RouteRule<?> other) {
    return (methods.isEmpty() || (!other.methods.isEmpty() && methods.containsAll(other.methods)))
        && (classes.isEmpty() || (!other.classes.isEmpty() && classes.containsAll(other.classes)))
        && headers.entrySet().stream()
            .allMatch(
                e -> {
                  String theirs = other.headers.get(e.getKey());
                  return theirs != null
                      && (e.getValue().equals("*") || e.getValue().equals(theirs));
                });
  }

  /** Whether a regular expression takes any path at all. */
  boolean matchesAnyPath() {
    return kind == Kind.REGEX && Set.of(".*", "/.*", "^.*$", "^/.*$", "^/.*", "^.*").contains(path);
  }

  Pattern compilePattern() {
    return Pattern.compile(path);
  }
}
