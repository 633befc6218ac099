package leadferry.engine;

/**
 * Bounds on the connections of one pool on one loop. Every bound can be changed while the pool
 * runs. A changed connect time-out applies to connections that are opened later.
 *
 * @param idleMs time (ms) for which hosts keep an idle connection; the proxy closes its connections
 *     after 0.7 of it
 * @param connectMs time (ms) within which a connection must be established
 * @param restMs time (ms) for which a connection rests after a response before it carries another
 *     request. Guards against bytes that follow a response in a separate packet. Where the value is
 *     less than 5, connections to a host that has sent such bytes rest for 5 ms during the
 *     following ten minutes
 * @param maxPending maximum number of attempts that wait for a connection to one host; a further
 *     attempt ends as one that never ran
 * @param maxRequestsPerConnection maximum number of requests that a connection carries before it is
 *     closed
 * @param limits limit on the connections to each host, shared with the other loops, or null for no
 *     limit
 */
public record PoolBounds(
    double idleMs,
    double connectMs,
    double restMs,
    int maxPending,
    int maxRequestsPerConnection,
    ConnectionLimits limits) {
  /** Returns bounds that limit the number of connections only by the process's sockets. */
  public static PoolBounds unbounded(double idleMs, double connectMs) {
    return new PoolBounds(idleMs, connectMs, 5, 0, Integer.MAX_VALUE, null);
  }
}
