package leadferry.engine;

/**
 * A client's request as its protocol holds it: its bytes, and where its one final answer goes. The
 * engine calls exactly one of {@link #refused}, {@link #failed} and what the protocol's own attempt
 * does after {@link Exchange#claim} has told it that it may answer.
 */
public interface ClientCall {
  /** The request goes on as this exchange: the first one, or a further one in another pool. */
  void carriedBy(Exchange exchange);

  /** The id by which its client and the servers know it, or null; for the log. */
  default String id() {
    return null;
  }

  /**
   * Whether every byte of the request that has come is still held, so that another attempt can be
   * sent. A request that streams loses that with the first byte past its replay bound; the engine
   * then gives what the module still asks for back as known not to have run.
   */
  default boolean replayable() {
    return true;
  }

  /** Whether bytes of the request are still to come from its client. */
  default boolean comes() {
    return false;
  }

  /**
   * Whether its client has left, though that has not been read yet: asks the socket itself. Asked
   * ahead of a send that was waited for, and costs as much as a read; where the socket can't tell
   * without harm it is false.
   */
  default boolean abandoned() {
    return false;
  }

  /**
   * Whether an answer that has begun to go to the client is in time, however long the rest of it
   * takes; otherwise all of it has to come within the request's time.
   */
  default boolean timedToFirstByte() {
    return false;
  }

  /** An attempt of the exchange at the host, not started yet. */
  Attempt attempt(Exchange exchange, UpstreamHost host, int number, double now);

  /** Final answer "no, and trying again does no harm"; {@code coolDownMs} 0 gives no advice. */
  void refused(double coolDownMs);

  /** Final answer "failed", which promises nothing about the effect. */
  void failed(boolean timeUp);

  /** The request and its attempts are over: its bytes are not needed any more. */
  void free();
}
