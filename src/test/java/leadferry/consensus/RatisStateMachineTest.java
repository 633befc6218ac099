package leadferry.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import leadferry.disruption.DisruptionState;
import org.apache.ratis.util.LifeCycle;
import org.junit.jupiter.api.Test;

class RatisStateMachineTest {
  /**
   * Guards against a replica that the Raft library gives up: the library pauses the state machine
   * before it installs another replica's snapshot, and fails if the state machine is not paused
   * then.
   */
  @Test
  void stateMachineIsPausedBeforeASnapshotAndRunsAfterIt() throws Exception {
    AtomicInteger changes = new AtomicInteger();
    RatisStateMachine stateMachine =
        new RatisStateMachine(
            new FleetStateMachine(new DisruptionState.Times(1, 1, 1)),
            changes::incrementAndGet,
            failure -> {});
    stateMachine.getLifeCycle().transition(LifeCycle.State.STARTING);
    stateMachine.getLifeCycle().transition(LifeCycle.State.RUNNING);
    stateMachine.pause();
    assertThat(stateMachine.getLifeCycleState()).isEqualTo(LifeCycle.State.PAUSED);
    stateMachine.reinitialize();
    assertThat(stateMachine.getLifeCycleState()).isEqualTo(LifeCycle.State.RUNNING);
  }
}
