package leadferry.disruption;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against targets that count as available too early or for ever unavailable, because a timer
 * is missing, has the wrong duration or is stored under another name.
 */
class DisruptionTimersTest {
  private static final DisruptionState.Times TIMES = new DisruptionState.Times(500, 700, 100);
  private static final Target ENDPOINT =
      new Target(TargetType.ENDPOINT, "h:1", "z", Target.NONE, "p", Target.NONE);

  private final DisruptionState state = new DisruptionState(TIMES);

  private void join(String name) {
    state.onSessionOpened(
        name,
        "z",
        "v",
        "digest",
        List.of(
            ENDPOINT, new Target(TargetType.ENDPOINT, "h2", "z", Target.NONE, "p", Target.NONE)));
  }

  private void report(String name, long sequenceNumber, String... ejectedEndpoints) {
    state.onMemberReport(
        name, sequenceNumber, state.version(), true, Set.of(), Set.of(ejectedEndpoints));
  }

  @Test
  void aGrantExpiresLaterInTheReplicatedStateThanAtItsHolder() {
    join("a");
    state.drain(TargetType.ENDPOINT, "h:1", 50, false, "operator", "disk");

    assertThat(state.timerDurationsMillis()).isEqualTo(Map.of("permit:1", 150L));
    state.onTimerExpired("permit:1");
    assertThat(state.unavailabilityReason(TargetType.ENDPOINT, "h:1"))
        .isEqualTo("permit 1, ending");
    assertThat(state.timerDurationsMillis()).isEmpty();
  }

  @Test
  void aReturnedProxyStabilizesOnceItServes() {
    join("a:b");
    state.onSessionEnded("a:b", false);
    join("a:b");
    assertThat(state.timerDurationsMillis()).isEmpty();
    report("a:b", 1);

    assertThat(state.timerDurationsMillis()).isEqualTo(Map.of("settle:a:b:4", 500L));
    state.onTimerExpired("settle:a:b:4");
    assertThat(state.unavailabilityReason(TargetType.PROXY, "a:b")).isNull();
  }

  @Test
  void aReturnedEndpointWarmsUp() {
    join("a");
    join("b");
    report("a", 1, "h:1");
    report("b", 1, "h:1");
    report("a", 2);

    assertThat(state.timerDurationsMillis()).isEqualTo(Map.of("warm:h:1:5", 700L));
    state.onTimerExpired("warm:h:1:5");
    assertThat(state.unavailabilityReason(TargetType.ENDPOINT, "h:1")).isNull();
  }

  @Test
  void theExpiryOfATimerThatDoesNotRunChangesNothing() {
    join("a");
    long changes = state.changeNumber();

    state.onTimerExpired("permit:1");

    assertThat(state.changeNumber()).isEqualTo(changes);
  }
}
