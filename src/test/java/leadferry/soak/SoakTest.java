package leadferry.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A short soak with fixed seeds; {@code bench/soak} plays long ones. Without a C compiler its
 * system calls do not fail.
 */
class SoakTest {
  private static final long LENGTH_MS = 7_000;
  private static final int PROXIES = 2;

  /**
   * A run that judged fewer shows nothing; how many there are goes by the machine, 255 to 1,900 so
   * far.
   */
  private static final int LEAST_REQUESTS = 100;

  /** The page's slack, and what the threads of this process may be late on a busy machine. */
  private static final long SLACK_MS = 250;

  @TempDir Path folder;

  @ParameterizedTest
  @ValueSource(longs = {2, 3, 5, 10})
  void noRuleIsBrokenUnderDrawnFaults(long seed) throws Exception {
    SoakPlan plan = SoakPlan.fromSeed(seed, LENGTH_MS, PROXIES);
    try (SoakRun run = new SoakRun(plan, folder, PreloadLibrary.build(folder).orElse(null))) {
      SoakHistory history = run.run();
      List<SoakJudge.Violation> violations =
          new SoakJudge(history, plan.drainGraceMs(), SLACK_MS).violations();
      System.out.println(
          "soak, seed "
              + seed
              + ": requests "
              + history.requests().size()
              + ", faults injected "
              + run.injectedFaults()
              + ", broken "
              + violations.size());
      assertThat(violations).as(plan.toString()).isEmpty();
      assertThat(history.requests()).hasSizeGreaterThan(LEAST_REQUESTS);
    }
  }
}
