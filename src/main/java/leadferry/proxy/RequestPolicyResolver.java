package leadferry.proxy;

import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
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

  /** Policies by class name: those of the current settings, then of replaced ones, newest first. */
  private final Deque<Map<String, RequestPolicy>> versions = new ArrayDeque<>();

  RequestPolicyResolver(Settings first) {
    versions.addFirst(first.policies());
  }

  /** Replaces the settings. */
  void replaceSettings(Settings next) {
    versions.addFirst(next.policies());
  }

  /** Drops the settings that were replaced first of all that are still respected. */
  void dropOldestReplaced() {
    versions.removeLast();
  }

  /** Whether any settings have a class of this name. */
  boolean isKnown(String name) {
    return versions.stream().anyMatch(policies -> policies.containsKey(name));
  }

  /**
   * Returns the policy of a request with this class name, method and key, or null if no class of
   * this name has its form.
   */
  RequestPolicy resolve(String name, HttpMethod method, boolean keyed) {
    RequestPolicy resolved = null;
    for (Map<String, RequestPolicy> policies : versions) {
      RequestPolicy policy = policies.get(name);
      if (policy != null && matchesForm(policy.requestClass(), method, keyed)) {
        resolved = resolved == null ? policy : resolved.strictest(policy);
      }
    }
    return resolved;
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
