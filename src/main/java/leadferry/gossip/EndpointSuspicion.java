package leadferry.gossip;

import java.util.HashMap;
import java.util.Map;

/**
 * What is known of one endpoint's silence: who lost a request there and since when, when it last
 * answered, and whether it is ejected on the word of several. A plain record of state that {@link
 * SuspicionProtocol} changes. Times are milliseconds.
 */
final class EndpointSuspicion {
  /** When the endpoint's process came up; what is known ends with it. */
  final double onlineSinceMillis;

  /** Since when each proxy that lost a request there takes the endpoint for silent. */
  final Map<Integer, Double> silentSinceByWitness = new HashMap<>(4);

  double lastResponseMillis = Double.NEGATIVE_INFINITY;

  /** When a refutation is to be told; infinity where none is. */
  double refuteAtMillis = Double.POSITIVE_INFINITY;

  /** When the witnesses have stood long enough; infinity where there are not enough. */
  double decideAtMillis = Double.POSITIVE_INFINITY;

  /** The time in aims over which the proxies' trials of it are spread. */
  double trialSpreadObjectives;

  private double ejectedAtMillis = Double.NaN;

  EndpointSuspicion(double onlineSinceMillis) {
    this.onlineSinceMillis = onlineSinceMillis;
  }

  boolean isEjected() {
    return !Double.isNaN(ejectedAtMillis);
  }

  /** Whether it is ejected, and was so before that time; a comparison with NaN is false. */
  boolean isEjectedBefore(double atMillis) {
    return atMillis > ejectedAtMillis;
  }

  /** How long ago it was ejected last; NaN where it is not. */
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
