package leadferry.loadbalancer;

import java.util.SplittableRandom;

/**
 * Decides whether a new request is admitted or shed.
 *
 * <p>Requests that cannot be served in time are shed. As pressure rises, requests are shed at
 * random, those with the lowest priority weight first. A request is always shed if the queue at the
 * endpoint chosen for it would delay it too long to be useful: late work would take the place of
 * work that can still be in time.
 *
 * <p>The decision has two steps because the random draw precedes the choice of the endpoint: {@link
 * #onArrival}, then {@link #shouldAdmit} with the endpoint.
 */
final class AdmissionController {
  /**
   * Maximum probability with which pressure sheds a request. The remaining requests detect the end
   * of the overload.
   */
  private static final double MAX_SHED_SHARE = 0.9;

  /**
   * Lower bound of the weighted value of a request (priority weight times value of its class),
   * relative to the mean value of all requests. Keeps requests of low value from all being shed at
   * once.
   */
  private static final double MIN_RELATIVE_WEIGHT = 0.2;

  /** Smoothing factor of the mean value of a request: covers about the last 50 requests. */
  private static final double VALUE_SMOOTHING = 0.02;

  private final PressureEstimate pressure;
  private final TenantQuotas tenantQuotas;
  private final ArrivalRate arrivals;
  private final LoadReportEstimate loadReports;
  private final QueueDelayEstimate queueDelay;
  private final SplittableRandom random;
  private final LoadBalancerActions actions;
  private double meanValue;

  /**
   * Whether the start of the current overload has been logged. The start is logged at pressure 0.7,
   * the end below 0.2. Pressure from 0.4 to 0.7 sheds some load without a log line.
   */
  private boolean isOverloadLogged;

  AdmissionController(LoadBalancerContext context, TenantQuotas tenantQuotas) {
    this.pressure = context.pressure;
    this.tenantQuotas = tenantQuotas;
    this.arrivals = context.arrivals;
    this.loadReports = context.loadReports;
    this.queueDelay = context.queueDelay;
    this.random = context.random;
    this.actions = context.actions;
  }

  /** Counts a new request, computes its priority weight and draws whether pressure sheds it. */
  void onArrival(RequestState request, String tenant, double nowMillis) {
    tenantQuotas.onArrival(tenant, nowMillis);
    arrivals.onArrival(nowMillis);
    meanValue += VALUE_SMOOTHING * (request.requestClass().value() - meanValue);
    request.priorityWeight = tenantQuotas.priorityWeight(tenant);
    request.isDrawnForShedding = shouldShedByPressure(request, nowMillis);
  }

  /**
   * Returns whether the request may be sent to {@code endpoint}, which is null if none was chosen.
   */
  boolean shouldAdmit(RequestState request, Endpoint endpoint, double nowMillis) {
    if (request.isDrawnForShedding) {
      // Guards against an overload estimate that outlives the overload: an endpoint known to be
      // idle admits the request.
      boolean isAdmitted = endpoint != null && loadReports.isIdle(endpoint, nowMillis);
      if (!isAdmitted) {
        arrivals.onOutcome(false);
      }
      return isAdmitted;
    }
    return endpoint != null && !queueDelay.isQueueTooLong(request, endpoint, nowMillis);
  }

  private boolean shouldShedByPressure(RequestState request, double nowMillis) {
    double excess = pressure.shedExcess(nowMillis);
    boolean hasChanged =
        isOverloadLogged ? pressure.hasRecovered(nowMillis) : PressureEstimate.isOverload(excess);
    if (hasChanged) {
      isOverloadLogged = !isOverloadLogged;
      actions.log(isOverloadLogged ? "overload: refusing early" : "overload over");
    }
    if (excess <= 0) {
      return false;
    }
    double value = request.priorityWeight * request.requestClass().value();
    double relativeWeight = meanValue > 0 ? Math.max(MIN_RELATIVE_WEIGHT, value / meanValue) : 1;
    return random.nextDouble() < Math.min(MAX_SHED_SHARE, excess / relativeWeight);
  }
}
