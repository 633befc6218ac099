/**
 * Replicated fleet state: a log held by the replicas, sessions with leases, and the clients. Begin
 * with {@link leadferry.consensus.FleetStateMachine}, which applies the {@link
 * leadferry.consensus.LogEntry}s of the log on each replica. {@link
 * leadferry.consensus.LeaseTimers} counts leases on the leader, {@link leadferry.consensus.Lease}
 * on the member. A fleet view is the part of the state that each member applies. {@link
 * leadferry.consensus.Replica} runs one replica; {@link leadferry.consensus.ReplicaClient} and
 * {@link leadferry.consensus.SessionClient} call a replica. The Raft library, also called "the
 * library", is Apache Ratis: it replicates the log and elects the leader. The package contains no
 * logic of endpoints, drains or policies: entries carry commands that {@code disruption} and {@code
 * release} interpret.
 */
package leadferry.consensus;
