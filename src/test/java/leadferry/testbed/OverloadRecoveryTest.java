package leadferry.testbed;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Runs the overload test against an upstream with scheduled faults: the test must detect a
 * collapse, and tell a lasting collapse from one that ends with its trigger.
 */
class OverloadRecoveryTest {
  private static OverloadPlan plan(FakeUpstream upstream, OverloadPlan.Crowd crowd, int size) {
    String[] place = upstream.hostAndPort().split(":");
    return new OverloadPlan(
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
  void overloadEndingWithTriggerIsReportedAsRecovered() throws Exception {
    try (FakeUpstream upstream =
            new FakeUpstream(FakeUpstream.Options.instant("a"), new ExecutionLog(100_000));
        OverloadTest test =
            new OverloadTest(
                plan(upstream, OverloadPlan.Crowd.SILENT, 20),
                () -> upstream.setFault(FakeUpstream.Fault.SILENT, 1),
                () -> upstream.setFault(FakeUpstream.Fault.NONE, 0))) {
      test.run();
      assertThat(test.timeline().calmShare()).isGreaterThan(0.95);
      assertThat(test.timeline().triggerShare()).isLessThan(0.5);
      assertThat(test.timeline().longestGapSeconds()).isGreaterThan(0.3);
      assertThat(test.timeline().recoveredAfterSeconds()).isNotNaN();
    }
  }

  @Test
  void overloadLastingAfterTriggerIsNotReportedAsRecovered() throws Exception {
    try (FakeUpstream upstream =
            new FakeUpstream(FakeUpstream.Options.instant("a"), new ExecutionLog(100_000));
        OverloadTest test =
            new OverloadTest(
                plan(upstream, OverloadPlan.Crowd.USUAL, 5),
                () -> upstream.setFault(FakeUpstream.Fault.RESET_BEFORE, 1),
                () -> {})) {
      test.run();
      assertThat(test.timeline().recoveredAfterSeconds()).isNaN();
      assertThat(test.timeline().afterShare()).isLessThan(0.1);
    }
  }
}
