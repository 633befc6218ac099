package leadferry.loadbalancer;

/**
 * Limits the requests to an endpoint that is warming up. Such an endpoint gets requests only while
 * this proxy has credit for it. Credit is counted in requests. Each proxy earns credit for an
 * endpoint at this rate: its own mean rate per endpoint, times the share of its capacity that the
 * endpoint has reached, times the overload multiple of the settings, times {@link #USED_SHARE}. The
 * sum over all proxies thus stays within the limit without coordination.
 *
 * <p>An endpoint in this proxy's subset is shared with few proxies. It gets the load that those
 * proxies would otherwise have spread over all endpoints. The mean rate counts requests that
 * endpoints serve rather than requests that clients send, because client retries multiply in an
 * overload.
 */
final class SlowStartBudget {
  /** Share of the overload multiple up to which all proxies together load a warming endpoint. */
  private static final double USED_SHARE = 0.5;

  private final LiveSettings settings;
  private final ArrivalRate arrivals;

  SlowStartBudget(LoadBalancerContext context) {
    this.settings = context.settings;
    this.arrivals = context.arrivals;
  }

  /**
   * Returns whether the endpoint is warm or has credit.
   *
   * @param endpointCount the number of endpoints that share this proxy's load
   */
  boolean canSend(Endpoint endpoint, int endpointCount, double nowMillis) {
    double capacityShare = capacityShare(endpoint, nowMillis);
    return capacityShare >= 1 || hasCredit(endpoint, capacityShare, endpointCount, nowMillis);
  }

  /**
   * Records that a request is sent to the endpoint, which uses credit while the endpoint warms up.
   */
  void onSend(Endpoint endpoint, double nowMillis) {
    endpoint.credit -= capacityShare(endpoint, nowMillis) < 1 ? 1 : 0;
  }

  private boolean hasCredit(
      Endpoint endpoint, double capacityShare, int endpointCount, double nowMillis) {
    Settings.WarmUpRules warmUpRules = settings.current().warmUpRules();
    double meanPerMilli = arrivals.servedPerMilli(nowMillis) / Math.max(1, endpointCount);
    double earned =
        USED_SHARE
            * warmUpRules.overloadMultiple()
            * capacityShare
            * meanPerMilli
            * (nowMillis - endpoint.creditAtMillis);
    endpoint.creditAtMillis = nowMillis;
    double maxCredit = 1 + meanPerMilli * warmUpRules.overloadWindowMillis() / 2;
    endpoint.credit = Math.min(endpoint.credit + earned, maxCredit);
    return endpoint.credit >= 1;
  }

  /**
   * Returns the capacity that the endpoint has at least now, as a share of its full capacity; 1 if
   * it is warm.
   */
  private double capacityShare(Endpoint endpoint, double nowMillis) {
    double ageMillis = nowMillis - endpoint.onlineSinceMillis;
    double warmUpMillis = settings.current().warmUpRules().warmUpMillis();
    if (endpoint.onlineSinceMillis <= 0 || ageMillis >= warmUpMillis) {
      return 1;
    }
    double initialShare = settings.current().warmUpRules().initialCapacityShare();
    return initialShare + (1 - initialShare) * Math.max(0, ageMillis) / warmUpMillis;
  }
}
