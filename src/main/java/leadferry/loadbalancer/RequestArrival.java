package leadferry.loadbalancer;

/**
 * A client's request.
 *
 * @param id its number, unique among open requests
 * @param className the class that the settings name; an unknown one is taken for the strictest
 * @param tenant whom it counts for, or null
 * @param budget the time (ms) in which its client wants an answer
 * @param estimate the work (ms) that its client expects, or NaN; not used in decisions
 * @param repeat whether its client has sent it before; not used in decisions
 */
public record RequestArrival(
    long id, String className, String tenant, double budget, double estimate, boolean repeat) {
  /** The same with so much time (ms) left. */
  public RequestArrival within(double left) {
    return new RequestArrival(id, className, tenant, left, estimate, repeat);
  }
}
