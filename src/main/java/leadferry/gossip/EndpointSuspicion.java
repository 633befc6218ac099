package leadferry.gossip;

import java.util.HashMap;
import java.util.Map;

/**
 * What this proxy knows about the silence of one endpoint: its witnesses (the proxies that lost a
 * request there) and when each sent that request, the time of the last response, and whether the
 * endpoint is ejected after suspicions of several proxies. {@link SuspicionProtocol} changes the
 * fields. Times are milliseconds.
 */
final class EndpointSuspicion {
  /** Start time of the endpoint's process. A restart of the process resets this state. */
  final double onlineSinceMillis;

  /**
   * Start of the silence for each witness: the time at which that proxy sent the request that it
   * lost. The key is the index of the proxy; -1 is this proxy.
   */
  final Map<Integer, Double> silentSinceByWitness = new HashMap<>(4);

  double lastResponseMillis = Double.NEGATIVE_INFINITY;

  /** Time at which to broadcast a refutation; infinity if none is due. */
  double refuteAtMillis = Double.POSITIVE_INFINITY;

  /**
   * Time at which the endpoint is ejected, unless its suspicions are refuted before; infinity if no
   * such decision is due.
   */
  double decideAtMillis = Double.POSITIVE_INFINITY;

  /**
   * Time, in shortest latency objectives, over which the proxies spread their trial requests to the
   * endpoint.
   */
  double trialSpreadObjectives;

  private double ejectedAtMillis = Double.NaN;

  EndpointSuspicion(double onlineSinceMillis) {
    this.onlineSinceMillis = onlineSinceMillis;
  }

  boolean isEjected() {
    return !Double.isNaN(ejectedAtMillis);
  }

  /**
   * Returns whether the endpoint is ejected and the ejection started before {@code atMillis}. The
   * start is NaN if the endpoint is not ejected, and a comparison with NaN is false.
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
