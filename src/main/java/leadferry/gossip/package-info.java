/**
 * Gossip between the proxies of one tier about silent endpoints. The entry point is {@link
 * leadferry.gossip.SuspicionProtocol}, which decides which lost requests of a proxy are broadcast
 * and when the messages of other proxies suffice for an ejection.
 *
 * <p>The package does no I/O: time is passed in, messages are byte arrays, and the caller owns the
 * sockets. It depends only on the JDK and {@link leadferry.loadbalancer}. Its results are hints to
 * the load balancer. After a hint, the load balancer may eject an endpoint for a while, but never
 * sends more than it would without the hint. No correctness rule depends on a message, because any
 * message may be late, lost or forged.
 */
package leadferry.gossip;
