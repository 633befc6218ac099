package leadferry.loadbalancer;

/**
 * How close the upstream is to overload: recent response time as a share of the latency objective
 * (aim), from 0 to {@value #MAX_PRESSURE}. It fades while no responses come.
 *
 * <pre>
 *   0 ....... 0.4 ................ 0.7 ............. 1.0
 *             shedding begins      overloaded:       shedding is at its most
 *             no hedged requests   no retries
 * </pre>
 */
final class PressureEstimate {
  /** Pressure from which load is shed and no request is hedged. */
  private static final double SHED_THRESHOLD = 0.4;

  /** Pressure above that at which every request of mean priority would be shed. */
  private static final double SHED_SPAN = 0.6;

  /** Share of that span from which the upstream counts as overloaded. */
  private static final double OVERLOADED_SPAN_SHARE = 0.5;

  /** Pressure past which a retry would only feed the overload. */
  private static final double OVERLOADED_THRESHOLD =
      SHED_THRESHOLD + OVERLOADED_SPAN_SHARE * SHED_SPAN;

  /**
   * Below this share of {@link #SHED_THRESHOLD} an overload is over: a gap keeps it from flapping.
   */
  private static final double RECOVERED_SHARE = 0.5;

  /** Pressure from which endpoints of other zones are candidates too. */
  private static final double SPILL_THRESHOLD = 0.35;

  /** The most that one response can tell. */
  private static final double MAX_PRESSURE = 2;

  /** Least weight of a response: about the last ten count. */
  private static final double MIN_WEIGHT = 0.1;

  /** Most weight of a response: one alone proves no overload. */
  private static final double MAX_WEIGHT = 0.3;

  /** Responses further apart than a tenth of this weigh more, or an overload is noticed late. */
  private static final double MEMORY_OBJECTIVES = 7.5;

  /** Time constant at which pressure fades without responses: queues drain slowly. */
  private static final double DECAY_OBJECTIVES = 25;

  private final LiveSettings settings;
  private double pressure;
  private double updatedAtMillis;

  PressureEstimate(LiveSettings settings) {
    this.settings = settings;
  }

  /** A response has come after {@code elapsedMillis}, or none by then. */
  void onResponse(double elapsedMillis, double objectiveMillis, double nowMillis) {
    double gapMillis = nowMillis - updatedAtMillis;
    pressure = pressure(nowMillis);
    // A proxy with few requests weighs each one more, or it would learn of an overload after it.
    double weight =
        Math.min(
            MAX_WEIGHT,
            Math.max(
                MIN_WEIGHT, gapMillis / (MEMORY_OBJECTIVES * settings.shortestObjectiveMillis())));
    pressure += weight * (Math.min(MAX_PRESSURE, elapsedMillis / objectiveMillis) - pressure);
    updatedAtMillis = nowMillis;
  }

  /** How far into the span of shedding the pressure is: 0 or less where nothing is shed. */
  double shedExcess(double nowMillis) {
    return (pressure(nowMillis) - SHED_THRESHOLD) / SHED_SPAN;
  }

  /** Whether an excess of {@link #shedExcess} is an overload. */
  static boolean isOverload(double shedExcess) {
    return shedExcess > OVERLOADED_SPAN_SHARE;
  }

  boolean isOverloaded(double nowMillis) {
    return pressure(nowMillis) > OVERLOADED_THRESHOLD;
  }

  boolean hasRecovered(double nowMillis) {
    return pressure(nowMillis) < SHED_THRESHOLD * RECOVERED_SHARE;
  }

  boolean isShedding(double nowMillis) {
    return pressure(nowMillis) > SHED_THRESHOLD;
  }

  boolean shouldSpillToOtherZones(double nowMillis) {
    return pressure(nowMillis) > SPILL_THRESHOLD;
  }

  private double pressure(double nowMillis) {
    return pressure
        * Math.exp(
            -(nowMillis - updatedAtMillis)
                / (DECAY_OBJECTIVES * settings.shortestObjectiveMillis()));
  }
}
