/**
 * What processes have agreed on: a replicated log that the replicas hold, sessions with leases, and
 * the side of those who ask. Begin with {@link leadferry.consensus.FleetStateMachine}, which each
 * replica applies the log's {@link leadferry.consensus.LogEntry}s to; {@link
 * leadferry.consensus.LeaseTimers} and {@link leadferry.consensus.Lease} are the two ends of a
 * session's time, {@link leadferry.consensus.Replica} the process, {@link
 * leadferry.consensus.ReplicaClient} and {@link leadferry.consensus.SessionClient} those who call
 * it. The package knows nothing of hosts, drains or policies, only that commands of {@code
 * disruption} and {@code release} are what an entry may carry.
 */
package leadferry.consensus;
