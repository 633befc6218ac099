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
        .filteredOn(AttemptPhase::hasWaited)
        .containsExactly(AttemptPhase.PENDING, AttemptPhase.CONNECTING);
  }

  @Test
  void attachedAttemptMayHaveRunUntilItsOutcomeProvesOtherwise() {
    AttemptPhase attached = AttemptPhase.CREATED.attached();

    assertThat(attached.mayHaveRun()).isTrue();
    assertThat(attached.ended(AttemptOutcome.MOOT).mayHaveRun()).isFalse();
    assertThat(attached.ended(AttemptOutcome.RESET).mayHaveRun()).isTrue();
  }

  @ParameterizedTest
  @EnumSource(names = {"CREATED", "PENDING", "CONNECTING"})
  void unattachedAttemptCannotHaveRun(AttemptPhase phase) {
    assertThat(phase.mayHaveRun()).isFalse();
  }

  @ParameterizedTest
  @EnumSource(names = {"NEVER_RAN", "MAY_HAVE_RUN"})
  void finishedAttemptKeepsItsPhase(AttemptPhase phase) {
    assertThat(phase.pending()).isEqualTo(phase);
    assertThat(phase.connecting()).isEqualTo(phase);
    assertThat(phase.attached()).isEqualTo(phase);
    for (AttemptOutcome outcome : AttemptOutcome.values()) {
      assertThat(phase.ended(outcome)).isEqualTo(phase);
    }
  }

  @ParameterizedTest
  @EnumSource(AttemptOutcome.class)
  void outcomeDecidesWhetherTheAttemptMayHaveRun(AttemptOutcome outcome) {
    AttemptPhase ended = AttemptPhase.ATTACHED.ended(outcome);

    assertThat(ended.isOver()).isTrue();
    assertThat(ended.mayHaveRun()).isEqualTo(!outcome.hasNoEffect());
  }
}
