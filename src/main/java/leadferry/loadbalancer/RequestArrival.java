package leadferry.loadbalancer;

/**
 * A request received from a client.
 *
 * @param id the request number, unique among open requests
 * @param className the name of the request class; an unknown class is treated as at-most-once, the
 *     strictest semantics
 * @param tenant the tenant that the request counts towards, or null
 * @param budgetMillis the time in milliseconds within which the client expects the final response
 * @param estimateMillis the processing time in milliseconds that the client expects, or NaN; not
 *     used in decisions
 * @param isRepeat whether the client has sent the request before; not used in decisions
 */
public record RequestArrival(
    long id,
    String className,
    String tenant,
    double budgetMillis,
    double estimateMillis,
    boolean isRepeat) {
  /** Returns a copy of this arrival with {@code remainingMillis} as its budget. */
  public RequestArrival withBudget(double remainingMillis) {
    return new RequestArrival(id, className, tenant, remainingMillis, estimateMillis, isRepeat);
  }
}
