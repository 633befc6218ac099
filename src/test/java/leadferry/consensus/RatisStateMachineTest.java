package leadferry.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import leadferry.disruption.DisruptionState;
import org.apache.ratis.util.LifeCycle;
import org.junit.jupiter.api.Test;

class RatisStateMachineTest {
  /**
   * The library pauses a replica before it installs another's snapshot, and gives it up if it is
   * not paused then.
   */
  @Test
  void aReplicaIsPausedForASnapshotAndRunsAfterIt() throws Exception {
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
