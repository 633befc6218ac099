package leadferry.testbed;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The rig by itself, before a host that is told when to fail: it must see a collapse, and one that
 * lasts.
 */
class OverloadRecoveryTest {
  private static OverloadTest.Plan plan(FakeUpstream host, OverloadTest.Crowd crowd, int size) {
    String[] place = host.place().split(":");
    return new OverloadTest.Plan(
        List.of(new InetSocketAddress(place[0], Integer.parseInt(place[1]))),
        10,
        20,
        200,
        crowd,
        size,
        false,
        1,
        0.5,
        3,
        "/",
        1);
  }

  @Test
  void whatEndsWithItsTriggerHasRecoveredAndTheGapIsSeen() throws Exception {
    try (FakeUpstream host =
            new FakeUpstream(FakeUpstream.Options.quick("a"), new ExecutionLog(100_000));
        OverloadTest storm =
            new OverloadTest(
                plan(host, OverloadTest.Crowd.SILENT, 20),
                () -> host.misbehave(FakeUpstream.Fault.SILENT, 1),
                () -> host.misbehave(FakeUpstream.Fault.NONE, 0))) {
      storm.run();
      assertThat(storm.calmShare()).isGreaterThan(0.95);
      assertThat(storm.triggerShare()).isLessThan(0.5);
      assertThat(storm.longestGap()).isGreaterThan(0.3);
      assertThat(storm.recoveredAfter()).isNotNaN();
    }
  }

  @Test
  void whatGoesOnAfterItsTriggerHasNotRecovered() throws Exception {
    try (FakeUpstream host =
            new FakeUpstream(FakeUpstream.Options.quick("a"), new ExecutionLog(100_000));
        OverloadTest storm =
            new OverloadTest(
                plan(host, OverloadTest.Crowd.USUAL, 5),
                () -> host.misbehave(FakeUpstream.Fault.RESET_BEFORE, 1),
                () -> {})) {
      storm.run();
      assertThat(storm.recoveredAfter()).isNaN();
      assertThat(storm.afterShare()).isLessThan(0.1);
    }
  }
}
