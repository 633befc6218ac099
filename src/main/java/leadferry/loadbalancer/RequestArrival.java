package leadferry.loadbalancer;

/** A client's request; {@code tenant} may be null and {@code estimate} NaN where not told. */
public record RequestArrival(
    long id, String className, String tenant, double budget, double estimate, boolean repeat) {
  /** The same with so much time (ms) left. */
  public RequestArrival within(double left) {
    return new RequestArrival(id, className, tenant, left, estimate, repeat);
  }
}
