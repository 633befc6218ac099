package leadferry.loadbalancer;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Is an endpoint an outlier, to be ejected? It is after too large a share of failures. It stays out
 * for a growing time, then is half-open: one request at a time until one is answered.
 */
final class OutlierDetector {
  /** Smoothed share of failures that ejects: three in a row, or half of the last few. */
  private static final double EJECTION_FAILURE_RATE = 0.48;

  /** Smoothing of that share: about the last five outcomes. */
  private static final double FAILURE_SMOOTHING = 0.2;

  /** Share of the endpoints that may be ejected at once: about what breaks together. */
  private static final double MAX_EJECTED_SHARE = 0.4;

  /** The longest ejection. */
  private static final double MAX_EJECTION_OBJECTIVES = 20;

  private final LiveSettings settings;
  private final EndpointTable endpoints;
  private final PendingResponseTracker pendingResponses;
  private final FailurePenalty penalty;
  private final SplittableRandom random;
  private final LoadBalancerActions actions;

  OutlierDetector(LoadBalancerContext context) {
    this.settings = context.settings;
    this.endpoints = context.endpoints;
    this.pendingResponses = context.pendingResponses;
    this.penalty = context.penalty;
    this.random = context.random;
    this.actions = context.actions;
  }

  /**
   * Whether the endpoint may get a request: not while ejected, one at a time on trial, and not
   * while silent for longer than {@code allowedMillis}.
   */
  boolean isAvailable(Endpoint endpoint, double allowedMillis, double nowMillis) {
    if (nowMillis < endpoint.ejection.ejectedUntilMillis) {
      return false;
    }
    if (endpoint.ejection.isHalfOpen) {
      return endpoint.inFlight == 0;
    }
    return !pendingResponses.isSilent(endpoint, allowedMillis, nowMillis);
  }

  /** The endpoint has served a request. */
  void onSuccess(Endpoint endpoint) {
    endpoint.failureRate -= FAILURE_SMOOTHING * endpoint.failureRate;
    if (endpoint.ejection.isHalfOpen) {
      endpoint.failureRate = 0;
      readmit(endpoint);
    }
  }

  /** The endpoint has failed a request, or never answered it. */
  void onFailure(Endpoint endpoint, double nowMillis) {
    endpoint.failureRate += FAILURE_SMOOTHING * (1 - endpoint.failureRate);
    penalty.onFailure(endpoint, nowMillis);
    if (nowMillis >= endpoint.ejection.ejectedUntilMillis
        && (endpoint.ejection.isHalfOpen || endpoint.failureRate >= EJECTION_FAILURE_RATE)
        && canEjectAnother(nowMillis)) {
      eject(endpoint, nowMillis);
    }
  }

  /** The endpoint turned a request away as full: it is penalized, but not held to be failing. */
  void onOverloaded(Endpoint endpoint, double nowMillis) {
    penalty.onFailure(endpoint, nowMillis);
    if (endpoint.ejection.isHalfOpen) {
      readmit(endpoint);
    }
  }

  /**
   * Other proxies found the endpoint silent: it is left out for so long. With 0 they found that it
   * answers: it is taken back as if it had answered here.
   */
  void onGossip(Endpoint endpoint, double ejectionMillis, double nowMillis) {
    boolean isApplicable =
        ejectionMillis > 0 ? canEjectAnother(nowMillis) : endpoint.ejection.isHalfOpen;
    if (!isApplicable) {
      return;
    }
    EjectionBackoff ejection = endpoint.ejection;
    ejection.ejectedUntilMillis =
        ejectionMillis > 0
            ? Math.max(ejection.ejectedUntilMillis, nowMillis + ejectionMillis)
            : nowMillis;
    ejection.isHalfOpen = true;
    if (ejectionMillis == 0) {
      endpoint.failureRate = 0;
      penalty.clear(endpoint);
      readmit(endpoint);
    }
  }

  // Guards against an overload that is taken for outliers: the few left would get all the load.
  private boolean canEjectAnother(double nowMillis) {
    List<Endpoint> ready = endpoints.readyEndpoints();
    int ejected = 0;
    for (int i = 0; i < ready.size(); i++) {
      ejected += nowMillis < ready.get(i).ejection.ejectedUntilMillis ? 1 : 0;
    }
    return 1 + ejected <= Math.max(1, MAX_EJECTED_SHARE * ready.size());
  }

  private void readmit(Endpoint endpoint) {
    endpoint.ejection.isHalfOpen = false;
    actions.log("host " + endpoint.id + " readmitted");
  }

  private void eject(Endpoint endpoint, double nowMillis) {
    if (!endpoint.ejection.isHalfOpen) {
      actions.log("host " + endpoint.id + " ejected");
    }
    endpoint.ejection.eject(
        nowMillis, settings.shortestObjectiveMillis(), MAX_EJECTION_OBJECTIVES, random);
  }
}
