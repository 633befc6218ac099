package leadferry.engine;

/**
 * A client's request as its protocol holds it: its bytes, and where its one final answer goes. The
 * engine calls exactly one of {@link #sendRejection}, {@link #sendFailure} and what the protocol's
 * own attempt does after {@link Exchange#claim} has told it that it may answer.
 */
public interface ClientCall {
  /** The request goes on as this exchange: the first one, or a further one in another pool. */
  void onExchangeStarted(Exchange exchange);

  /** The id by which its client and the servers know it, or null; for the log. */
  default String requestId() {
    return null;
  }

  /**
   * Whether every byte of the request that has come is still held, so that another attempt can be
   * sent. A request that streams loses that with the first byte past its replay bound; the engine
   * then gives what the module still asks for back as known not to have run.
   */
  default boolean isReplayable() {
    return true;
  }

  /** Whether bytes of the request are still to come from its client. */
  default boolean isIncomplete() {
    return false;
  }

  /**
   * Whether its client has left, though that has not been read yet: asks the socket itself. Asked
   * ahead of a send that was waited for, and costs as much as a read; where the socket can't tell
   * without harm it is false.
   */
  default boolean hasClientDisconnected() {
    return false;
  }

  /**
   * Whether an answer that has begun to go to the client is in time, however long the rest of it
   * takes; otherwise all of it has to come within the request's time.
   */
  default boolean isTimedToFirstByte() {
    return false;
  }

  /** An attempt of the exchange at the host, not started yet. */
  Attempt createAttempt(Exchange exchange, UpstreamHost host, int number, double now);

  /** Final answer "no, and trying again does no harm"; {@code coolDownMs} 0 gives no advice. */
  void sendRejection(double coolDownMs);

  /** Final answer "failed", which promises nothing about the effect. */
  void sendFailure(boolean timeUp);

  /** The request and its attempts are over: its bytes are not needed any more. */
  void free();
}
