package leadferry.loadbalancer;

/**
 * Is an endpoint silent? It is where it has answered nothing for too long since the first request
 * that was sent to it, however that request ended.
 *
 * <p>Guards against endpoints that take work and answer nothing, hung or behind a queue of requests
 * that nobody waits for any more: time-outs tell of them too late. It can hurt where single
 * responses regularly take longer than the latency objective.
 */
final class PendingResponseTracker {
  /** Silence shorter than this is never held against an endpoint: pauses and jitter. */
  private static final double MIN_SILENCE_MILLIS = 40;

  /** Until when all that came has been read; what came since may still stand in this process. */
  private double readUntilMillis = Double.POSITIVE_INFINITY;

  /** All that came by then has been read. */
  void onReadUntil(double untilMillis) {
    readUntilMillis = untilMillis;
  }

  /** How long ago what came was last read: no endpoint can be blamed for this time. */
  double readLagMillis(double nowMillis) {
    return Math.max(0, nowMillis - readUntilMillis);
  }

  /** A request has gone to the endpoint. */
  void onSend(Endpoint endpoint, double nowMillis) {
    endpoint.pendingSinceMillis = Math.min(endpoint.pendingSinceMillis, nowMillis);
  }

  /** The endpoint has given a sign of life; other requests of ours may still be there. */
  void onResponse(Endpoint endpoint, double nowMillis) {
    endpoint.lastResponseMillis = nowMillis;
    endpoint.pendingSinceMillis = endpoint.inFlight > 0 ? nowMillis : Double.POSITIVE_INFINITY;
  }

  /** Whether the endpoint holds a request of ours and is silent. */
  boolean isSilent(Endpoint endpoint, double allowedMillis, double nowMillis) {
    return endpoint.inFlight > 0 && isUnresponsive(endpoint, allowedMillis, nowMillis);
  }

  /**
   * Whether the endpoint has answered nothing since a request went there, for longer than {@code
   * allowedMillis} of an endpoint of mean speed.
   */
  boolean isUnresponsive(Endpoint endpoint, double allowedMillis, double nowMillis) {
    return Math.min(nowMillis, readUntilMillis) - endpoint.pendingSinceMillis
        > Math.max(MIN_SILENCE_MILLIS, allowedMillis * Math.max(1, endpoint.slowness));
  }
}
