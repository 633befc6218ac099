/**
 * One request from its last byte to its one final answer: its attempts and their outcomes,
 * deadlines, connections to hosts, budgets of sockets and bodies. Begin with {@link
 * corkproxy.engine.Exchange}, then {@link corkproxy.engine.Dispatcher}, which runs the decision
 * module. Knows no protocol: one brings a {@link corkproxy.engine.Call} for each request, {@link
 * corkproxy.engine.Attempt}s that write and read, and a {@link corkproxy.engine.Protocol} for its
 * connections.
 */
package corkproxy.engine;
