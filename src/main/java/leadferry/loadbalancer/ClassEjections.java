package leadferry.loadbalancer;

import java.util.SplittableRandom;

/**
 * Does an endpoint take requests of this class? Not where it turned one away, or never answered it,
 * with room to spare; then that class, and no other, is ejected there for a growing time.
 *
 * <p>Guards against endpoints that limit or lose one class: ejected as a whole they would lose the
 * classes that they serve as well, and the other endpoints would be overloaded.
 */
final class ClassEjections {
  /** The longest ejection of a class; a trial costs little. */
  private static final double MAX_EJECTION_OBJECTIVES = 5;

  private final LiveSettings settings;
  private final SplittableRandom random;
  private final LoadBalancerActions actions;

  ClassEjections(LoadBalancerContext context) {
    this.settings = context.settings;
    this.random = context.random;
    this.actions = context.actions;
  }

  /** Whether the class may be sent there; on trial, once in a latency objective of the class. */
  boolean isAvailable(Endpoint endpoint, Settings.RequestClass requestClass, double nowMillis) {
    EjectionBackoff ejection = endpoint.classEjections.get(requestClass.name());
    return ejection == null || nowMillis >= ejection.ejectedUntilMillis;
  }

  /** The endpoint refuses the class. */
  void eject(Endpoint endpoint, Settings.RequestClass requestClass, double nowMillis) {
    EjectionBackoff ejection =
        endpoint.classEjections.computeIfAbsent(requestClass.name(), name -> new EjectionBackoff());
    if (!ejection.isHalfOpen) {
      actions.log("host " + endpoint.id + " closed to " + requestClass.name());
    }
    ejection.eject(nowMillis, settings.shortestObjectiveMillis(), MAX_EJECTION_OBJECTIVES, random);
  }

  /** A request of the class goes to the endpoint. */
  void onSend(Endpoint endpoint, Settings.RequestClass requestClass, double nowMillis) {
    EjectionBackoff ejection = endpoint.classEjections.get(requestClass.name());
    if (ejection != null && ejection.isHalfOpen) {
      ejection.ejectedUntilMillis = nowMillis + requestClass.latencyObjectiveMillis();
    }
  }

  /** The endpoint has served a request of the class. */
  void onSuccess(Endpoint endpoint, Settings.RequestClass requestClass, double nowMillis) {
    EjectionBackoff ejection = endpoint.classEjections.get(requestClass.name());
    if (ejection != null && ejection.isHalfOpen) {
      ejection.isHalfOpen = false;
      ejection.ejectedUntilMillis = nowMillis;
    }
  }
}
