package leadferry.loadbalancer;

/**
 * Estimates how many requests an endpoint holds: those of this proxy in flight, and those of other
 * proxies as last reported by the endpoint. As a report ages, the estimate decays towards the mean
 * of all endpoints, which is the mean number of other proxies' requests in recent reports.
 */
final class LoadReportEstimate {
  /** Held requests from which an endpoint is assumed to have a queue, regardless of its cores. */
  static final double QUEUE_THRESHOLD = 6;

  /**
   * Time constant, in shortest latency objectives, with which a report decays towards the mean of
   * all endpoints. A report older than this is ignored for queue delays.
   */
  private static final double DECAY_OBJECTIVES = 7.5;

  /**
   * Time constant, in shortest latency objectives, of the moving average that yields the mean of
   * all endpoints.
   */
  private static final double MEAN_MEMORY_OBJECTIVES = 2;

  /** Minimum weight of a report in the mean. */
  private static final double MIN_WEIGHT = 0.02;

  /** Maximum weight of a report in the mean. */
  private static final double MAX_WEIGHT = 0.3;

  /**
   * Age in shortest latency objectives below which a report is a better sign of the load of an
   * endpoint than recent response times.
   */
  private static final double FRESH_OBJECTIVES = 0.5;

  /**
   * Upper bound of the other proxies' requests taken from one report, as a multiple of the sum of
   * the mean of all endpoints and {@link #QUEUE_THRESHOLD}.
   */
  private static final double MAX_PLAUSIBLE_MULTIPLE = 4;

  private final LiveSettings settings;
  private double meanOthersInFlight;
  private double lastReportMillis = Double.NEGATIVE_INFINITY;

  LoadReportEstimate(LiveSettings settings) {
    this.settings = settings;
  }

  /**
   * Records a load report of an endpoint.
   *
   * <p>Guards against an overload estimate caused by this proxy's own load. A late report still
   * counts requests of this proxy that have ended, so only the excess over this proxy's own peak
   * counts as the load of others. The estimate is too low if the load of others rises and falls
   * together with that of this proxy. A single report is capped at a plausible value.
   */
  void onReport(Endpoint endpoint, LoadReport report, double nowMillis) {
    if (endpoint == null || report == null || Double.isNaN(report.heldRequests())) {
      return;
    }
    double maxOthers = MAX_PLAUSIBLE_MULTIPLE * (meanOthersInFlight + QUEUE_THRESHOLD);
    endpoint.othersInFlight =
        Math.min(maxOthers, Math.max(0, report.heldRequests() - ownPeak(endpoint, nowMillis)));
    // A proxy with few responses gives each report more weight. Otherwise, the mean would be older
    // than the reports that it replaces.
    double meanMemoryMillis = MEAN_MEMORY_OBJECTIVES * settings.shortestObjectiveMillis();
    double weight =
        Math.min(
            MAX_WEIGHT, Math.max(MIN_WEIGHT, (nowMillis - lastReportMillis) / meanMemoryMillis));
    endpoint.reportedAtMillis = nowMillis;
    lastReportMillis = nowMillis;
    meanOthersInFlight += weight * (endpoint.othersInFlight - meanOthersInFlight);
  }

  /**
   * Updates the peak of this proxy's requests at the endpoint. Must be called after an attempt
   * starts at the endpoint and before one ends there.
   */
  void updateOwnPeak(Endpoint endpoint, double nowMillis) {
    endpoint.ownInFlightPeak = ownPeak(endpoint, nowMillis);
    endpoint.ownInFlightPeakAtMillis = nowMillis;
  }

  /**
   * Returns the recent peak of this proxy's requests at the endpoint, which late reports may
   * include.
   */
  private double ownPeak(Endpoint endpoint, double nowMillis) {
    return Math.max(
        endpoint.inFlight,
        endpoint.ownInFlightPeak
            * Math.exp(
                -(nowMillis - endpoint.ownInFlightPeakAtMillis)
                    / settings.shortestObjectiveMillis()));
  }

  /** Returns whether any endpoint reports its load. */
  boolean hasReports() {
    return lastReportMillis >= 0;
  }

  /**
   * Returns the estimated number of requests that the endpoint holds, from this and other proxies.
   */
  double heldRequests(Endpoint endpoint, double nowMillis) {
    double freshness =
        Math.exp(
            -(nowMillis - endpoint.reportedAtMillis)
                / (DECAY_OBJECTIVES * settings.shortestObjectiveMillis()));
    return endpoint.inFlight
        + meanOthersInFlight
        + freshness * (endpoint.othersInFlight - meanOthersInFlight);
  }

  /**
   * Returns {@link #heldRequests} if the last report is recent, else only the requests of this
   * proxy.
   */
  double heldRequestsByRecentReport(Endpoint endpoint, double nowMillis) {
    // Otherwise, an endpoint that gets no requests would keep its last, crowded report forever.
    boolean isStale =
        nowMillis - endpoint.reportedAtMillis
            > (DECAY_OBJECTIVES * settings.shortestObjectiveMillis());
    return isStale ? endpoint.inFlight : heldRequests(endpoint, nowMillis);
  }

  /** Returns whether the endpoint has just reported that it has free capacity. */
  boolean isIdle(Endpoint endpoint, double nowMillis) {
    return nowMillis - endpoint.reportedAtMillis
            < FRESH_OBJECTIVES * settings.shortestObjectiveMillis()
        && heldRequests(endpoint, nowMillis) < QUEUE_THRESHOLD / 2;
  }

  /**
   * Returns whether reports indicate no queue at the endpoint. If its reports are old, the mean of
   * all endpoints is used.
   */
  boolean hasRoom(Endpoint endpoint, double nowMillis) {
    return hasReports() && heldRequests(endpoint, nowMillis) < QUEUE_THRESHOLD;
  }
}
