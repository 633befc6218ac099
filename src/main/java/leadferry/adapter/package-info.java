/**
 * The decision module on the simulator's wire: batches of events on standard input, commands on
 * standard output. Begin with {@link leadferry.adapter.Adapter}; {@link
 * leadferry.adapter.SettingsReader} maps the wire's settings to {@link
 * leadferry.loadbalancer.Settings}. Decides nothing, and must not know sockets or the engine.
 */
package leadferry.adapter;
