/**
 * Processes a request from its last byte to its one final response: attempts and their outcomes,
 * deadlines, connections to hosts, and budgets of sockets and bodies. Start with {@link
 * leadferry.engine.Exchange}, then {@link leadferry.engine.Dispatcher}, which runs the load
 * balancer. Independent of any protocol: a protocol supplies a {@link leadferry.engine.ClientCall}
 * for each request, {@link leadferry.engine.Attempt}s that write and read, and an {@link
 * leadferry.engine.UpstreamProtocol} for its connections.
 */
package leadferry.engine;
