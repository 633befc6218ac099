package leadferry.loadbalancer;

import java.util.SplittableRandom;

/**
 * Admit a new request, or shed it?
 *
 * <p>Shed is what cannot be answered in time: by chance as pressure rises, those of the lowest
 * priority weight first, and always where even the endpoint chosen has a queue longer than the
 * request is useful. Late work would take the place of work that still can be in time.
 *
 * <p>Asked in two steps, as chance is drawn before the endpoint is: {@link #onArrival}, then {@link
 * #shouldAdmit} with the endpoint.
 */
final class AdmissionController {
  /** The most of a mean class that is shed: the rest finds out when the overload is over. */
  private static final double MAX_SHED_SHARE = 0.9;

  /** Least priority weight against the mean: what is worth little is not all shed at once. */
  private static final double MIN_RELATIVE_WEIGHT = 0.2;

  /** Smoothing of the mean value of a request: about the last fifty. */
  private static final double VALUE_SMOOTHING = 0.02;

  private final PressureEstimate pressure;
  private final TenantQuotas quotas;
  private final ArrivalRate arrivals;
  private final LoadReportEstimate loadReports;
  private final QueueDelayEstimate queueDelay;
  private final SplittableRandom random;
  private final LoadBalancerActions actions;
  private double meanValue;

  /**
   * Whether the log line of an overload was written: from pressure 0.7 until below 0.2. Some load
   * is shed from 0.4 on without it.
   */
  private boolean overloadLogged;

  AdmissionController(LoadBalancerContext context, TenantQuotas quotas) {
    this.pressure = context.pressure;
    this.quotas = quotas;
    this.arrivals = context.arrivals;
    this.loadReports = context.loadReports;
    this.queueDelay = context.queueDelay;
    this.random = context.random;
    this.actions = context.actions;
  }

  /** Counts a request that has come, weighs it and draws whether pressure sheds it. */
  void onArrival(RequestState request, String tenant, double nowMillis) {
    quotas.onArrival(tenant, nowMillis);
    arrivals.onArrival(nowMillis);
    meanValue += VALUE_SMOOTHING * (request.requestClass().value() - meanValue);
    request.priorityWeight = quotas.priorityWeight(tenant);
    request.isDrawnForShedding = shouldShedByPressure(request, nowMillis);
  }

  /** Whether the request may begin at the endpoint that was chosen for it, null where none was. */
  boolean shouldAdmit(RequestState request, Endpoint endpoint, double nowMillis) {
    if (request.isDrawnForShedding) {
      // Guards against an overload that only memory holds up: known room at the endpoint admits.
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
        overloadLogged ? pressure.hasRecovered(nowMillis) : PressureEstimate.isOverload(excess);
    if (hasChanged) {
      overloadLogged = !overloadLogged;
      actions.log(overloadLogged ? "overload: refusing early" : "overload over");
    }
    if (excess <= 0) {
      return false;
    }
    double value = request.priorityWeight * request.requestClass().value();
    double relativeWeight = meanValue > 0 ? Math.max(MIN_RELATIVE_WEIGHT, value / meanValue) : 1;
    return random.nextDouble() < Math.min(MAX_SHED_SHARE, excess / relativeWeight);
  }
}
