package leadferry.consensus;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import leadferry.disruption.DisruptionState;

/**
 * What one keeper is told.
 *
 * @param fleet the fleet's name; who calls for another one is turned away
 * @param name this keeper's name among {@code peers}
 * @param log where the other keepers reach this one
 * @param api where members and operators reach it
 * @param folder where its log and snapshots are
 * @param peers all keepers, this one among them, by name: where their logs are reached
 * @param electionMs how long a follower goes without a leader's word before it asks for votes, at
 *     least
 * @param snapshotEntries entries after which the ledger is written out and the log before it may be
 *     dropped
 * @param times the fleet's times, which count for the first keeper that ever leads
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
