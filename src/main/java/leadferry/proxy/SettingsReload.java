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
final class SettingsReload {
  /** How long (ms) requests of the old form are taken. */
  static final long OLD_FORM_MS = 2_500;

  /** No class of the platform's can be named so: it can't stand in a path. */
  private static final String FORMER = " (before)";

  private Settings settings;
  private Map<String, Settings.RequestClass> types = Map.of();
  private Map<String, Settings.RequestClass> former = Map.of();

  SettingsReload(Settings first) {
    settings = first;
    types = byName(first);
  }

  /** Takes other settings; returns those for the module, which know the former classes too. */
  Settings change(Settings next) {
    Map<String, Settings.RequestClass> were = types;
    Map<String, Settings.RequestClass> left = new HashMap<>();
    settings = next;
    types = byName(next);
    List<Settings.RequestClass> all = new ArrayList<>(next.classes());
    for (Settings.RequestClass c : were.values()) {
      Settings.RequestClass now = types.get(c.name());
      if (now == null || now.semantics() != c.semantics()) {
        Settings.RequestClass old = c.named(c.name() + FORMER);
        left.put(c.name(), old);
        all.add(old);
      }
    }
    former = left;
    return next.with(all);
  }

  /**
   * Forgets what was; returns the settings for the module from now on, or null if they are the
   * same.
   */
  Settings settled() {
    if (former.isEmpty()) {
      return null;
    }
    former = Map.of();
    return settings;
  }

  /**
   * The class that a request of this name, method and key falls under; null where there is none.
   */
  Settings.RequestClass of(String name, HttpMethod method, boolean keyed) {
    Settings.RequestClass now = types.get(name);
    Settings.RequestClass was = former.get(name);
    return was == null
            || (now != null && fits(now, method, keyed))
            || (now != null && !fits(was, method, keyed))
        ? now
        : was;
  }

  /** Whether a request of a class comes by this method, with its key where it needs one. */
  static boolean fits(Settings.RequestClass c, HttpMethod method, boolean keyed) {
    return method.equals(
            c.semantics() == Settings.Semantics.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST)
        && (keyed || c.semantics() != Settings.Semantics.DEDUPLICATED);
  }

  private static Map<String, Settings.RequestClass> byName(Settings s) {
    Map<String, Settings.RequestClass> all = new HashMap<>();
    for (Settings.RequestClass c : s.classes()) {
      all.put(c.name(), c);
    }
    return all;
  }
}
