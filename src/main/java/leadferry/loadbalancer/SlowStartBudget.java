package leadferry.loadbalancer;

/**
 * May an endpoint that is warming up get a request? It may while this proxy has credit for it: each
 * proxy lends it a share of its own mean rate an endpoint, as far as the endpoint's capacity while
 * warming up and the permitted multiple of a falling capacity allow, so the sum over all proxies
 * stays inside without agreement.
 *
 * <p>An endpoint of this proxy's subset is shared with few proxies, and gets what those would have
 * given to all others. What counts is what endpoints serve, not what clients ask for: their retries
 * multiply in an overload. Credit is counted in requests.
 */
final class SlowStartBudget {
  /** Share of the permitted multiple that all proxies together use on a warming endpoint. */
  private static final double USED_SHARE = 0.5;

  private final LiveSettings settings;
  private final ArrivalRate arrivals;

  SlowStartBudget(LoadBalancerContext context) {
    this.settings = context.settings;
    this.arrivals = context.arrivals;
  }

  /**
   * Whether the endpoint is warm, or has credit; {@code among} endpoints share this proxy's load.
   */
  boolean canSend(Endpoint endpoint, int endpointCount, double nowMillis) {
    double capacityShare = capacityShare(endpoint, nowMillis);
    return capacityShare >= 1 || hasCredit(endpoint, capacityShare, endpointCount, nowMillis);
  }

  /** A request goes to the endpoint: it uses credit up while the endpoint is warming up. */
  void onSend(Endpoint endpoint, double nowMillis) {
    endpoint.credit -= capacityShare(endpoint, nowMillis) < 1 ? 1 : 0;
  }

  private boolean hasCredit(
      Endpoint endpoint, double capacityShare, int endpointCount, double nowMillis) {
    Settings.WarmUpRules rules = settings.current().warmUpRules();
    double meanPerMilli = arrivals.servedPerMilli(nowMillis) / Math.max(1, endpointCount);
    double earned =
        USED_SHARE
            * rules.overloadMultiple()
            * capacityShare
            * meanPerMilli
            * (nowMillis - endpoint.creditAtMillis);
    endpoint.creditAtMillis = nowMillis;
    double maxCredit = 1 + meanPerMilli * rules.overloadWindowMillis() / 2;
    endpoint.credit = Math.min(endpoint.credit + earned, maxCredit);
    return endpoint.credit >= 1;
  }

  /** The least share of its capacity that an endpoint has now: 1 when warm. */
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
