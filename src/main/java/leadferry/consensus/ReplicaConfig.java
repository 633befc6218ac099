package leadferry.consensus;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import leadferry.disruption.DisruptionState;

/**
 * Configuration of one replica. {@code leadferry.daemon.ReplicaFile} reads it from the operator's
 * file.
 *
 * @param fleet the name of the fleet; requests for another fleet are rejected
 * @param name the name of this replica among {@code peerLogAddresses}
 * @param logAddress address at which the other replicas reach the log of this replica
 * @param apiAddress address at which members and operators reach this replica
 * @param folder directory in which the log and the snapshots are stored
 * @param peerLogAddresses the log addresses of all replicas by name, including this one
 * @param electionTimeoutMillis minimum time without a message from the leader after which a
 *     follower requests votes
 * @param snapshotThresholdEntries number of entries after which a snapshot is taken and earlier
 *     entries may be dropped
 * @param times durations for the fleet. They apply until this replica restores a snapshot, which
 *     brings its own durations
 */
public record ReplicaConfig(
    String fleet,
    String name,
    InetSocketAddress logAddress,
    InetSocketAddress apiAddress,
    Path folder,
    Map<String, InetSocketAddress> peerLogAddresses,
    int electionTimeoutMillis,
    int snapshotThresholdEntries,
    DisruptionState.Times times) {}
