package leadferry.consensus;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.ratis.protocol.ClientId;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.server.DivisionInfo;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.storage.RaftStorage.StartupOption;
import org.apache.ratis.statemachine.StateMachine;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;

/** Wraps the Raft library's server of one replica: its log, term and role. Thread-safe. */
final class RatisServer implements Closeable {
  /** Value of {@link #leadershipTerm} for a replica that does not lead. */
  static final long NOT_LEADING = -1;

  private final RaftServer server;
  private final RaftGroupId groupId;
  private final ClientId clientId = ClientId.randomId();
  private final AtomicLong callIds = new AtomicLong();

  /**
   * Starts the server.
   *
   * @throws IOException if the folder or the address of the replica can't be used
   */
  RatisServer(
      ReplicaConfig config, RaftGroupId groupId, StartupOption startup, StateMachine stateMachine)
      throws IOException {
    this.groupId = groupId;
    List<RaftPeer> peers = new ArrayList<>();
    config
        .peerLogAddresses()
        .forEach(
            (name, address) ->
                peers.add(RaftPeer.newBuilder().setId(name).setAddress(address).build()));
    this.server =
        RaftServer.newBuilder()
            .setServerId(RaftPeerId.valueOf(config.name()))
            .setGroup(RaftGroup.valueOf(groupId, peers))
            .setStateMachine(stateMachine)
            .setProperties(RatisProperties.of(config))
            .setOption(startup)
            .build();
    server.start();
  }

  /** Returns the id under which the Raft library keeps the log of a fleet. */
  static RaftGroupId groupIdOf(String fleet) {
    return RaftGroupId.valueOf(
        UUID.nameUUIDFromBytes(("leadferry " + fleet).getBytes(StandardCharsets.UTF_8)));
  }

  /**
   * Appends an entry. The reply arrives once a majority has the entry on disk and this replica has
   * applied it.
   */
  CompletableFuture<RaftClientReply> append(byte[] entry) {
    return submit(
        RaftClientRequest.writeRequestType(), Message.valueOf(ByteString.copyFrom(entry)));
  }

  /**
   * Sends an empty linearizable read. The reply arrives once a majority has confirmed the leader.
   */
  CompletableFuture<RaftClientReply> sendEmptyRead() {
    return submit(RaftClientRequest.readRequestType(false), Message.EMPTY);
  }

  private CompletableFuture<RaftClientReply> submit(RaftClientRequest.Type type, Message message) {
    try {
      return server.submitClientRequestAsync(
          RaftClientRequest.newBuilder()
              .setClientId(clientId)
              .setServerId(server.getId())
              .setGroupId(groupId)
              .setCallId(callIds.incrementAndGet())
              .setMessage(message)
              .setType(type)
              .build());
    } catch (IOException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  /** Returns why a request failed, as text for operators; empty if it succeeded. */
  static Optional<String> failureOf(RaftClientReply reply, Throwable failure) {
    if (failure != null) {
      return Optional.of(failure.toString());
    }
    return reply.isSuccess() ? Optional.empty() : Optional.of(String.valueOf(reply.getException()));
  }

  private DivisionInfo info() throws IOException {
    return server.getDivision(groupId).getInfo();
  }

  long currentTerm() throws IOException {
    return info().getCurrentTerm();
  }

  /** Returns the term in which this replica leads, or {@link #NOT_LEADING}. */
  long leadershipTerm() {
    try {
      DivisionInfo info = info();
      long term = info.getCurrentTerm();
      return info.isLeaderReady() && info.getCurrentTerm() == term ? term : NOT_LEADING;
    } catch (IOException | RuntimeException e) {
      return NOT_LEADING;
    }
  }

  /** Returns the name of the leader, or "" if it is unknown or is this replica. */
  String otherLeaderName() {
    try {
      RaftPeerId id = info().getLeaderId();
      return id == null || id.equals(server.getId()) ? "" : id.toString();
    } catch (IOException | RuntimeException e) {
      return "";
    }
  }

  /** Adds role, term, applied index, leader and the match indexes of followers. */
  void writeHealth(ObjectNode health) {
    try {
      DivisionInfo info = info();
      health
          .put("role", info.getCurrentRole().name().toLowerCase(Locale.ROOT))
          .put("term", info.getCurrentTerm())
          .put("applied", info.getLastAppliedIndex())
          .put("leader", info.getLeaderId() == null ? "" : info.getLeaderId().toString());
      long[] matchIndices = info.isLeader() ? info.getFollowerMatchIndices() : new long[0];
      Arrays.stream(matchIndices).forEach(health.putArray("followers")::add);
    } catch (IOException | RuntimeException e) {
      health.put("role", "unknown");
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
