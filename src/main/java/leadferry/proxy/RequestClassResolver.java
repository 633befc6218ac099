package leadferry.proxy;

import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import leadferry.loadbalancer.Settings;

/**
 * Resolves the class of a request. For a while after a change of settings, it also knows the
 * previous form of the classes that were removed or got other semantics.
 *
 * <pre>
 *   SIGHUP, reload                      clients use the new classes  previous classes dropped
 *   |--------- previous and new form are accepted ------|---------------|
 *   0                                                 1.2 s           2.5 s
 * </pre>
 *
 * <p>Method and key define the form of a request: safe ({@code GET}), keyed or neither. A request
 * of the new form gets the new class. A request of the previous form gets the previous class, which
 * has a separate name in the load balancer: no state of the previous class affects requests of the
 * new form.
 */
final class RequestClassResolver {
  /** Time for which requests of the previous form are accepted. */
  static final long TRANSITION_MILLIS = 2_500;

  /**
   * Suffix for the names of previous classes. No class of the platform has such a name, because the
   * suffix can't appear in a path.
   */
  private static final String PREVIOUS_SUFFIX = " (before)";

  private Settings settings;
  private Map<String, Settings.RequestClass> classes;
  private Map<String, Settings.RequestClass> previousClasses = Map.of();

  RequestClassResolver(Settings first) {
    settings = first;
    classes = byName(first);
  }

  /**
   * Replaces the settings; returns those for the load balancer, which include the previous classes.
   */
  Settings replaceSettings(Settings next) {
    Map<String, Settings.RequestClass> replaced = classes;
    Map<String, Settings.RequestClass> previous = new HashMap<>();
    settings = next;
    classes = byName(next);
    List<Settings.RequestClass> all = new ArrayList<>(next.classes());
    for (Settings.RequestClass old : replaced.values()) {
      Settings.RequestClass current = classes.get(old.name());
      if (current == null || current.semantics() != old.semantics()) {
        Settings.RequestClass renamed = old.withName(old.name() + PREVIOUS_SUFFIX);
        previous.put(old.name(), renamed);
        all.add(renamed);
      }
    }
    previousClasses = previous;
    return next.withClasses(all);
  }

  /**
   * Drops the previous classes; returns the settings for the load balancer from now on, or null if
   * they are unchanged.
   */
  Settings endTransition() {
    if (previousClasses.isEmpty()) {
      return null;
    }
    previousClasses = Map.of();
    return settings;
  }

  /** Returns the class for a request with this name, method and key; null if there is none. */
  Settings.RequestClass resolve(String name, HttpMethod method, boolean keyed) {
    Settings.RequestClass current = classes.get(name);
    Settings.RequestClass previous = previousClasses.get(name);
    if (previous == null) {
      return current;
    }
    if (current == null) {
      return previous;
    }
    boolean hasPreviousForm =
        matchesForm(previous, method, keyed) && !matchesForm(current, method, keyed);
    return hasPreviousForm ? previous : current;
  }

  /** Whether a request has the method of the class, and a key if the class needs one. */
  static boolean matchesForm(Settings.RequestClass requestClass, HttpMethod method, boolean keyed) {
    Settings.Semantics semantics = requestClass.semantics();
    HttpMethod expected =
        semantics == Settings.Semantics.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST;
    boolean keyMissing = semantics == Settings.Semantics.DEDUPLICATED && !keyed;
    return method.equals(expected) && !keyMissing;
  }

  private static Map<String, Settings.RequestClass> byName(Settings settings) {
    Map<String, Settings.RequestClass> all = new HashMap<>();
    for (Settings.RequestClass requestClass : settings.classes()) {
      all.put(requestClass.name(), requestClass);
    }
    return all;
  }
}
