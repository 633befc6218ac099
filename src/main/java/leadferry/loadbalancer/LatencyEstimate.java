package leadferry.loadbalancer;

/** Estimates the mean response time of a request class and its mean deviation, in milliseconds. */
final class LatencyEstimate {
  /** Initial mean response time as a share of the latency objective. */
  private static final double INITIAL_OBJECTIVE_SHARE = 0.25;

  /** Minimum weight of a response: the mean covers about the last 20 responses. */
  private static final double MIN_WEIGHT = 0.05;

  /** Number of assumed earlier responses. It limits the weight of the first responses. */
  private static final int PRIOR_SAMPLES = 4;

  /**
   * An attempt is overdue when it exceeds the mean by this many mean deviations. Repeating it
   * earlier would waste the work already done.
   */
  private static final double OVERDUE_DEVIATIONS = 5;

  private double meanMillis;
  private double deviationMillis;
  private int sampleCount;

  /** Creates the estimate of a class with this latency objective, before its first response. */
  LatencyEstimate(double latencyObjectiveMillis) {
    this.meanMillis = latencyObjectiveMillis * INITIAL_OBJECTIVE_SHARE;
    this.deviationMillis = meanMillis;
  }

  /** Records a response that took {@code spentMillis}. */
  void onResponse(double spentMillis) {
    sampleCount++;
    double weight = Math.max(1.0 / (sampleCount + PRIOR_SAMPLES), MIN_WEIGHT);
    deviationMillis += weight * (Math.abs(spentMillis - meanMillis) - deviationMillis);
    meanMillis += weight * (spentMillis - meanMillis);
  }

  double meanMillis() {
    return meanMillis;
  }

  /**
   * Returns the time in milliseconds after which an attempt at an endpoint of mean speed is
   * overdue.
   */
  double overdueAfterMillis() {
    return meanMillis + OVERDUE_DEVIATIONS * deviationMillis;
  }

  /**
   * Returns the time in milliseconds after which a missing response counts as silence of the
   * endpoint. It is at most the latency objective of the request, because a later response is of no
   * use.
   */
  double silentAfterMillis(double latencyObjectiveMillis) {
    return Math.min(latencyObjectiveMillis, overdueAfterMillis());
  }
}
