package leadferry.testbed;

import static org.assertj.core.api.Assertions.assertThat;

import leadferry.testbed.History.Call;
import leadferry.testbed.History.Op;
import leadferry.testbed.History.Outcome;
import org.junit.jupiter.api.Test;

/** {@link History} accepts calls that have a valid order and rejects those that have none. */
class HistoryTest {
  private final History history = new History(1, 1);

  private void call(Op op, String name, long start, long end, Outcome outcome) {
    history.record(new Call(op, "proxy", name, start, end, outcome));
  }

  @Test
  void twoGrantsBeyondBudgetHaveNoOrder() {
    call(Op.DRAIN, "a", 0, 10, Outcome.GRANTED);
    call(Op.DRAIN, "b", 5, 15, Outcome.GRANTED);
    assertThat(history.isLinearizable()).isFalse();
  }

  @Test
  void concurrentUndoExplainsTwoGrants() {
    call(Op.DRAIN, "a", 0, 10, Outcome.GRANTED);
    call(Op.UNDO, "a", 9, 20, Outcome.DONE);
    call(Op.DRAIN, "b", 5, 15, Outcome.GRANTED);
    assertThat(history.isLinearizable()).isTrue();
  }

  @Test
  void laterUndoDoesNotExplainTwoGrants() {
    call(Op.DRAIN, "a", 0, 10, Outcome.GRANTED);
    call(Op.DRAIN, "b", 11, 15, Outcome.GRANTED);
    call(Op.UNDO, "a", 16, 20, Outcome.DONE);
    assertThat(history.isLinearizable()).isFalse();
  }

  @Test
  void grantAfterHaltHasNoOrderUnlessResumed() {
    call(Op.HALT, "", 0, 5, Outcome.DONE);
    call(Op.DRAIN, "a", 6, 10, Outcome.GRANTED);
    assertThat(history.isLinearizable()).isFalse();
    call(Op.RESUME, "", 4, 8, Outcome.UNDECIDED);
    assertThat(history.isLinearizable()).isTrue();
  }

  @Test
  void haltedOutcomeWithoutHaltHasNoOrder() {
    call(Op.DRAIN, "a", 0, 5, Outcome.UNDECIDED);
    call(Op.DRAIN, "b", 6, 10, Outcome.GRANTED);
    call(Op.DRAIN, "c", 11, 12, Outcome.HALTED);
    assertThat(history.isLinearizable()).as("nothing was halted").isFalse();
  }
}
