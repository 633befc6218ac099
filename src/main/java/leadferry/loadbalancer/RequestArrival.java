package leadferry.loadbalancer;

/**
 * A request received from a client.
 *
 * @param id the request number, unique among open requests
 * @param policy what the settings in force when the request arrived allow for it
 * @param tenant the tenant that the request counts towards, or null
 * @param budgetMillis the time in milliseconds within which the client expects the final response
 * @param estimateMillis the processing time in milliseconds that the client expects, or NaN; not
 *     used in decisions
 * @param isRepeat whether the client has sent the request before; not used in decisions
 */
public record RequestArrival(
    long id,
    RequestPolicy policy,
    String tenant,
    double budgetMillis,
    double estimateMillis,
    boolean isRepeat) {
  /** Returns a copy of this arrival with {@code remainingMillis} as its budget. */
  public RequestArrival withBudget(double remainingMillis) {
    return new RequestArrival(id, policy, tenant, remainingMillis, estimateMillis, isRepeat);
  }

  /** Returns a copy of this arrival with {@code newId} as its request number. */
  public RequestArrival withId(long newId) {
    return new RequestArrival(newId, policy, tenant, budgetMillis, estimateMillis, isRepeat);
  }

  /** Returns a copy of this arrival with the policy of another pool. */
  public RequestArrival withPolicy(RequestPolicy newPolicy) {
    return new RequestArrival(id, newPolicy, tenant, budgetMillis, estimateMillis, isRepeat);
  }
}
