package leadferry.consensus;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.ratis.RaftConfigKeys;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.grpc.GrpcConfigKeys;
import org.apache.ratis.rpc.SupportedRpcType;
import org.apache.ratis.server.RaftServerConfigKeys;
import org.apache.ratis.server.RaftServerConfigKeys.Read;
import org.apache.ratis.util.SizeInBytes;
import org.apache.ratis.util.TimeDuration;

/**
 * Maps a {@link ReplicaConfig} to settings of the Raft library: addresses, elections, reads,
 * snapshots and log.
 */
final class RatisProperties {
  /** Maximum size of a batch sent to a follower. */
  private static final SizeInBytes APPEND_BATCH = SizeInBytes.valueOf("4MB");

  /**
   * Number of bytes by which the write buffer is larger than a batch. The Raft library requires a
   * larger buffer.
   */
  private static final long WRITE_BUFFER_MARGIN_BYTES = 64;

  private static final int MIN_FIRST_ELECTION_MILLIS = 50;
  private static final int MIN_RETRY_MILLIS = 20;
  private static final int RETAINED_SNAPSHOTS = 2;

  private RatisProperties() {}

  static RaftProperties of(ReplicaConfig config) {
    RaftProperties properties = new RaftProperties();
    RaftServerConfigKeys.setStorageDir(
        properties, List.of(ReplicaFolder.logFolder(config).toFile()));
    setTransport(properties, config);
    setElections(properties, config.electionTimeoutMillis());
    setReads(properties, config.electionTimeoutMillis());
    setSnapshots(properties, config.snapshotThresholdEntries());
    setLog(properties);
    return properties;
  }

  private static void setTransport(RaftProperties properties, ReplicaConfig config) {
    RaftConfigKeys.Rpc.setType(properties, SupportedRpcType.GRPC);
    GrpcConfigKeys.Server.setHost(properties, config.logAddress().getAddress().getHostAddress());
    GrpcConfigKeys.Server.setPort(properties, config.logAddress().getPort());
  }

  private static void setElections(RaftProperties properties, int electionTimeoutMillis) {
    RaftServerConfigKeys.Rpc.setTimeoutMin(properties, millis(electionTimeoutMillis));
    RaftServerConfigKeys.Rpc.setTimeoutMax(properties, millis(2 * electionTimeoutMillis));
    RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMin(
        properties, millis(Math.max(MIN_FIRST_ELECTION_MILLIS, electionTimeoutMillis / 4)));
    RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMax(properties, millis(electionTimeoutMillis));
    RaftServerConfigKeys.Rpc.setRequestTimeout(properties, millis(electionTimeoutMillis));
    RaftServerConfigKeys.Rpc.setSleepTime(
        properties, millis(Math.max(MIN_RETRY_MILLIS, electionTimeoutMillis / 8)));
  }

  private static void setReads(RaftProperties properties, int electionTimeoutMillis) {
    Read.setOption(properties, Read.Option.LINEARIZABLE);
    Read.setLeaderLeaseEnabled(properties, false);
    Read.setTimeout(properties, millis(2 * electionTimeoutMillis));
  }

  private static void setSnapshots(RaftProperties properties, int thresholdEntries) {
    RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(properties, true);
    RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(properties, thresholdEntries);
    RaftServerConfigKeys.Snapshot.setCreationGap(properties, Math.max(1, thresholdEntries / 4));
    RaftServerConfigKeys.Snapshot.setRetentionFileNum(properties, RETAINED_SNAPSHOTS);
  }

  private static void setLog(RaftProperties properties) {
    // The log keeps the entries that a stopped replica lacks. A snapshot is sent only to a replica
    // that has lost its folder.
    RaftServerConfigKeys.Log.setPurgeUptoSnapshotIndex(properties, false);
    RaftServerConfigKeys.Log.setSegmentSizeMax(properties, SizeInBytes.valueOf("4MB"));
    RaftServerConfigKeys.Log.setPreallocatedSize(properties, SizeInBytes.valueOf("256KB"));
    RaftServerConfigKeys.Log.setWriteBufferSize(
        properties, SizeInBytes.valueOf(APPEND_BATCH.getSize() + WRITE_BUFFER_MARGIN_BYTES));
    RaftServerConfigKeys.Log.Appender.setBufferByteLimit(properties, APPEND_BATCH);
  }

  private static TimeDuration millis(int millis) {
    return TimeDuration.valueOf(millis, TimeUnit.MILLISECONDS);
  }
}
