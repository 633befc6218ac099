package leadferry.gossip;

/**
 * Computes the time over which the proxies spread their trial requests to an ejected endpoint. No
 * proxy knows how many proxies send to the endpoint, so the spread adapts. If lost trials follow
 * each other closely, there are too many trials, and all proxies wait longer. If lost trials are
 * far apart, all proxies wait for a shorter time. The proxies agree because they receive the same
 * messages. The unit of all times is the shortest latency objective.
 */
final class TrialSpread {
  /** Longest spread, equal to the longest ejection of the load balancer. */
  private static final double MAX_OBJECTIVES = 20; // see OutlierDetector.MAX_EJECTION_OBJECTIVES

  /**
   * Number of proxies in the tier per latency objective of the initial spread. If one in this many
   * proxies sends to the endpoint, trials are about two objectives apart: the minimum ejection of
   * one objective, and one objective until the first of the spread trials.
   */
  private static final double PROXIES_PER_OBJECTIVE = 10;

  /**
   * Minimum time between an ejection and the lost trial after it. A shorter time means that trials
   * are too frequent.
   */
  private static final double MIN_GAP_OBJECTIVES = 2;

  /**
   * Maximum time between an ejection and the lost trial after it. A longer time means that trials
   * are too rare.
   */
  private static final double MAX_GAP_OBJECTIVES = 4;

  /** Factor by which the spread grows or shrinks after a lost trial. */
  private static final double STEP_FACTOR = 1.5;

  private final double initialObjectives;

  TrialSpread(int proxyCount) {
    this.initialObjectives =
        Math.max(1, Math.min(MAX_OBJECTIVES, proxyCount / PROXIES_PER_OBJECTIVE));
  }

  /** Returns the spread of the first ejection of an endpoint. */
  double initialObjectives() {
    return initialObjectives;
  }

  /**
   * Returns the next spread after a trial was lost.
   *
   * @param sinceEjectionObjectives the time between the previous ejection and the lost trial
   */
  double nextObjectives(double spreadObjectives, double sinceEjectionObjectives) {
    if (sinceEjectionObjectives < MIN_GAP_OBJECTIVES) {
      return Math.min(MAX_OBJECTIVES, spreadObjectives * STEP_FACTOR);
    }
    if (sinceEjectionObjectives > MAX_GAP_OBJECTIVES) {
      return Math.max(1, spreadObjectives / STEP_FACTOR);
    }
    return spreadObjectives;
  }
}
