package corkproxy.quorum;

import static org.assertj.core.api.Assertions.assertThat;

import corkproxy.disruption.Disruption;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.ratis.util.LifeCycle;
import org.junit.jupiter.api.Test;

class LogMachineTest {
  /**
   * The library pauses a keeper before it installs another's snapshot, and gives it up if it is not
   * paused then.
   */
  @Test
  void aKeeperIsPausedForASnapshotAndRunsAfterIt() throws Exception {
    AtomicInteger changes = new AtomicInteger();
    LogMachine m =
        new LogMachine(
            new Ledger(new Disruption.Times(1, 1, 1)), changes::incrementAndGet, t -> {});
    m.getLifeCycle().transition(LifeCycle.State.STARTING);
    m.getLifeCycle().transition(LifeCycle.State.RUNNING);
    m.pause();
    assertThat(m.getLifeCycleState()).isEqualTo(LifeCycle.State.PAUSED);
    m.reinitialize();
    assertThat(m.getLifeCycleState()).isEqualTo(LifeCycle.State.RUNNING);
  }
}
