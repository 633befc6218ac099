package leadferry.loadbalancer;

/** Figures an endpoint reports of itself; {@code NaN} where a figure is not reported. */
public record LoadReport(
    double inFlight,
    double queued,
    double utilization,
    double latencyMillis,
    double servedPerSecond,
    double failureRate) {
  /** Requests the endpoint holds, from whichever figure tells it, or {@code NaN}. */
  public double heldRequests() {
    return Double.isNaN(inFlight) ? queued : inFlight;
  }
}
