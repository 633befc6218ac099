package leadferry.loadbalancer;

/**
 * What a {@link LoadBalancer} asks its proxy to do. Calls are made from within the event methods.
 */
public interface LoadBalancerActions {
  /**
   * Starts an attempt; attempts of a request are numbered 0, 1, 2 ... in the order of the calls. It
   * may have to wait for a connection: when its first byte is to go out, each other attempt that
   * may have run, or may yet, has to have gone out less than {@code apart} ms before, or this one
   * must not.
   */
  void send(long request, long host, double apart);

  /** Final answer "no, and trying again does no harm"; {@code coolDown} 0 gives no advice. */
  void refuse(long request, double coolDown);

  /** Final answer "failed", which promises nothing about the effect. */
  void fail(long request);

  /** Stops the wait for an attempt. */
  void cancel(long request, int attempt);

  /** Asks for {@link LoadBalancer#onTimer} with this token after {@code delay} ms. */
  void schedule(double delay, long token);

  /** Asks discovery for changes from now on. */
  void follow();

  /**
   * An attempt that went out at {@code sentAt} got no answer, and the host has answered nothing
   * since.
   */
  default void silent(long host, double now, double sentAt) {}

  /** Writes a line for the people on call. */
  void log(String line);
}
