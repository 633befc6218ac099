package leadferry.loadbalancer;

/**
 * Load figures that an endpoint reports about itself; {@code NaN} for a figure that is not
 * reported.
 */
public record LoadReport(
    double inFlight,
    double queued,
    double utilization,
    double latencyMillis,
    double servedPerSecond,
    double failureRate) {
  /**
   * Returns the number of requests that the endpoint holds: those in flight if reported, else those
   * queued; {@code NaN} if neither is reported.
   */
  public double heldRequests() {
    return Double.isNaN(inFlight) ? queued : inFlight;
  }
}
