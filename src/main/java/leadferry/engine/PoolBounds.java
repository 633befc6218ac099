package leadferry.engine;

/**
 * What holds for the connections of one pool on one loop. They may be changed while it runs, but
 * for the connect time-out, which counts for connections that are begun later.
 *
 * @param idleMs how long hosts keep an idle connection; ours go after 0.7 of it
 * @param connectMs how long a connection may take to come up
 * @param restMs how long a connection rests after an answer before it carries another request;
 *     guards against bytes right behind an answer that come in a packet of their own. Where it is
 *     less than 5, a host that was seen to send such bytes rests for 5 in the ten minutes after
 * @param maxPending attempts that wait for a connection to one host at most; one more did not run
 * @param maxRequestsPerConnection requests that a connection carries at most before it is closed
 * @param limits connections to each host, shared with the other loops, or null for no bound
 */
public record PoolBounds(
    double idleMs,
    double connectMs,
    double restMs,
    int maxPending,
    int maxRequestsPerConnection,
    ConnectionLimits limits) {
  /** Those of a pool whose connections nothing bounds but the process's sockets. */
  public static PoolBounds unbounded(double idleMs, double connectMs) {
    return new PoolBounds(idleMs, connectMs, 5, 0, Integer.MAX_VALUE, null);
  }
}
