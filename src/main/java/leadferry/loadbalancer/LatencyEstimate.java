package leadferry.loadbalancer;

/** How long a class of requests takes: mean response time and mean deviation, in milliseconds. */
final class LatencyEstimate {
  /** Until responses come, they are assumed to take this share of the latency objective. */
  private static final double INITIAL_OBJECTIVE_SHARE = 0.25;

  /** Least weight of a response: about the last twenty count. */
  private static final double MIN_WEIGHT = 0.05;

  /** The first responses weigh less than all by this many assumed ones. */
  private static final int PRIOR_SAMPLES = 4;

  /** An attempt is overdue this many mean deviations past the mean: repeating wastes its work. */
  private static final double OVERDUE_DEVIATIONS = 5;

  final Settings.RequestClass requestClass;
  private double meanMillis;
  private double deviationMillis;
  private int sampleCount;

  /**
   * Begins with what was learnt before.
   *
   * @param previous the estimate for the class of that name under the settings before, or null
   */
  LatencyEstimate(Settings.RequestClass requestClass, LatencyEstimate previous) {
    this.requestClass = requestClass;
    if (previous == null) {
      this.meanMillis = requestClass.latencyObjectiveMillis() * INITIAL_OBJECTIVE_SHARE;
      this.deviationMillis = meanMillis;
    } else {
      this.meanMillis = previous.meanMillis;
      this.deviationMillis = previous.deviationMillis;
      this.sampleCount = previous.sampleCount;
    }
  }

  /** A response has come after so long. */
  void onResponse(double spentMillis) {
    sampleCount++;
    double weight = Math.max(1.0 / (sampleCount + PRIOR_SAMPLES), MIN_WEIGHT);
    deviationMillis += weight * (Math.abs(spentMillis - meanMillis) - deviationMillis);
    meanMillis += weight * (spentMillis - meanMillis);
  }

  double meanMillis() {
    return meanMillis;
  }

  /** Past this an attempt is overdue, at an endpoint of mean speed. */
  double overdueAfterMillis() {
    return meanMillis + OVERDUE_DEVIATIONS * deviationMillis;
  }

  /** Silence of an endpoint past this is held against it: what comes after the aim is useless. */
  double silentAfterMillis() {
    return Math.min(requestClass.latencyObjectiveMillis(), overdueAfterMillis());
  }
}
