package leadferry.proxy;

import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import leadferry.loadbalancer.RequestPolicy;
import leadferry.loadbalancer.Settings;

/**
 * Resolves the policy of a request when its head arrives. For a while after a change of settings,
 * it respects the replaced settings as well, because clients follow the change later.
 *
 * <pre>
 *   SIGHUP, reload                      clients use the new settings  replaced settings dropped
 *   |--------- replaced and new settings are respected ------|---------------|
 *   0                                                      1.2 s           2.5 s
 * </pre>
 *
 * <p>Method and key define the form of a request: safe ({@code GET}), keyed or neither. A request
 * gets the class whose form it has. Where its form fits both the class of the replaced settings and
 * that of the new ones, it can't be told which of them the client uses, and only what both allow is
 * allowed. Guards against an effect that happens twice: a group of keys that the new settings widen
 * is not shared yet.
 */
final class RequestPolicyResolver {
  /** Time for which replaced settings are respected. */
  static final long TRANSITION_MILLIS = 2_500;

  private final Deque<Settings> replacedSettings = new ArrayDeque<>();
  private Settings current;

  RequestPolicyResolver(Settings first) {
    current = first;
  }

  /** Replaces the settings. */
  void replaceSettings(Settings next) {
    replacedSettings.addLast(current);
    current = next;
  }

  /** Drops the settings that were replaced first of all that are still respected. */
  void dropOldestReplaced() {
    replacedSettings.removeFirst();
  }

  /** Whether any settings have a class of this name. */
  boolean isKnown(String name) {
    return !declarations(name).isEmpty();
  }

  /**
   * Returns the policy of a request with this class name, method and key, or null if no class of
   * this name has its form.
   */
  RequestPolicy resolve(String name, HttpMethod method, boolean keyed) {
    RequestPolicy policy = null;
    for (RequestPolicy declared : declarations(name)) {
      if (matchesForm(declared.requestClass(), method, keyed)) {
        policy = policy == null ? declared : policy.strictest(declared);
      }
    }
    return policy;
  }

  /** Returns the policies of the classes with this name, those of the current settings first. */
  private List<RequestPolicy> declarations(String name) {
    List<RequestPolicy> found = new ArrayList<>(1);
    addDeclaration(name, current, found);
    for (Settings replaced : replacedSettings) {
      addDeclaration(name, replaced, found);
    }
    return found;
  }

  private static void addDeclaration(String name, Settings settings, List<RequestPolicy> found) {
    for (Settings.RequestClass requestClass : settings.classes()) {
      if (requestClass.name().equals(name)) {
        found.add(RequestPolicy.of(requestClass, settings.limits()));
      }
    }
  }

  /** Whether a request has the method of the class, and a key if the class needs one. */
  private static boolean matchesForm(
      Settings.RequestClass requestClass, HttpMethod method, boolean keyed) {
    Settings.Semantics semantics = requestClass.semantics();
    HttpMethod expected =
        semantics == Settings.Semantics.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST;
    boolean keyMissing = semantics == Settings.Semantics.DEDUPLICATED && !keyed;
    return method.equals(expected) && !keyMissing;
  }
}
