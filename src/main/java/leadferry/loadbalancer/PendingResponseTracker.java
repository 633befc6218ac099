package leadferry.loadbalancer;

/**
 * Detects silent endpoints: those that owe this proxy a response and have sent none for too long.
 * The time starts with the last response if other requests of this proxy are then open at the
 * endpoint, otherwise with the next request sent to it. Only a response ends it, however the
 * requests end.
 *
 * <p>Guards against endpoints that accept requests and send no responses, because they hang or
 * because their queue is full of requests that no client waits for any more. Timeouts detect them
 * too late. The check misjudges endpoints whose responses regularly take longer than the latency
 * objective.
 */
final class PendingResponseTracker {
  /** Minimum time without a response that counts as silence. Tolerates pauses and jitter. */
  private static final double MIN_SILENCE_MILLIS = 40;

  /**
   * Time until which all received bytes have been processed. Bytes received later may be unread in
   * this process.
   */
  private double readUntilMillis = Double.POSITIVE_INFINITY;

  /** Records that all bytes received until {@code untilMillis} have been processed. */
  void onReadUntil(double untilMillis) {
    readUntilMillis = untilMillis;
  }

  /**
   * Returns how long ago received bytes were last processed. Endpoints are not blamed for this
   * time.
   */
  double readLagMillis(double nowMillis) {
    return Math.max(0, nowMillis - readUntilMillis);
  }

  /** Records that a request is sent to the endpoint. */
  void onSend(Endpoint endpoint, double nowMillis) {
    endpoint.pendingSinceMillis = Math.min(endpoint.pendingSinceMillis, nowMillis);
  }

  /** Records that the endpoint responded. Other requests of this proxy may still be open there. */
  void onResponse(Endpoint endpoint, double nowMillis) {
    endpoint.lastResponseMillis = nowMillis;
    endpoint.pendingSinceMillis = endpoint.inFlight > 0 ? nowMillis : Double.POSITIVE_INFINITY;
  }

  /** Returns whether the endpoint holds a request of this proxy and is silent. */
  boolean isSilent(Endpoint endpoint, double allowedSilenceMillis, double nowMillis) {
    return endpoint.inFlight > 0 && isUnresponsive(endpoint, allowedSilenceMillis, nowMillis);
  }

  /**
   * Returns whether the endpoint has owed a response for too long. {@code allowedSilenceMillis} is
   * the time allowed to an endpoint of mean speed; a slower endpoint is allowed more in proportion.
   */
  boolean isUnresponsive(Endpoint endpoint, double allowedSilenceMillis, double nowMillis) {
    return Math.min(nowMillis, readUntilMillis) - endpoint.pendingSinceMillis
        > Math.max(MIN_SILENCE_MILLIS, allowedSilenceMillis * Math.max(1, endpoint.slowness));
  }
}
