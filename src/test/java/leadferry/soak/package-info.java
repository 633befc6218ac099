/**
 * Real proxy processes over loopback under faults of the operating system, of servers, of discovery
 * and of signals.
 *
 * <p>Start reading at {@link leadferry.soak.SoakRun}. {@link leadferry.soak.SoakJudge} decides from
 * what clients, servers and discovery recorded; nothing here reads state of the program under test.
 */
package leadferry.soak;
