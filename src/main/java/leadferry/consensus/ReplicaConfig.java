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
 * @param logAddress where other replicas reach the log of this replica
 * @param apiAddress where members and operators reach this replica
 * @param folder where the log and snapshots are stored
 * @param peerLogAddresses the log addresses of all replicas by name, including this one
 * @param electionTimeoutMillis minimum time without a message from the leader after which a
 *     follower requests votes
 * @param snapshotThresholdEntries number of entries after which a snapshot is taken and earlier
 *     entries may be dropped
 * @param times durations for the fleet, which take effect on the first replica that ever leads
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
