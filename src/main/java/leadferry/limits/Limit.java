package leadferry.limits;

import java.util.Set;

/**
 * One bound of the operator's.
 *
 * @param name its name, by which its state lives on over a reload
 * @param scope what has a bucket of its own
 * @param parentName the name of the limit whose share it is part of, or null
 * @param listeners the listeners it holds for, or none for all
 * @param routes the routes it holds for, or none for all
 * @param classes the classes it holds for, or none for all
 * @param requestsPerSecond requests a second, or 0 for any
 * @param burst requests that may come at once within the rate, 1 or more
 * @param maxConcurrent requests that may be open at once, or 0 for any
 */
public record Limit(
    String name,
    Scope scope,
    String parentName,
    Set<String> listeners,
    Set<String> routes,
    Set<String> classes,
    double requestsPerSecond,
    double burst,
    int maxConcurrent) {

  /** What has a bucket of its own. */
  public enum Scope {
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

  boolean appliesTo(ClientIdentity c) {
    return (listeners.isEmpty() || listeners.contains(c.listener()))
        && (routes.isEmpty() || routes.contains(c.route()))
        && (classes.isEmpty() || classes.contains(c.className()));
  }
}
