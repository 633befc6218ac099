package leadferry.loadbalancer;

/** Figures a host reports of itself; {@code NaN} where a figure is not reported. */
public record LoadReport(
    double inFlight, double queued, double busy, double latencyMs, double served, double failRate) {
  /** Requests the host holds, from whichever figure tells it, or {@code NaN}. */
  public double held() {
    return Double.isNaN(inFlight) ? queued : inFlight;
  }
}
