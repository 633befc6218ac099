package leadferry.loadbalancer;

/**
 * How many requests an endpoint holds: our own in flight, and those of other proxies as it last
 * reported. A report fades towards the mean of all endpoints as it grows old.
 */
final class LoadReportEstimate {
  /** Held requests from which an endpoint is taken to have a queue, whatever its cores. */
  static final double QUEUE_FROM = 6;

  /** Time constant at which a report fades towards the mean of all; older, it tells nothing. */
  private static final double FADE_AIMS = 7.5;

  /** Time constant at which the mean of all follows newer reports. */
  private static final double MEAN_MEMORY_AIMS = 2;

  /** Least and most weight of a report in the mean. */
  private static final double LEAST_WEIGHT = 0.02;

  private static final double MOST_WEIGHT = 0.3;

  /** A report younger than this says more of an endpoint than recent response times. */
  private static final double FRESH_AIMS = 0.5;

  /** A report of more than this many times a queue over the mean is cut to that. */
  private static final double PLAUSIBLE_MULTIPLE = 4;

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
    if (endpoint == null || report == null || Double.isNaN(report.held())) {
      return;
    }
    double most = PLAUSIBLE_MULTIPLE * (meanOthersInFlight + QUEUE_FROM);
    endpoint.othersInFlight =
        Math.min(most, Math.max(0, report.held() - ownPeak(endpoint, nowMillis)));
    // A proxy with few responses weighs each one more: its mean would be older than the reports
    // that it stands in for.
    double meanMemoryMillis = MEAN_MEMORY_AIMS * settings.shortestAimMillis();
    double weight =
        Math.min(
            MOST_WEIGHT, Math.max(LEAST_WEIGHT, (nowMillis - lastReportMillis) / meanMemoryMillis));
    endpoint.reportedAtMillis = nowMillis;
    lastReportMillis = nowMillis;
    meanOthersInFlight += weight * (endpoint.othersInFlight - meanOthersInFlight);
  }

  /** To be called after an attempt has begun at the endpoint, and before one ends there. */
  void noteOwnPeak(Endpoint endpoint, double nowMillis) {
    endpoint.ownPeak = ownPeak(endpoint, nowMillis);
    endpoint.ownPeakAtMillis = nowMillis;
  }

  /** The recent peak of own requests at the endpoint, which late reports may still count. */
  private double ownPeak(Endpoint endpoint, double nowMillis) {
    return Math.max(
        endpoint.inFlight,
        endpoint.ownPeak
            * Math.exp(-(nowMillis - endpoint.ownPeakAtMillis) / settings.shortestAimMillis()));
  }

  /** Whether any endpoint reports its load. */
  boolean hasReports() {
    return lastReportMillis >= 0;
  }

  /** Requests the endpoint holds, ours and others'. */
  double held(Endpoint endpoint, double nowMillis) {
    double freshness =
        Math.exp(
            -(nowMillis - endpoint.reportedAtMillis) / (FADE_AIMS * settings.shortestAimMillis()));
    return endpoint.inFlight
        + meanOthersInFlight
        + freshness * (endpoint.othersInFlight - meanOthersInFlight);
  }

  /** The same where the last report is not too old, else our own requests alone. */
  double heldByRecentReport(Endpoint endpoint, double nowMillis) {
    // An endpoint that nobody sends to would stay crowded by its last report for ever.
    boolean old =
        nowMillis - endpoint.reportedAtMillis > (FADE_AIMS * settings.shortestAimMillis());
    return old ? endpoint.inFlight : held(endpoint, nowMillis);
  }

  /** Whether the endpoint has just reported that it has room at once. */
  boolean isIdle(Endpoint endpoint, double nowMillis) {
    return nowMillis - endpoint.reportedAtMillis < FRESH_AIMS * settings.shortestAimMillis()
        && held(endpoint, nowMillis) < QUEUE_FROM / 2;
  }

  /** Whether reports tell of no queue there; where they are old, those of all endpoints do. */
  boolean hasRoom(Endpoint endpoint, double nowMillis) {
    return hasReports() && held(endpoint, nowMillis) < QUEUE_FROM;
  }
}
