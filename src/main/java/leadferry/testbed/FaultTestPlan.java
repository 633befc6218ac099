package leadferry.testbed;

import java.util.List;

/**
 * How much of everything a fault test starts, and for how long.
 *
 * @param replicas replicas of the agreed state
 * @param proxies daemons
 * @param upstreams fake upstream hosts
 * @param seconds how long load and faults go on
 * @param seed decides which fault comes when, and what operators ask for
 * @param sabotage the promise that the test breaks itself
 * @param requestsPerSecond load at each proxy
 * @param script faults and operators' calls by time in place of those from the seed, or null
 * @param releases whether releases go on meanwhile
 */
public record FaultTestPlan(
    int replicas,
    int proxies,
    int upstreams,
    double seconds,
    long seed,
    Sabotage sabotage,
    double requestsPerSecond,
    List<FaultScript.Step> script,
    boolean releases) {

  /** Of a kind, one in so many may be out of service at once. */
  private static final int UNAVAILABLE_DIVISOR = 4;

  /** A plan with faults from the seed, and no releases. */
  public FaultTestPlan(
      int replicas,
      int proxies,
      int upstreams,
      double seconds,
      long seed,
      Sabotage sabotage,
      double requestsPerSecond) {
    this(replicas, proxies, upstreams, seconds, seed, sabotage, requestsPerSecond, null, false);
  }

  /** How many proxies the budget allows to be out of service at once. */
  public int proxiesAllowed() {
    return Math.max(1, proxies / UNAVAILABLE_DIVISOR);
  }

  /** How many upstreams the budget allows to be out of service at once. */
  public int upstreamsAllowed() {
    return Math.max(1, upstreams / UNAVAILABLE_DIVISOR);
  }

  /** Whether a script says which fault comes when. */
  boolean isScripted() {
    return script != null;
  }
}
