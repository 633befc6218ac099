/**
 * Processes a request from its last byte to its one final response: attempts and their outcomes,
 * deadlines, connections to hosts, and budgets of sockets and bodies. Start with {@link
 * leadferry.engine.Exchange}, then {@link leadferry.engine.Dispatcher}, which runs the load
 * balancer.
 *
 * <p>Host: an upstream host, which is a server that discovery lists. Pool: a group of hosts that
 * serve the same requests; each event loop (worker) has its own load balancer and connections for a
 * pool. {@code platform}: a product that can start the proxy.
 *
 * <p>Rule 1: nothing is sent after the final response. Rule 2: no effect happens twice. {@code
 * IdempotencyPolicy} of the load balancer decides by these rules; the engine enforces them up to
 * the moment of the write.
 *
 * <p>The package is independent of any protocol: a protocol supplies a {@link
 * leadferry.engine.ClientCall} for each request, {@link leadferry.engine.Attempt}s that write and
 * read, and an {@link leadferry.engine.UpstreamProtocol} for its connections.
 */
package leadferry.engine;
