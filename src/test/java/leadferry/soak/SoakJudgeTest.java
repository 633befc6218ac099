package leadferry.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import leadferry.soak.RequestRecord.Outcome;
import leadferry.soak.SoakJudge.Rule;
import leadferry.soak.SoakJudge.Violation;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The judge finds each broken rule: in records that are made up, and in runs where something is
 * wrong on purpose.
 */
class SoakJudgeTest {
  private static final long SECOND = 1_000_000_000L;
  private static final int DEADLINE_MS = 800;
  private static final int GRACE_MS = 500;
  private static final long SLACK_MS = 100;

  /** The same, and what the threads of this process may be late on a busy machine. */
  private static final long BUSY_SLACK_MS = 250;

  private static final long LENGTH_MS = 3_000;

  @TempDir Path folder;
  private final SoakHistory history = new SoakHistory();

  private List<Rule> broken() {
    return new SoakJudge(history, GRACE_MS, SLACK_MS)
        .violations().stream().map(Violation::rule).distinct().toList();
  }

  private void request(
      Outcome outcome, double endedAfter, double leftAfter, double resentAfter, String detail) {
    history.add(
        new RequestRecord(
            "r",
            0,
            true,
            DEADLINE_MS,
            SECOND,
            SECOND + nanos(endedAfter),
            leftAfter == 0 ? 0 : SECOND + nanos(leftAfter),
            outcome,
            resentAfter == 0 ? 0 : SECOND + nanos(resentAfter),
            detail));
  }

  private static long nanos(double seconds) {
    return (long) (seconds * SECOND);
  }

  private void attempt(double begunAfter, boolean ran) {
    attempt(begunAfter, 1, ran);
  }

  private void attempt(double begunAfter, long toldMs, boolean ran) {
    history.add(
        new AttemptRecord(
            "r", "s0", SECOND + nanos(begunAfter), SECOND + nanos(begunAfter), toldMs, ran));
  }

  @Test
  void aRunInOrderBreaksNothing() {
    request(Outcome.SERVED, 0.1, 0, 0, "200");
    attempt(0.05, true);
    assertThat(broken()).isEmpty();
  }

  @Test
  void aRequestWithoutAnAnswerIsLost() {
    request(Outcome.NO_RESPONSE, 0.1, 0, 0, "closed");
    assertThat(broken()).containsExactly(Rule.LOST);
  }

  @Test
  void anAnswerPastTheTimeAndHalfASecondIsLost() {
    request(Outcome.FAILED, 1.5, 0, 0, "502");
    assertThat(broken()).containsExactly(Rule.LOST);
  }

  @Test
  void anAnswerThatNoServerMadeIsLost() {
    request(Outcome.SERVED, 0.1, 0, 0, "200");
    assertThat(broken()).containsExactly(Rule.LOST);
  }

  @Test
  void anAnswerToAnotherRequestIsLost() {
    request(Outcome.SERVED, 0.1, 0, 0, "foreign answer: other");
    attempt(0.05, true);
    assertThat(broken()).containsExactly(Rule.LOST);
  }

  @Test
  void anAttemptAfterItsClientHasLeftIsLost() {
    request(Outcome.CLIENT_DISCONNECTED, 0, 0.1, 0, "left");
    attempt(0.4, true);
    assertThat(broken()).containsExactly(Rule.LOST);
  }

  @Test
  void anAttemptAfterTheAnswerIsLost() {
    request(Outcome.FAILED, 0.1, 0, 0, "502");
    attempt(0.4, true);
    assertThat(broken()).containsExactly(Rule.LOST);
  }

  @Test
  void aRequestThatWasForwardedAndClosedOnIsLostThoughItsClientSendsItOnceMore() {
    request(Outcome.FAILED, 0.3, 0, 0.2, "502");
    attempt(0.1, true);
    assertThat(broken()).containsExactly(Rule.LOST);
  }

  @Test
  void anUnsafeRequestThatRanTwiceIsADuplicate() {
    request(Outcome.SERVED, 0.3, 0, 0, "200");
    attempt(0.1, true);
    attempt(0.2, true);
    assertThat(broken()).containsExactly(Rule.DUPLICATE);
  }

  @Test
  void aRefusalOfWhatRanIsADuplicate() {
    request(Outcome.REFUSED, 0.3, 0, 0, "503");
    attempt(0.1, true);
    assertThat(broken()).containsExactly(Rule.DUPLICATE);
  }

  @Test
  void anAttemptPastTheGraceOfADrainBreaksIt() {
    request(Outcome.SERVED, 0.3, 0, 0, "200");
    attempt(0.1, true);
    history.addDrainNotice(0, "s0", SECOND - SECOND);
    assertThat(broken()).containsExactly(Rule.DRAIN);
  }

  @Test
  void aServerThatIsToldMoreTimeThanIsLeftBreaksTheDeadline() {
    request(Outcome.SERVED, 0.7, 0, 0, "200");
    attempt(0.6, DEADLINE_MS, true);
    assertThat(broken()).containsExactly(Rule.DEADLINE);
  }

  /** Plays a run of the real process; the broken rules. */
  private List<Rule> played(SoakPlan plan, boolean needsLibrary) throws Exception {
    Path library = null;
    if (needsLibrary) {
      Optional<Path> built = PreloadLibrary.build(folder);
      Assumptions.assumeTrue(built.isPresent(), "a C compiler");
      library = built.get();
    }
    try (SoakRun run = new SoakRun(plan, folder, library)) {
      return new SoakJudge(run.run(), plan.drainGraceMs(), BUSY_SLACK_MS)
          .violations().stream().map(Violation::rule).distinct().toList();
    }
  }

  @Test
  void aProcessWhoseResponsesAreResetLosesRequests() throws Exception {
    SystemCallFault fatal = SystemCallFault.always("write", "client", "ECONNRESET", 10);
    assertThat(played(SoakPlan.steady(31, LENGTH_MS, List.of(fatal)), true)).contains(Rule.LOST);
  }

  @Test
  void aRequestThatAServerRanAndDeniedIsFoundToHaveRunTwice() throws Exception {
    SoakPlan.Event deny =
        new SoakPlan.Event(
            100,
            SoakPlan.EventKind.SET_BEHAVIOUR,
            0,
            RecordingUpstream.Behaviour.REJECT_AFTER_RUN.ordinal());
    SoakPlan plan =
        SoakPlan.steady(32, LENGTH_MS, List.of()).withSabotage(SoakPlan.Sabotage.NONE, deny);
    assertThat(played(plan, false)).containsExactly(Rule.DUPLICATE);
  }

  @Test
  void aProcessThatIsNotToldOfADrainBreaksIt() throws Exception {
    SoakPlan.Event drain = new SoakPlan.Event(100, SoakPlan.EventKind.DRAIN, 0, 0);
    SoakPlan plan =
        SoakPlan.steady(33, LENGTH_MS, List.of())
            .withSabotage(SoakPlan.Sabotage.DRAIN_NOTICES_DROPPED, drain);
    assertThat(played(plan, false)).containsExactly(Rule.DRAIN);
  }

  @Test
  void aProcessThatDiesHasCrashed() throws Exception {
    SoakPlan.Event crash = new SoakPlan.Event(LENGTH_MS / 2, SoakPlan.EventKind.CRASH, 0, 0);
    SoakPlan plan =
        SoakPlan.steady(34, LENGTH_MS, List.of()).withSabotage(SoakPlan.Sabotage.NONE, crash);
    assertThat(played(plan, false)).contains(Rule.CRASH);
  }
}
