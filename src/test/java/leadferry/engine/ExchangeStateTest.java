package leadferry.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ExchangeStateTest {
  private static Stream<UnaryOperator<ExchangeState>> events() {
    return Stream.of(
        ExchangeState::claimed,
        ExchangeState::counted,
        ExchangeState::moved,
        ExchangeState::clientDisconnected);
  }

  @Test
  void finalResponseIsClaimedAndThenCounted() {
    ExchangeState claimed = ExchangeState.WAITING.claimed();

    assertThat(claimed).isEqualTo(ExchangeState.RESPONDED);
    assertThat(claimed.counted()).isEqualTo(ExchangeState.COUNTED);
  }

  @Test
  void waitingRequestMayMoveOrLoseItsClient() {
    assertThat(ExchangeState.WAITING.moved()).isEqualTo(ExchangeState.MOVED);
    assertThat(ExchangeState.WAITING.clientDisconnected())
        .isEqualTo(ExchangeState.CLIENT_DISCONNECTED);
  }

  @Test
  void unclaimedResponseIsNotCounted() {
    assertThat(ExchangeState.WAITING.counted()).isEqualTo(ExchangeState.WAITING);
  }

  @ParameterizedTest
  @EnumSource(value = ExchangeState.class, names = "WAITING", mode = EnumSource.Mode.EXCLUDE)
  void noEventMakesAResolvedRequestWaitAgain(ExchangeState state) {
    assertThat(events().map(event -> event.apply(state))).allMatch(ExchangeState::isResolved);
  }

  @ParameterizedTest
  @EnumSource(names = {"COUNTED", "MOVED", "CLIENT_DISCONNECTED"})
  void finalStatesNeverChange(ExchangeState state) {
    assertThat(events().map(event -> event.apply(state))).containsOnly(state);
  }

  @Test
  void clientDisconnectsAfterTheResponseResponseIsStillCounted() {
    assertThat(ExchangeState.RESPONDED.clientDisconnected()).isEqualTo(ExchangeState.RESPONDED);
  }
}
