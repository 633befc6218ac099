package leadferry.loadbalancer;

import java.util.SplittableRandom;

/**
 * Tracks which endpoints do not serve a request class. An endpoint is ejected for one class only,
 * if it rejects a request of that class as full or never responds to it although its load reports
 * show free capacity. Each consecutive ejection is longer.
 *
 * <p>Guards against endpoints that limit or lose one class. Ejecting the whole endpoint would
 * withdraw it from the classes that it serves well, and would overload the other endpoints.
 */
final class ClassEjections {
  /** Longest ejection of a class, in shortest latency objectives. A trial request costs little. */
  private static final double MAX_EJECTION_OBJECTIVES = 5;

  private final LiveSettings settings;
  private final SplittableRandom random;
  private final LoadBalancerActions actions;

  ClassEjections(LoadBalancerContext context) {
    this.settings = context.settings;
    this.random = context.random;
    this.actions = context.actions;
  }

  /**
   * Returns whether requests of the class may be sent to the endpoint. While half-open, the
   * endpoint gets one such request per latency objective of the class.
   */
  boolean isAvailable(Endpoint endpoint, Settings.RequestClass requestClass, double nowMillis) {
    EjectionBackoff ejection = endpoint.classEjections.get(requestClass.name());
    return ejection == null || nowMillis >= ejection.ejectedUntilMillis;
  }

  /** Ejects the endpoint for the class, which the endpoint refuses. */
  void eject(Endpoint endpoint, Settings.RequestClass requestClass, double nowMillis) {
    EjectionBackoff ejection =
        endpoint.classEjections.computeIfAbsent(requestClass.name(), name -> new EjectionBackoff());
    if (!ejection.isHalfOpen) {
      actions.log("host " + endpoint.id + " closed to " + requestClass.name());
    }
    ejection.eject(nowMillis, settings.shortestObjectiveMillis(), MAX_EJECTION_OBJECTIVES, random);
  }

  /** Records that a request of the class is sent to the endpoint. */
  void onSend(Endpoint endpoint, Settings.RequestClass requestClass, double nowMillis) {
    EjectionBackoff ejection = endpoint.classEjections.get(requestClass.name());
    if (ejection != null && ejection.isHalfOpen) {
      ejection.ejectedUntilMillis = nowMillis + requestClass.latencyObjectiveMillis();
    }
  }

  /** Records that the endpoint has served a request of the class. */
  void onSuccess(Endpoint endpoint, Settings.RequestClass requestClass, double nowMillis) {
    EjectionBackoff ejection = endpoint.classEjections.get(requestClass.name());
    if (ejection != null && ejection.isHalfOpen) {
      ejection.isHalfOpen = false;
      ejection.ejectedUntilMillis = nowMillis;
    }
  }
}
