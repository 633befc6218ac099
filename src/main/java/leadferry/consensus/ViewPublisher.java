package leadferry.consensus;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;

/** Pushes the fleet view to each connection that watches it and was not sent its version yet. */
final class ViewPublisher {
  private final FleetStateMachine stateMachine;
  private final Set<ReplicaConnectionHandler> connections;
  private final Executor executor;
  private final AtomicBoolean publishScheduled = new AtomicBoolean();

  ViewPublisher(
      FleetStateMachine stateMachine,
      Set<ReplicaConnectionHandler> connections,
      Executor executor) {
    this.stateMachine = stateMachine;
    this.connections = connections;
    this.executor = executor;
  }

  /**
   * Schedules a push after a change of the state. Calls before the push runs are merged into one.
   */
  void schedule() {
    if (publishScheduled.compareAndSet(false, true)) {
      executor.execute(this::publish);
    }
  }

  private void publish() {
    publishScheduled.set(false);
    ObjectNode view = null;
    long version;
    synchronized (stateMachine) {
      version = stateMachine.version();
      if (connections.stream().anyMatch(connection -> connection.shouldPush(version))) {
        view = stateMachine.view();
      }
    }
    if (view == null) {
      return;
    }
    byte[] line = LineProtocol.encode(Json.object().put("push", true).set("view", view));
    for (ReplicaConnectionHandler connection : connections) {
      if (connection.shouldPush(version)) {
        connection.push(Unpooled.wrappedBuffer(line), version);
      }
    }
  }
}
