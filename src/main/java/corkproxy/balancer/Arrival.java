package corkproxy.balancer;

/** A client's request; {@code tenant} may be null and {@code estimate} NaN where not told. */
public record Arrival(
    long id, String className, String tenant, double budget, double estimate, boolean repeat) {
  /** The same with so much time (ms) left. */
  public Arrival within(double left) {
    return new Arrival(id, className, tenant, left, estimate, repeat);
  }
}
