package leadferry.gossip;

/**
 * Over which time are the proxies' trials of an ejected endpoint spread? How many proxies send to
 * it is known to none, so the time is found: lost trials that come close to each other were too
 * many, and everybody, having heard the same, waits longer; after some that come far apart, less
 * long. Measured in aims (the shortest latency objective).
 */
final class TrialSpread {
  /** The most that an endpoint is ejected on others' word; the load balancer's own longest time. */
  private static final double MOST_AIMS = 20; // as OutlierDetector.LONGEST_EJECTION_AIMS

  /** It begins with one trial in two aims where one proxy in so many sends to an endpoint. */
  private static final double PROXIES_PER_AIM = 10;

  /** Trials closer than this were too many. */
  private static final double CLOSE_AIMS = 2;

  /** Trials further apart than this were too few. */
  private static final double FAR_AIMS = 4;

  private static final double STEP = 1.5;

  private final double initialAims;

  TrialSpread(int proxies) {
    this.initialAims = Math.max(1, Math.min(MOST_AIMS, proxies / PROXIES_PER_AIM));
  }

  /** That of an endpoint's first ejection. */
  double initialAims() {
    return initialAims;
  }

  /** The next one, after a trial was lost {@code sinceLastAims} after the ejection before. */
  double nextAims(double spreadAims, double sinceLastAims) {
    if (sinceLastAims < CLOSE_AIMS) {
      return Math.min(MOST_AIMS, spreadAims * STEP);
    }
    if (sinceLastAims > FAR_AIMS) {
      return Math.max(1, spreadAims / STEP);
    }
    return spreadAims;
  }
}
