package leadferry.gossip;

import java.util.HashMap;
import java.util.Map;

/**
 * What this proxy knows about the silence of one endpoint: which proxies lost a request there and
 * since when, the time of the last response, and whether the endpoint is ejected after suspicions
 * of several proxies. {@link SuspicionProtocol} changes the fields. Times are milliseconds.
 */
final class EndpointSuspicion {
  /** Start time of the endpoint's process. A restart of the process resets this state. */
  final double onlineSinceMillis;

  /** Start of the silence by proxy, for each proxy that lost a request at the endpoint. */
  final Map<Integer, Double> silentSinceByWitness = new HashMap<>(4);

  double lastResponseMillis = Double.NEGATIVE_INFINITY;

  /** Time at which to broadcast a refutation; infinity if none is due. */
  double refuteAtMillis = Double.POSITIVE_INFINITY;

  /** Time at which the suspicions count as unrefuted; infinity if there are too few witnesses. */
  double decideAtMillis = Double.POSITIVE_INFINITY;

  /** Time, in shortest latency objectives, over which the proxies' trial requests are spread. */
  double trialSpreadObjectives;

  private double ejectedAtMillis = Double.NaN;

  EndpointSuspicion(double onlineSinceMillis) {
    this.onlineSinceMillis = onlineSinceMillis;
  }

  boolean isEjected() {
    return !Double.isNaN(ejectedAtMillis);
  }

  /**
   * Returns whether the endpoint is ejected and the ejection started before {@code atMillis}. A
   * comparison with NaN is false.
   */
  boolean isEjectedBefore(double atMillis) {
    return atMillis > ejectedAtMillis;
  }

  /**
   * Returns the time since the last ejection in milliseconds; NaN if the endpoint is not ejected.
   */
  double sinceEjectionMillis(double nowMillis) {
    return nowMillis - ejectedAtMillis;
  }

  void eject(double nowMillis) {
    ejectedAtMillis = nowMillis;
  }

  void readmit() {
    ejectedAtMillis = Double.NaN;
  }
}
