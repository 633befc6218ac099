package leadferry.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against violations of the protocol page under random faults: a short soak run for each of
 * four fixed seeds. {@code bench/soak} plays longer runs. Without a C compiler the runs have no
 * system call faults.
 */
class SoakTest {
  private static final long LENGTH_MS = 7_000;
  private static final int PROXIES = 2;

  /**
   * A run with fewer requests shows too little. The number depends on the machine: 255 to 1,900
   * were measured.
   */
  private static final int MIN_REQUESTS = 100;

  /**
   * The slack of the protocol page plus the delay of the threads of this process on a busy machine.
   */
  private static final long SLACK_MS = 250;

  /** Length and slack of the runs with crowds, those of {@code bench/soak}. */
  private static final long CROWD_LENGTH_MS = 8_000;

  private static final long CROWD_SLACK_MS = 100;

  @TempDir Path folder;

  @ParameterizedTest
  @ValueSource(longs = {2, 3, 5, 10})
  void noRuleIsBrokenUnderDrawnFaults(long seed) throws Exception {
    play(seed, LENGTH_MS, SLACK_MS);
  }

  /** Requests that stand in the accept queue behind a crowd are told more time than they have. */
  @ParameterizedTest
  @ValueSource(longs = {6906, 6909})
  void requestsBehindACrowdKeepTheirDeadlines(long seed) throws Exception {
    play(seed, CROWD_LENGTH_MS, CROWD_SLACK_MS);
  }

  private void play(long seed, long lengthMs, long slackMs) throws Exception {
    SoakPlan plan = SoakPlan.fromSeed(seed, lengthMs, PROXIES);
    try (SoakRun run = new SoakRun(plan, folder, PreloadLibrary.build(folder).orElse(null))) {
      SoakHistory history = run.run();
      List<SoakJudge.Violation> violations =
          new SoakJudge(history, plan.drainGraceMs(), slackMs).violations();
      System.out.println(
          "soak, seed "
              + seed
              + ": requests "
              + history.requests().size()
              + ", faults injected "
              + run.injectedFaults()
              + ", violations "
              + violations.size());
      assertThat(violations).as(plan.toString()).isEmpty();
      assertThat(history.requests()).hasSizeGreaterThan(MIN_REQUESTS);
    }
  }
}
