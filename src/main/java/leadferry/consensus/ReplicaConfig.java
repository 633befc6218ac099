package leadferry.consensus;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import leadferry.disruption.DisruptionState;

/**
 * What one replica is told; {@code leadferry.daemon.ReplicaFile} maps the operator's words to it.
 *
 * @param fleet the fleet's name; a caller for another one is rejected
 * @param name this replica's name among {@code peers}
 * @param logAddress where the other replicas reach this one
 * @param apiAddress where members and operators reach it
 * @param folder where its log and snapshots are
 * @param peerLogAddresses all replicas, this one among them, by name: where their logs are reached
 * @param electionTimeoutMillis how long a follower goes without a leader's word before it asks for
 *     votes, at least
 * @param snapshotThresholdEntries entries after which a snapshot is taken and the log before it may
 *     be dropped
 * @param times the fleet's times, which count for the first replica that ever leads
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
