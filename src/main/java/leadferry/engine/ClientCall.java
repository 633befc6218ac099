package leadferry.engine;

/**
 * Represents a client's request in its protocol: the bytes of the request and the destination of
 * its one final response. The final response takes exactly one of three paths: the engine calls
 * {@link #sendRejection} or {@link #sendFailure}, or the protocol's attempt responds after {@link
 * Exchange#claim} has returned true.
 */
public interface ClientCall {
  /**
   * Sets the exchange that processes the request: the first one, or a further one in another pool.
   */
  void onExchangeStarted(Exchange exchange);

  /**
   * Returns the id under which the client and the servers know the request, or null; the log shows
   * it.
   */
  default String requestId() {
    return null;
  }

  /**
   * Whether every received byte of the request is still held, so that another attempt can be sent.
   * A streamed request loses this property with the first byte past its replay limit; the engine
   * then ends further attempts that the load balancer asks for as ones that never ran.
   */
  default boolean isReplayable() {
    return true;
  }

  /** Whether part of the request has not been received yet. */
  default boolean isIncomplete() {
    return false;
  }

  /**
   * Whether the client has disconnected, even if the loop has not read the disconnect yet; checks
   * the socket directly. Called before a send that had to wait; costs as much as a read. Returns
   * false where the socket can't tell without losing bytes.
   */
  default boolean hasClientDisconnected() {
    return false;
  }

  /**
   * Whether a response meets the deadline once it has started to be sent to the client, however
   * long the rest takes; otherwise the whole response must be received before the deadline.
   */
  default boolean isTimedToFirstByte() {
    return false;
  }

  /** Creates an attempt of the exchange at the host, without starting it. */
  Attempt createAttempt(Exchange exchange, UpstreamHost host, int number, double now);

  /**
   * Sends the final response "rejected, safe to retry"; a {@code retryAfterMillis} of 0 gives no
   * advice on when to retry.
   */
  void sendRejection(double retryAfterMillis);

  /**
   * Sends the final response "failed", which makes no statement about the effect; {@code
   * isDeadlinePassed} indicates whether the deadline has passed.
   */
  void sendFailure(boolean isDeadlinePassed);

  /** Frees the bytes of the request; called when the request and its attempts are over. */
  void free();
}
