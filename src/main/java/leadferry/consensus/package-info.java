/**
 * What processes have agreed on: a replicated log that the keepers hold, sessions with leases, and
 * the side of those who ask. Begin with {@link leadferry.consensus.FleetStateMachine}, the state
 * machine that each keeper applies the log to; {@link leadferry.consensus.LeaseTimers} and {@link
 * leadferry.consensus.Lease} are the two ends of a session's time, {@link
 * leadferry.consensus.Replica} the process, {@link leadferry.consensus.ReplicaClient} those who
 * call it. It must know no hosts, drains or policies, only that {@link
 * leadferry.disruption.DisruptionState} is what an entry may be for.
 */
package leadferry.consensus;
