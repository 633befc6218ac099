package leadferry.loadbalancer;

/**
 * Estimates the pressure: how close the upstream is to overload. Pressure is a moving average of
 * the ratio of response time to latency objective, from 0 to {@value #MAX_PRESSURE}. It decays
 * while no responses arrive.
 *
 * <pre>
 *   0 ....... 0.4 ................ 0.7 ............. 1.0
 *             shedding begins      overloaded:       shedding is at its maximum
 *             no hedging           no retries
 * </pre>
 */
final class PressureEstimate {
  /** Pressure above which load is shed and no request is hedged. */
  private static final double SHED_THRESHOLD = 0.4;

  /**
   * Width of the pressure range from {@link #SHED_THRESHOLD}, where shedding begins, to the
   * pressure at which every request of mean priority would be shed.
   */
  private static final double SHED_SPAN = 0.6;

  /**
   * Point in the shedding range, as a share of {@link #SHED_SPAN}. The upstream counts as
   * overloaded while pressure is above it.
   */
  private static final double OVERLOADED_SPAN_SHARE = 0.5;

  /** Pressure above which a retry would only add to the overload. */
  private static final double OVERLOADED_THRESHOLD =
      SHED_THRESHOLD + OVERLOADED_SPAN_SHARE * SHED_SPAN;

  /** An overload ends below this share of {@link #SHED_THRESHOLD}. The gap prevents flapping. */
  private static final double RECOVERED_SHARE = 0.5;

  /** Pressure above which endpoints of other zones are candidates too. */
  private static final double SPILL_THRESHOLD = 0.35;

  /**
   * Upper bound of the ratio of response time to latency objective that one response contributes.
   */
  private static final double MAX_PRESSURE = 2;

  /** Minimum weight of a response: the pressure covers about the last ten responses. */
  private static final double MIN_WEIGHT = 0.1;

  /** Maximum weight of a response. A single response does not prove an overload. */
  private static final double MAX_WEIGHT = 0.3;

  /**
   * Time constant of the average, in shortest latency objectives. The weight of a response is the
   * time since the previous response divided by this constant, from {@link #MIN_WEIGHT} to {@link
   * #MAX_WEIGHT}. Responses more than a tenth of the constant apart thus weigh more than the
   * minimum; otherwise, an overload would be detected late.
   */
  private static final double MEMORY_OBJECTIVES = 7.5;

  /**
   * Time constant of the decay of pressure without responses, in shortest latency objectives.
   * Queues drain slowly.
   */
  private static final double DECAY_OBJECTIVES = 25;

  private final LiveSettings settings;
  private double pressure;
  private double updatedAtMillis;

  PressureEstimate(LiveSettings settings) {
    this.settings = settings;
  }

  /**
   * Records an attempt that got a response after {@code elapsedMillis}, or that had none by then.
   * {@code objectiveMillis} is the latency objective of its request class.
   */
  void onResponse(double elapsedMillis, double objectiveMillis, double nowMillis) {
    double gapMillis = nowMillis - updatedAtMillis;
    pressure = pressure(nowMillis);
    // A proxy with few requests gives each response more weight. Otherwise, it would detect an
    // overload after its end.
    double weight =
        Math.min(
            MAX_WEIGHT,
            Math.max(
                MIN_WEIGHT, gapMillis / (MEMORY_OBJECTIVES * settings.shortestObjectiveMillis())));
    pressure += weight * (Math.min(MAX_PRESSURE, elapsedMillis / objectiveMillis) - pressure);
    updatedAtMillis = nowMillis;
  }

  /**
   * Returns how far the pressure is into the range that sheds load, as a share of {@link
   * #SHED_SPAN}; 0 or less if no load is shed.
   */
  double shedExcess(double nowMillis) {
    return (pressure(nowMillis) - SHED_THRESHOLD) / SHED_SPAN;
  }

  /** Returns whether a {@link #shedExcess} of this size is an overload. */
  static boolean isOverload(double shedExcess) {
    return shedExcess > OVERLOADED_SPAN_SHARE;
  }

  /** Returns whether a retry would only add to an overload. */
  boolean isOverloaded(double nowMillis) {
    return pressure(nowMillis) > OVERLOADED_THRESHOLD;
  }

  /** Returns whether an overload is over. */
  boolean hasRecovered(double nowMillis) {
    return pressure(nowMillis) < SHED_THRESHOLD * RECOVERED_SHARE;
  }

  /** Returns whether load is shed. */
  boolean isShedding(double nowMillis) {
    return pressure(nowMillis) > SHED_THRESHOLD;
  }

  /** Returns whether endpoints of other zones are candidates too. */
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
