/**
 * Soak tests: real proxy processes over loopback under faults of the operating system, the
 * upstreams, discovery and signals.
 *
 * <p>{@link leadferry.soak.SoakRun} is the place to start. {@link leadferry.soak.SoakJudge} checks
 * what clients, upstreams and discovery recorded; nothing here reads state of the program under
 * test.
 */
package leadferry.soak;
