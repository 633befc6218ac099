package leadferry.consensus;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.ratis.io.MD5Hash;
import org.apache.ratis.proto.RaftProtos.LogEntryProto;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.protocol.TermIndex;
import org.apache.ratis.server.storage.FileInfo;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.statemachine.StateMachineStorage;
import org.apache.ratis.statemachine.TransactionContext;
import org.apache.ratis.statemachine.impl.BaseStateMachine;
import org.apache.ratis.statemachine.impl.SimpleStateMachineStorage;
import org.apache.ratis.statemachine.impl.SingleFileSnapshotInfo;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.util.LifeCycle;
import org.apache.ratis.util.MD5FileUtil;

/**
 * Connects the Raft library to the {@link FleetStateMachine}: committed entries, snapshots and
 * restarts.
 */
final class RatisStateMachine extends BaseStateMachine {
  private final FleetStateMachine stateMachine;
  private final Runnable stateChangeListener;
  private final Consumer<Throwable> fatalErrorListener;
  private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();

  /**
   * Creates the adapter of a state machine.
   *
   * @param stateChangeListener runs after each applied entry and each restored snapshot
   * @param fatalErrorListener receives an error after which this replica can't continue
   */
  RatisStateMachine(
      FleetStateMachine stateMachine,
      Runnable stateChangeListener,
      Consumer<Throwable> fatalErrorListener) {
    this.stateMachine = stateMachine;
    this.stateChangeListener = stateChangeListener;
    this.fatalErrorListener = fatalErrorListener;
  }

  @Override
  public void initialize(RaftServer server, RaftGroupId groupId, RaftStorage raftStorage)
      throws IOException {
    super.initialize(server, groupId, raftStorage);
    storage.init(raftStorage);
    getLifeCycle().startAndTransition(this::load, IOException.class);
  }

  /**
   * Pauses before another replica's snapshot replaces the state. Guards against a failure of the
   * replica: the Raft library gives up a state machine that does not pause.
   */
  @Override
  public void pause() {
    getLifeCycle().transition(LifeCycle.State.PAUSING);
    getLifeCycle().transition(LifeCycle.State.PAUSED);
  }

  @Override
  public void reinitialize() throws IOException {
    getLifeCycle().startAndTransition(this::load, IOException.class);
  }

  private void load() throws IOException {
    SingleFileSnapshotInfo latest = storage.loadLatestSnapshot();
    if (latest == null) {
      return;
    }
    Path file = latest.getFile().getPath();
    MD5Hash expected = latest.getFile().getFileDigest();
    if (expected != null) {
      MD5FileUtil.verifySavedMD5(file.toFile(), expected);
    }
    try {
      synchronized (stateMachine) {
        stateMachine.restore(Files.readAllBytes(file));
      }
    } catch (RuntimeException e) {
      throw new IOException(file + ": " + e.getMessage(), e);
    }
    setLastAppliedTermIndex(latest.getTermIndex());
    stateChangeListener.run();
  }

  @Override
  public StateMachineStorage getStateMachineStorage() {
    return storage;
  }

  @Override
  public CompletableFuture<Message> applyTransaction(TransactionContext transaction) {
    LogEntryProto entry = transaction.getLogEntry();
    ObjectNode outcome;
    try {
      synchronized (stateMachine) {
        outcome = stateMachine.apply(entry.getStateMachineLogEntry().getLogData().toByteArray());
        updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
      }
    } catch (RuntimeException e) {
      // Other replicas have applied or will apply the entry that failed here. Skipping it would
      // make the state of this replica differ from theirs.
      fatalErrorListener.accept(e);
      return CompletableFuture.failedFuture(e);
    }
    stateChangeListener.run();
    return CompletableFuture.completedFuture(
        Message.valueOf(ByteString.copyFrom(Json.bytes(outcome))));
  }

  @Override
  public CompletableFuture<Message> query(Message request) {
    // The only reads are the empty ones of LeadershipConfirmation, which need no content.
    return CompletableFuture.completedFuture(Message.EMPTY);
  }

  @Override
  public long takeSnapshot() throws IOException {
    TermIndex lastApplied;
    byte[] bytes;
    synchronized (stateMachine) {
      lastApplied = getLastAppliedTermIndex();
      bytes = stateMachine.snapshot();
    }
    File file = storage.getSnapshotFile(lastApplied.getTerm(), lastApplied.getIndex());
    Path partialFile = file.toPath().resolveSibling(file.getName() + ".part");
    Files.write(partialFile, bytes);
    try (FileChannel channel = FileChannel.open(partialFile, StandardOpenOption.WRITE)) {
      channel.force(true);
    }
    Files.move(partialFile, file.toPath(), StandardCopyOption.ATOMIC_MOVE);
    MD5Hash digest = MD5FileUtil.computeAndSaveMd5ForFile(file);
    storage.updateLatestSnapshot(
        new SingleFileSnapshotInfo(new FileInfo(file.toPath(), digest), lastApplied));
    return lastApplied.getIndex();
  }
}
