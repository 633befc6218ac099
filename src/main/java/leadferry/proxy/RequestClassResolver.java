package leadferry.proxy;

import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import leadferry.loadbalancer.Settings;

/**
 * The classes by which requests are judged, and for a while after a change of the settings those
 * that changed their semantics or went, as they were.
 *
 * <pre>
 *   SIGHUP, read      clients name the new classes           what was is forgotten
 *   |------ old form and new form are taken ------|----------------|
 *   0                                           1.2 s            2.5 s
 * </pre>
 *
 * <p>Method and key tell the form: it is safe ({@code GET}), keyed or neither. A request in the new
 * form falls under the new rules; one in the old form under the old ones, by a name of its own in
 * the module, so that nothing of the old rules reaches a request of the new form.
 */
final class RequestClassResolver {
  /** How long requests of the old form are taken. */
  static final long TRANSITION_MILLIS = 2_500;

  /** No class of the platform's can be named so: it can't stand in a path. */
  private static final String PREVIOUS_SUFFIX = " (before)";

  private Settings settings;
  private Map<String, Settings.RequestClass> classes;
  private Map<String, Settings.RequestClass> previousClasses = Map.of();

  RequestClassResolver(Settings first) {
    settings = first;
    classes = byName(first);
  }

  /** Takes other settings; returns those for the module, which know the former classes too. */
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
   * Forgets what was; returns the settings for the module from now on, or null if they are the
   * same.
   */
  Settings endTransition() {
    if (previousClasses.isEmpty()) {
      return null;
    }
    previousClasses = Map.of();
    return settings;
  }

  /**
   * The class that a request of this name, method and key falls under; null where there is none.
   */
  Settings.RequestClass resolve(String name, HttpMethod method, boolean keyed) {
    Settings.RequestClass current = classes.get(name);
    Settings.RequestClass previous = previousClasses.get(name);
    if (previous == null) {
      return current;
    }
    if (current == null) {
      return previous;
    }
    boolean oldForm = matchesForm(previous, method, keyed) && !matchesForm(current, method, keyed);
    return oldForm ? previous : current;
  }

  /** Whether a request of a class comes by this method, with its key where it needs one. */
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
