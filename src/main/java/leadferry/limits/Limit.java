package leadferry.limits;

import java.util.Set;

/**
 * One bound of the operator's.
 *
 * @param name its name, by which its state lives on over a reload
 * @param by what has a bucket of its own
 * @param within the name of the limit whose share it is part of, or null
 * @param listeners the listeners it holds for, or none for all
 * @param routes the routes it holds for, or none for all
 * @param classes the classes it holds for, or none for all
 * @param perSecond requests a second, or 0 for any
 * @param burst requests that may come at once within the rate, 1 or more
 * @param concurrency requests that may be open at once, or 0 for any
 */
public record Limit(
    String name,
    By by,
    String within,
    Set<String> listeners,
    Set<String> routes,
    Set<String> classes,
    double perSecond,
    double burst,
    int concurrency) {

  /** What has a bucket of its own. */
  public enum By {
    ALL,
    LISTENER,
    ROUTE,
    TENANT,
    CLASS,
    ADDRESS
  }

  public Limit {
    listeners = Set.copyOf(listeners);
    routes = Set.copyOf(routes);
    classes = Set.copyOf(classes);
  }

  boolean holdsFor(ClientIdentity c) {
    return (listeners.isEmpty() || listeners.contains(c.listener()))
        && (routes.isEmpty() || routes.contains(c.route()))
        && (classes.isEmpty() || classes.contains(c.className()));
  }
}
