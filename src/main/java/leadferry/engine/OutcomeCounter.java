package leadferry.engine;

/**
 * Counts what became of attempts and requests, by class; called on the pool's loop. Bad is what
 * failed, was refused, or came later than its class's aim. What a client gave up on, or what was
 * called off, is neither.
 */
public interface OutcomeCounter {
  /** An attempt has ended at that server. */
  void countAttempt(String server, String className, boolean bad);

  /** A request has had its final answer. */
  void countRequest(String className, boolean bad);
}
