/**
 * One request from its last byte to its one final answer: its attempts and their outcomes,
 * deadlines, connections to hosts, budgets of sockets and bodies. Begin with {@link
 * leadferry.engine.Exchange}, then {@link leadferry.engine.Dispatcher}, which runs the decision
 * module. Knows no protocol: one brings a {@link leadferry.engine.ClientCall} for each request,
 * {@link leadferry.engine.Attempt}s that write and read, and a {@link leadferry.engine.Protocol}
 * for its connections.
 */
package leadferry.engine;
