/**
 * Runs the load balancer on the simulator's wire format: batches of events on standard input,
 * commands on standard output. The entry point is {@link leadferry.adapter.Adapter}.
 *
 * <p>The names of the wire format are mapped to the terms of this project in one class each: {@link
 * leadferry.adapter.EventReader} for the fields of events, {@link leadferry.adapter.WireEvent} for
 * the names of events, {@link leadferry.adapter.CommandWriter} for commands, and {@link
 * leadferry.adapter.SettingsReader} for settings. The package makes no load-balancing decisions and
 * must not depend on sockets or the engine.
 */
package leadferry.adapter;
