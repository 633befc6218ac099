package leadferry.limits;

import java.util.Set;

/**
 * A limit that the operator has configured.
 *
 * @param name the name; a limit keeps its state over a reload if it keeps its name
 * @param scope which requests share a bucket
 * @param parentName the name of the outer limit, or null
 * @param listeners the listeners to which it applies, or none for all
 * @param routes the routes to which it applies, or none for all
 * @param classes the classes to which it applies, or none for all
 * @param requestsPerSecond requests per second, or 0 for no limit
 * @param burst maximum number of requests that may arrive at once within the rate, 1 or more
 * @param maxConcurrent maximum number of requests that may be open at once, or 0 for no limit
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

  /** Attribute whose values have separate buckets. */
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

  boolean appliesTo(ClientIdentity client) {
    return (listeners.isEmpty() || listeners.contains(client.listener()))
        && (routes.isEmpty() || routes.contains(client.route()))
        && (classes.isEmpty() || classes.contains(client.className()));
  }
}
