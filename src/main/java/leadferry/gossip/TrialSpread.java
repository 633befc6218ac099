package leadferry.gossip;

/**
 * Over which time are the proxies' trials of an ejected endpoint spread? How many proxies send to
 * it is known to none, so the time is found: lost trials that come close to each other were too
 * many, and everybody, having heard the same, waits longer; after some that come far apart, less
 * long. Measured in aims (the shortest latency objective).
 */
final class TrialSpread {
  /** The most that an endpoint is ejected on others' word; the load balancer's own longest time. */
  private static final double MAX_OBJECTIVES = 20; // as OutlierDetector.LONGEST_EJECTION_AIMS

  /** It begins with one trial in two aims where one proxy in so many sends to an endpoint. */
  private static final double PROXIES_PER_OBJECTIVE = 10;

  /** Trials closer than this were too many. */
  private static final double MIN_GAP_OBJECTIVES = 2;

  /** Trials further apart than this were too few. */
  private static final double MAX_GAP_OBJECTIVES = 4;

  private static final double STEP_FACTOR = 1.5;

  private final double initialObjectives;

  TrialSpread(int proxyCount) {
    this.initialObjectives =
        Math.max(1, Math.min(MAX_OBJECTIVES, proxyCount / PROXIES_PER_OBJECTIVE));
  }

  /** That of an endpoint's first ejection. */
  double initialObjectives() {
    return initialObjectives;
  }

  /** The next one, after a trial was lost {@code sinceLastAims} after the ejection before. */
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
