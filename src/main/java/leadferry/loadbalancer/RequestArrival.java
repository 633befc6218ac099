package leadferry.loadbalancer;

/**
 * A client's request.
 *
 * @param id its number, unique among open requests
 * @param className the class that the settings name; an unknown one is taken for the strictest
 * @param tenant whom it counts for, or null
 * @param budgetMillis the time (ms) in which its client wants an answer
 * @param estimateMillis the work (ms) that its client expects, or NaN; not used in decisions
 * @param isRepeat whether its client has sent it before; not used in decisions
 */
public record RequestArrival(
    long id,
    String className,
    String tenant,
    double budgetMillis,
    double estimateMillis,
    boolean isRepeat) {
  /** The same with so much time (ms) left. */
  public RequestArrival withBudget(double remainingMillis) {
    return new RequestArrival(id, className, tenant, remainingMillis, estimateMillis, isRepeat);
  }
}
