package leadferry.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import leadferry.disruption.DisruptionState;
import org.apache.ratis.util.LifeCycle;
import org.junit.jupiter.api.Test;

class RatisStateMachineTest {
  /**
   * The library pauses a keeper before it installs another's snapshot, and gives it up if it is not
   * paused then.
   */
  @Test
  void aKeeperIsPausedForASnapshotAndRunsAfterIt() throws Exception {
    AtomicInteger changes = new AtomicInteger();
    RatisStateMachine m =
        new RatisStateMachine(
            new FleetStateMachine(new DisruptionState.Times(1, 1, 1)),
            changes::incrementAndGet,
            t -> {});
    m.getLifeCycle().transition(LifeCycle.State.STARTING);
    m.getLifeCycle().transition(LifeCycle.State.RUNNING);
    m.pause();
    assertThat(m.getLifeCycleState()).isEqualTo(LifeCycle.State.PAUSED);
    m.reinitialize();
    assertThat(m.getLifeCycleState()).isEqualTo(LifeCycle.State.RUNNING);
  }
}
