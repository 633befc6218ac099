package leadferry.engine;

/**
 * Counts the results of attempts and requests by class; called on the pool's loop. A result is bad
 * if the attempt or request failed, was rejected, or took longer than its class's latency
 * objective. A request whose client disconnected before the final response, and a cancelled
 * attempt, count as neither good nor bad.
 */
public interface OutcomeCounter {
  /** Counts an attempt that has ended at the server. */
  void countAttempt(String server, String className, boolean bad);

  /** Counts a request that has had its final response. */
  void countRequest(String className, boolean bad);
}
