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
 * @param log where the other replicas reach this one
 * @param api where members and operators reach it
 * @param folder where its log and snapshots are
 * @param peers all replicas, this one among them, by name: where their logs are reached
 * @param electionMs how long a follower goes without a leader's word before it asks for votes, at
 *     least
 * @param snapshotEntries entries after which a snapshot is taken and the log before it may be
 *     dropped
 * @param times the fleet's times, which count for the first replica that ever leads
 */
public record ReplicaConfig(
    String fleet,
    String name,
    InetSocketAddress log,
    InetSocketAddress api,
    Path folder,
    Map<String, InetSocketAddress> peers,
    int electionMs,
    int snapshotEntries,
    DisruptionState.Times times) {}
