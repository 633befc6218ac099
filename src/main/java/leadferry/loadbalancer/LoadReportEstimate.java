package leadferry.loadbalancer;

/**
 * How many requests an endpoint holds: our own in flight, and those of other proxies as it last
 * reported. A report fades towards the mean of all endpoints as it grows old.
 */
final class LoadReportEstimate {
  /** Held requests from which an endpoint is taken to have a queue, whatever its cores. */
  static final double QUEUE_THRESHOLD = 6;

  /** Time constant at which a report fades towards the mean of all; older, it tells nothing. */
  private static final double DECAY_OBJECTIVES = 7.5;

  /** Time constant at which the mean of all follows newer reports. */
  private static final double MEAN_MEMORY_OBJECTIVES = 2;

  /** Least and most weight of a report in the mean. */
  private static final double MIN_WEIGHT = 0.02;

  private static final double MAX_WEIGHT = 0.3;

  /** A report younger than this says more of an endpoint than recent response times. */
  private static final double FRESH_OBJECTIVES = 0.5;

  /** A report of more than this many times a queue over the mean is cut to that. */
  private static final double MAX_PLAUSIBLE_MULTIPLE = 4;

  private final LiveSettings settings;
  private double meanOthersInFlight;
  private double lastReportMillis = Double.NEGATIVE_INFINITY;

  LoadReportEstimate(LiveSettings settings) {
    this.settings = settings;
  }

  /**
   * The endpoint has reported its load.
   *
   * <p>Guards against an overload that is our own echo: late reports count requests of ours that
   * are gone, so only what is over our own peak counts as the others'. It reads too little where
   * others come and go with us. No single report counts for far more than endpoints are known to
   * hold.
   */
  void onReport(Endpoint endpoint, LoadReport report, double nowMillis) {
    if (endpoint == null || report == null || Double.isNaN(report.heldRequests())) {
      return;
    }
    double maxOthers = MAX_PLAUSIBLE_MULTIPLE * (meanOthersInFlight + QUEUE_THRESHOLD);
    endpoint.othersInFlight =
        Math.min(maxOthers, Math.max(0, report.heldRequests() - ownPeak(endpoint, nowMillis)));
    // A proxy with few responses weighs each one more: its mean would be older than the reports
    // that it stands in for.
    double meanMemoryMillis = MEAN_MEMORY_OBJECTIVES * settings.shortestObjectiveMillis();
    double weight =
        Math.min(
            MAX_WEIGHT, Math.max(MIN_WEIGHT, (nowMillis - lastReportMillis) / meanMemoryMillis));
    endpoint.reportedAtMillis = nowMillis;
    lastReportMillis = nowMillis;
    meanOthersInFlight += weight * (endpoint.othersInFlight - meanOthersInFlight);
  }

  /** To be called after an attempt has begun at the endpoint, and before one ends there. */
  void updateOwnPeak(Endpoint endpoint, double nowMillis) {
    endpoint.ownInFlightPeak = ownPeak(endpoint, nowMillis);
    endpoint.ownInFlightPeakAtMillis = nowMillis;
  }

  /** The recent peak of own requests at the endpoint, which late reports may still count. */
  private double ownPeak(Endpoint endpoint, double nowMillis) {
    return Math.max(
        endpoint.inFlight,
        endpoint.ownInFlightPeak
            * Math.exp(
                -(nowMillis - endpoint.ownInFlightPeakAtMillis)
                    / settings.shortestObjectiveMillis()));
  }

  /** Whether any endpoint reports its load. */
  boolean hasReports() {
    return lastReportMillis >= 0;
  }

  /** Requests the endpoint holds, ours and others'. */
  double heldRequests(Endpoint endpoint, double nowMillis) {
    double freshness =
        Math.exp(
            -(nowMillis - endpoint.reportedAtMillis)
                / (DECAY_OBJECTIVES * settings.shortestObjectiveMillis()));
    return endpoint.inFlight
        + meanOthersInFlight
        + freshness * (endpoint.othersInFlight - meanOthersInFlight);
  }

  /** The same where the last report is not too old, else our own requests alone. */
  double heldRequestsByRecentReport(Endpoint endpoint, double nowMillis) {
    // An endpoint that nobody sends to would stay crowded by its last report for ever.
    boolean isStale =
        nowMillis - endpoint.reportedAtMillis
            > (DECAY_OBJECTIVES * settings.shortestObjectiveMillis());
    return isStale ? endpoint.inFlight : heldRequests(endpoint, nowMillis);
  }

  /** Whether the endpoint has just reported that it has room at once. */
  boolean isIdle(Endpoint endpoint, double nowMillis) {
    return nowMillis - endpoint.reportedAtMillis
            < FRESH_OBJECTIVES * settings.shortestObjectiveMillis()
        && heldRequests(endpoint, nowMillis) < QUEUE_THRESHOLD / 2;
  }

  /** Whether reports tell of no queue there; where they are old, those of all endpoints do. */
  boolean hasRoom(Endpoint endpoint, double nowMillis) {
    return hasReports() && heldRequests(endpoint, nowMillis) < QUEUE_THRESHOLD;
  }
}
