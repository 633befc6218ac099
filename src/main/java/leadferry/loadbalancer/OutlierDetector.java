package leadferry.loadbalancer;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Detects failing endpoints and ejects them. An endpoint is ejected when its failure rate is too
 * high. Each consecutive ejection is longer. After an ejection, the endpoint is half-open: it gets
 * one request at a time until it responds to one.
 */
final class OutlierDetector {
  /**
   * Smoothed failure rate that causes an ejection: three failures in a row, or half of the last few
   * outcomes.
   */
  private static final double EJECTION_FAILURE_RATE = 0.48;

  /** Smoothing factor of the failure rate: covers about the last five outcomes. */
  private static final double FAILURE_SMOOTHING = 0.2;

  /**
   * Maximum share of the endpoints that may be ejected at the same time: about as many as usually
   * fail together.
   */
  private static final double MAX_EJECTED_SHARE = 0.4;

  /** Longest ejection, in shortest latency objectives. */
  private static final double MAX_EJECTION_OBJECTIVES = 20;

  private final LiveSettings settings;
  private final EndpointTable endpoints;
  private final PendingResponseTracker pendingResponses;
  private final FailurePenalty failurePenalty;
  private final SplittableRandom random;
  private final LoadBalancerActions actions;

  OutlierDetector(LoadBalancerContext context) {
    this.settings = context.settings;
    this.endpoints = context.endpoints;
    this.pendingResponses = context.pendingResponses;
    this.failurePenalty = context.penalty;
    this.random = context.random;
    this.actions = context.actions;
  }

  /**
   * Returns whether the endpoint may get a request. It may not while ejected. While half-open, it
   * gets one request at a time. Otherwise, it must not be silent for longer than {@code
   * allowedSilenceMillis}.
   */
  boolean isAvailable(Endpoint endpoint, double allowedSilenceMillis, double nowMillis) {
    if (nowMillis < endpoint.ejection.ejectedUntilMillis) {
      return false;
    }
    if (endpoint.ejection.isHalfOpen) {
      return endpoint.inFlight == 0;
    }
    return !pendingResponses.isSilent(endpoint, allowedSilenceMillis, nowMillis);
  }

  /** Records that the endpoint has served a request. */
  void onSuccess(Endpoint endpoint) {
    endpoint.failureRate -= FAILURE_SMOOTHING * endpoint.failureRate;
    if (endpoint.ejection.isHalfOpen) {
      endpoint.failureRate = 0;
      readmit(endpoint);
    }
  }

  /** Records that the endpoint failed a request or never responded to it. */
  void onFailure(Endpoint endpoint, double nowMillis) {
    endpoint.failureRate += FAILURE_SMOOTHING * (1 - endpoint.failureRate);
    failurePenalty.onFailure(endpoint, nowMillis);
    if (nowMillis >= endpoint.ejection.ejectedUntilMillis
        && (endpoint.ejection.isHalfOpen || endpoint.failureRate >= EJECTION_FAILURE_RATE)
        && canEjectAnother(nowMillis)) {
      eject(endpoint, nowMillis);
    }
  }

  /**
   * Records that the endpoint rejected a request as full. The endpoint gets a penalty, but the
   * rejection does not count as a failure.
   */
  void onOverloaded(Endpoint endpoint, double nowMillis) {
    failurePenalty.onFailure(endpoint, nowMillis);
    if (endpoint.ejection.isHalfOpen) {
      readmit(endpoint);
    }
  }

  /**
   * Applies a hint of other proxies about the endpoint.
   *
   * @param ejectionMillis how long the silent endpoint gets no requests; 0 if other proxies got a
   *     response, which readmits the endpoint as a response to this proxy does
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
      failurePenalty.clear(endpoint);
      readmit(endpoint);
    }
  }

  // Guards against an overload that looks like many outliers: the few endpoints left would get all
  // the load.
  private boolean canEjectAnother(double nowMillis) {
    List<Endpoint> ready = endpoints.readyEndpoints();
    int ejectedCount = 0;
    for (int i = 0; i < ready.size(); i++) {
      ejectedCount += nowMillis < ready.get(i).ejection.ejectedUntilMillis ? 1 : 0;
    }
    return 1 + ejectedCount <= Math.max(1, MAX_EJECTED_SHARE * ready.size());
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
