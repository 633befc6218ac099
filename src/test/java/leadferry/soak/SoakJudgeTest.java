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
 * Guards against a judge that misses a broken rule or reports a correct run. Rules are broken in
 * constructed records, and in runs of real processes with a deliberate fault.
 */
class SoakJudgeTest {
  private static final long SECOND = 1_000_000_000L;
  private static final int DEADLINE_MS = 800;
  private static final int GRACE_MS = 500;
  private static final long SLACK_MS = 100;

  /** {@link #SLACK_MS} plus the delay of the threads of this process on a busy machine. */
  private static final long BUSY_SLACK_MS = 250;

  private static final long LENGTH_MS = 3_000;

  @TempDir Path folder;
  private final SoakHistory history = new SoakHistory();

  private List<Rule> brokenRules() {
    return new SoakJudge(history, GRACE_MS, SLACK_MS)
        .violations().stream().map(Violation::rule).distinct().toList();
  }

  private void request(
      Outcome outcome,
      double endedAfterSeconds,
      double disconnectedAfterSeconds,
      double resentAfterSeconds,
      String detail) {
    history.add(
        new RequestRecord(
            "r",
            0,
            true,
            DEADLINE_MS,
            SECOND,
            SECOND + nanos(endedAfterSeconds),
            disconnectedAfterSeconds == 0 ? 0 : SECOND + nanos(disconnectedAfterSeconds),
            outcome,
            resentAfterSeconds == 0 ? 0 : SECOND + nanos(resentAfterSeconds),
            detail));
  }

  private static long nanos(double seconds) {
    return (long) (seconds * SECOND);
  }

  private void attempt(double startedAfterSeconds, boolean mayHaveRun) {
    attempt(startedAfterSeconds, 1, mayHaveRun);
  }

  private void attempt(double startedAfterSeconds, long timeoutMs, boolean mayHaveRun) {
    history.add(
        new AttemptRecord(
            "r",
            "s0",
            SECOND + nanos(startedAfterSeconds),
            SECOND + nanos(startedAfterSeconds),
            timeoutMs,
            mayHaveRun));
  }

  @Test
  void correctRunBreaksNoRule() {
    request(Outcome.SERVED, 0.1, 0, 0, "200");
    attempt(0.05, true);
    assertThat(brokenRules()).isEmpty();
  }

  @Test
  void requestWithoutResponseIsLost() {
    request(Outcome.NO_RESPONSE, 0.1, 0, 0, "closed");
    assertThat(brokenRules()).containsExactly(Rule.LOST);
  }

  @Test
  void responseMoreThanHalfASecondPastTheDeadlineIsLost() {
    request(Outcome.FAILED, 1.5, 0, 0, "502");
    assertThat(brokenRules()).containsExactly(Rule.LOST);
  }

  @Test
  void responseWithoutAnAttemptIsLost() {
    request(Outcome.SERVED, 0.1, 0, 0, "200");
    assertThat(brokenRules()).containsExactly(Rule.LOST);
  }

  @Test
  void responseToAnotherRequestIsLost() {
    request(Outcome.SERVED, 0.1, 0, 0, "foreign response: other");
    attempt(0.05, true);
    assertThat(brokenRules()).containsExactly(Rule.LOST);
  }

  @Test
  void attemptAfterClientDisconnectIsLost() {
    request(Outcome.CLIENT_DISCONNECTED, 0, 0.1, 0, "client disconnected");
    attempt(0.4, true);
    assertThat(brokenRules()).containsExactly(Rule.LOST);
  }

  @Test
  void attemptAfterTheResponseIsLost() {
    request(Outcome.FAILED, 0.1, 0, 0, "502");
    attempt(0.4, true);
    assertThat(brokenRules()).containsExactly(Rule.LOST);
  }

  @Test
  void forwardedRequestWhoseConnectionClosedIsLostEvenIfResent() {
    request(Outcome.FAILED, 0.3, 0, 0.2, "502");
    attempt(0.1, true);
    assertThat(brokenRules()).containsExactly(Rule.LOST);
  }

  @Test
  void unsafeRequestThatRanTwiceIsADuplicate() {
    request(Outcome.SERVED, 0.3, 0, 0, "200");
    attempt(0.1, true);
    attempt(0.2, true);
    assertThat(brokenRules()).containsExactly(Rule.DUPLICATE);
  }

  @Test
  void refusedRequestThatRanIsADuplicate() {
    request(Outcome.REFUSED, 0.3, 0, 0, "503");
    attempt(0.1, true);
    assertThat(brokenRules()).containsExactly(Rule.DUPLICATE);
  }

  @Test
  void attemptAfterTheDrainGraceBreaksTheDrainRule() {
    request(Outcome.SERVED, 0.3, 0, 0, "200");
    attempt(0.1, true);
    history.addDrainNotice(0, "s0", SECOND - SECOND);
    assertThat(brokenRules()).containsExactly(Rule.DRAIN);
  }

  @Test
  void timeoutLongerThanTheRemainingTimeBreaksTheDeadlineRule() {
    request(Outcome.SERVED, 0.7, 0, 0, "200");
    attempt(0.6, DEADLINE_MS, true);
    assertThat(brokenRules()).containsExactly(Rule.DEADLINE);
  }

  /** Plays a run against a real process and returns the broken rules. */
  private List<Rule> brokenRulesOfRun(SoakPlan plan, boolean needsLibrary) throws Exception {
    Path library = null;
    if (needsLibrary) {
      Optional<Path> built = PreloadLibrary.build(folder);
      Assumptions.assumeTrue(built.isPresent(), "requires a C compiler");
      library = built.get();
    }
    try (SoakRun run = new SoakRun(plan, folder, library)) {
      return new SoakJudge(run.run(), plan.drainGraceMs(), BUSY_SLACK_MS)
          .violations().stream().map(Violation::rule).distinct().toList();
    }
  }

  @Test
  void resetClientConnectionsLoseRequests() throws Exception {
    SystemCallFault fatal = SystemCallFault.always("write", "client", "ECONNRESET", 10);
    assertThat(brokenRulesOfRun(SoakPlan.steady(31, LENGTH_MS, List.of(fatal)), true))
        .contains(Rule.LOST);
  }

  @Test
  void requestRejectedAfterItRanIsADuplicate() throws Exception {
    SoakPlan.Event deny =
        new SoakPlan.Event(
            100,
            SoakPlan.EventKind.SET_BEHAVIOUR,
            0,
            RecordingUpstream.Behaviour.REJECT_AFTER_RUN.ordinal());
    // The proxy ejects the host after its first rejection, so few requests reach it: a run in which
    // only some of them are unsafe may have no duplicate.
    SoakPlan plan =
        SoakPlan.steady(32, LENGTH_MS, List.of(), SoakPlan.STEADY_CLIENTS.withOnlyUnsafe())
            .withSabotage(SoakPlan.Sabotage.NONE, deny);
    assertThat(brokenRulesOfRun(plan, false)).containsExactly(Rule.DUPLICATE);
  }

  @Test
  void proxyWithoutDrainNoticesBreaksTheDrainRule() throws Exception {
    SoakPlan.Event drain = new SoakPlan.Event(100, SoakPlan.EventKind.DRAIN, 0, 0);
    SoakPlan plan =
        SoakPlan.steady(33, LENGTH_MS, List.of())
            .withSabotage(SoakPlan.Sabotage.DRAIN_NOTICES_DROPPED, drain);
    assertThat(brokenRulesOfRun(plan, false)).containsExactly(Rule.DRAIN);
  }

  @Test
  void killedProcessIsACrash() throws Exception {
    SoakPlan.Event crash = new SoakPlan.Event(LENGTH_MS / 2, SoakPlan.EventKind.CRASH, 0, 0);
    SoakPlan plan =
        SoakPlan.steady(34, LENGTH_MS, List.of()).withSabotage(SoakPlan.Sabotage.NONE, crash);
    assertThat(brokenRulesOfRun(plan, false)).contains(Rule.CRASH);
  }
}
