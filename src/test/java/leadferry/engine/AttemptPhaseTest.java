package leadferry.engine;

import static org.assertj.core.api.Assertions.assertThat;

import leadferry.loadbalancer.AttemptOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class AttemptPhaseTest {
  @Test
  void onlyAPendingOrConnectingAttemptHasWaited() {
    assertThat(AttemptPhase.values())
        .filteredOn(AttemptPhase::waited)
        .containsExactly(AttemptPhase.PENDING, AttemptPhase.CONNECTING);
  }

  @Test
  void whatIsAttachedMayRunUntilItsOutcomeProvesOtherwise() {
    AttemptPhase attached = AttemptPhase.CREATED.attached();

    assertThat(attached.mayRun()).isTrue();
    assertThat(attached.ended(AttemptOutcome.MOOT).mayRun()).isFalse();
    assertThat(attached.ended(AttemptOutcome.RESET).mayRun()).isTrue();
  }

  @ParameterizedTest
  @EnumSource(names = {"CREATED", "PENDING", "CONNECTING"})
  void whatIsNotAttachedCannotHaveRun(AttemptPhase phase) {
    assertThat(phase.mayRun()).isFalse();
  }

  @ParameterizedTest
  @EnumSource(names = {"NEVER_RAN", "MAY_HAVE_RAN"})
  void whatIsOverStaysAsItEnded(AttemptPhase phase) {
    assertThat(phase.pending()).isEqualTo(phase);
    assertThat(phase.connecting()).isEqualTo(phase);
    assertThat(phase.attached()).isEqualTo(phase);
    for (AttemptOutcome outcome : AttemptOutcome.values()) {
      assertThat(phase.ended(outcome)).isEqualTo(phase);
    }
  }

  @ParameterizedTest
  @EnumSource(AttemptOutcome.class)
  void outcomeDecidesWhetherItMayHaveRun(AttemptOutcome outcome) {
    AttemptPhase ended = AttemptPhase.ATTACHED.ended(outcome);

    assertThat(ended.over()).isTrue();
    assertThat(ended.mayRun()).isEqualTo(!outcome.neverRan());
  }
}
