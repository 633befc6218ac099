package leadferry.loadbalancer;

/**
 * What a {@link LoadBalancer} asks its proxy to do. Calls are made from within the event methods.
 * Times are milliseconds.
 */
public interface LoadBalancerActions {
  /**
   * Starts an attempt; attempts of a request are numbered 0, 1, 2 ... in the order of the calls.
   *
   * <p>It may have to wait for a connection: when its first byte is to go out, each other attempt
   * that may have run, or may yet, has to have gone out less than {@code windowMillis} before, or
   * this one must not.
   */
  void send(long request, long endpoint, double windowMillis);

  /**
   * Final answer "no, and trying again does no harm".
   *
   * @param retryAfterMillis when the client should try again; 0 gives no advice
   */
  void reject(long request, double retryAfterMillis);

  /** Final answer "failed", which promises nothing about the effect. */
  void fail(long request);

  /** Stops the wait for an attempt. */
  void cancel(long request, int attempt);

  /** Asks for {@link LoadBalancer#onTimer} with this token after so long. */
  void schedule(double delayMillis, long token);

  /** Asks discovery for changes from now on. */
  void watchEndpoints();

  /**
   * An attempt that went out at {@code sentAtMillis} got no response, and the endpoint has answered
   * nothing since.
   */
  default void onNoResponse(long endpoint, double nowMillis, double sentAtMillis) {}

  /** Writes a line for the people on call. */
  void log(String line);
}
