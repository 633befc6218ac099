package leadferry.loadbalancer;

/**
 * Actions that a {@link LoadBalancer} requests from its proxy. The load balancer calls them from
 * within its event methods. Times are milliseconds.
 */
public interface LoadBalancerActions {
  /**
   * Starts an attempt. The attempts of a request are numbered 0, 1, 2 ... in the order of the
   * calls.
   *
   * <p>The attempt may have to wait for a connection. Before its first byte is sent, the proxy must
   * check every other attempt of the request that may have been executed or may still be: each must
   * have been sent less than {@code windowMillis} ago. Otherwise, this attempt must not be sent.
   */
  void send(long request, long endpoint, double windowMillis);

  /**
   * Sends the final response "rejected, safe to retry".
   *
   * @param retryAfterMillis the time after which the client should retry; 0 for no hint
   */
  void reject(long request, double retryAfterMillis);

  /** Sends the final response "failed", which leaves open whether the request had an effect. */
  void fail(long request);

  /** Cancels an open attempt. */
  void cancel(long request, int attempt);

  /** Schedules a call of {@link LoadBalancer#onTimer} with this token after {@code delayMillis}. */
  void schedule(double delayMillis, long token);

  /** Subscribes to changes from discovery. */
  void watchEndpoints();

  /**
   * Reports that an attempt sent at {@code sentAtMillis} got no response, and that the endpoint has
   * sent no other response since.
   */
  default void onNoResponse(long endpoint, double nowMillis, double sentAtMillis) {}

  /** Writes a log line for operators. */
  void log(String line);
}
