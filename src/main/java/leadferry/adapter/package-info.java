/**
 * The decision module on the simulator's wire: batches of events on standard input, commands on
 * standard output. Begin with {@link leadferry.adapter.Adapter}. The wire's words are mapped to the
 * field's terms in one class each: {@link leadferry.adapter.EventReader} the events' fields and
 * {@link leadferry.adapter.WireEvent} their names, {@link leadferry.adapter.CommandWriter} the
 * commands, {@link leadferry.adapter.SettingsReader} the settings. Decides nothing, and must not
 * know sockets or the engine.
 */
package leadferry.adapter;
