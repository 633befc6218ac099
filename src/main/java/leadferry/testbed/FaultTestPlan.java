package leadferry.testbed;

import java.util.List;

/**
 * Sizes and duration of a fault test.
 *
 * @param replicas number of replicas of the replicated state
 * @param proxies number of daemons
 * @param upstreams number of fake upstream hosts
 * @param seconds duration of load and faults
 * @param seed determines the kind and time of each fault and the operators' calls
 * @param sabotage the guarantee that the test violates on purpose
 * @param requestsPerSecond load at each proxy
 * @param script faults and operators' calls with their times, replacing those from the seed; or
 *     null
 * @param releases whether releases run during the test
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

  /** The budgets allow one in this many targets of a kind to be out of service at once. */
  private static final int UNAVAILABLE_DIVISOR = 4;

  /** Creates a plan with faults from the seed and without releases. */
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

  /** Returns how many proxies the budget allows out of service at once. */
  public int proxiesAllowed() {
    return Math.max(1, proxies / UNAVAILABLE_DIVISOR);
  }

  /** Returns how many upstreams the budget allows out of service at once. */
  public int upstreamsAllowed() {
    return Math.max(1, upstreams / UNAVAILABLE_DIVISOR);
  }

  /** Returns whether a script determines the faults. */
  boolean isScripted() {
    return script != null;
  }
}
