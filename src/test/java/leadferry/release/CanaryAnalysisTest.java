package leadferry.release;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import leadferry.release.CanaryAnalysis.Bounds;
import leadferry.release.CanaryAnalysis.Decision;
import org.junit.jupiter.api.Test;

/**
 * Measures how often the analysis halts sound releases and how often it misses bad ones, in
 * simulated releases with fixed seeds. Guards also against verdicts from too few requests or
 * reports.
 */
class CanaryAnalysisTest {
  private static final Bounds BOUNDS = new Bounds(400, 0.02, 0.05, 3, 60_000);

  /** Shares of the fleet that run the new version after each step. */
  private static final double[] STEPS = {0.01, 0.03, 0.08, 0.2, 0.4, 0.7, 1};

  private static final int EVALUATIONS = 10;
  private static final int REQUESTS_PER_EVALUATION = 6_000;

  /**
   * Returns the share of the fleet that ran the new version when the release was halted, or 2 if it
   * completed.
   */
  private static double simulateRelease(long seed, double badShareIncrease) {
    SplittableRandom random = new SplittableRandom(seed);
    double baseBadShare = random.nextDouble() * 0.05;
    CanaryAnalysis analysis = new CanaryAnalysis(BOUNDS);
    double previousShare = 0;
    for (double share : STEPS) {
      // Without targets of the previous version, as in CanaryEvaluator: the targets of the last
      // step are compared with those of the earlier steps, which run the new version as well.
      double canaryPart = share < 1 ? share : 1 - previousShare;
      double baselinePart = share < 1 ? 1 - share : previousShare;
      double baselineIncrease = share < 1 ? 0 : badShareIncrease;
      previousShare = share;
      Map<String, OutcomeCount> canary = new TreeMap<>();
      Map<String, OutcomeCount> baseline = new TreeMap<>();
      for (int evaluation = 0; ; evaluation++) {
        // A surge affects both versions alike and must not count against the new one.
        double surge = random.nextInt(20) == 0 ? 0.2 : 0;
        serve(
            random,
            new Side(canaryPart, baseBadShare + surge + badShareIncrease, canary),
            new Side(baselinePart, baseBadShare + surge + baselineIncrease, baseline));
        Decision decision = analysis.evaluate(canary, baseline, List.of()).decision();
        if (decision == Decision.HALT) {
          return share;
        }
        if (evaluation >= EVALUATIONS && decision == Decision.PROCEED) {
          break;
        }
        if (evaluation > 4 * EVALUATIONS) {
          return share; // the wait for enough requests has expired, which halts the release
        }
      }
    }
    return 2;
  }

  /** One version's share of the requests, its share of bad outcomes, and its counts by class. */
  private record Side(double part, double badShare, Map<String, OutcomeCount> counts) {}

  /** Serves the requests of one evaluation by both versions. */
  private static void serve(SplittableRandom random, Side canary, Side baseline) {
    for (String requestClass : List.of("claim", "list")) {
      int requests =
          requestClass.equals("claim")
              ? REQUESTS_PER_EVALUATION / 5
              : REQUESTS_PER_EVALUATION * 4 / 5;
      for (Side side : List.of(canary, baseline)) {
        OutcomeCount served = count(random, (int) (requests * side.part()), side.badShare());
        side.counts().merge(requestClass, served, OutcomeCount::plus);
      }
    }
  }

  private static OutcomeCount count(SplittableRandom random, int requests, double badShare) {
    int badCount = 0;
    for (int i = 0; i < requests; i++) {
      badCount += random.nextDouble() < badShare ? 1 : 0;
    }
    return new OutcomeCount(requests, badCount);
  }

  @Test
  void atMostOnePercentOfSoundReleasesAreHalted() {
    int halted = 0;
    for (int seed = 1; seed <= 1_000; seed++) {
      halted += simulateRelease(seed, 0) < 2 ? 1 : 0;
    }
    System.out.println("sound releases halted: " + halted + " of 1000");
    assertThat(halted).isLessThanOrEqualTo(10);
  }

  @Test
  void atLeast99PercentOfBadReleasesAreHaltedBeforeTenPercentOfTheFleet() {
    int found = 0;
    for (int seed = 1; seed <= 1_000; seed++) {
      found += simulateRelease(seed, 0.08 + 0.4 * seed / 1_000) < 0.1 ? 1 : 0;
    }
    System.out.println("bad releases halted before a tenth of the fleet: " + found + " of 1000");
    assertThat(found).isGreaterThanOrEqualTo(990);
  }

  @Test
  void oneBadRequestClassHaltsTheRelease() {
    Map<String, OutcomeCount> canary =
        Map.of("claim", new OutcomeCount(60, 20), "list", new OutcomeCount(5_000, 10));
    Map<String, OutcomeCount> baseline =
        Map.of("claim", new OutcomeCount(600, 6), "list", new OutcomeCount(50_000, 100));
    assertThat(new CanaryAnalysis(BOUNDS).evaluate(canary, baseline, List.of()))
        .satisfies(
            verdict -> {
              assertThat(verdict.decision()).isEqualTo(Decision.HALT);
              assertThat(verdict.evidence()).contains("class claim").contains("20 of 60");
            });
  }

  @Test
  void theAnalysisWaitsForMissingReportsAndForEnoughRequests() {
    CanaryAnalysis analysis = new CanaryAnalysis(BOUNDS);
    Map<String, OutcomeCount> sound = Map.of("list", new OutcomeCount(5_000, 10));
    assertThat(analysis.evaluate(sound, sound, List.of("p3")))
        .isEqualTo(new CanaryAnalysis.Verdict(Decision.WAIT, "no fresh report of p3"));
    assertThat(
            analysis
                .evaluate(Map.of("list", new OutcomeCount(399, 0)), sound, List.of())
                .decision())
        .isEqualTo(Decision.WAIT);
    assertThat(
            analysis.evaluate(sound, Map.of("list", new OutcomeCount(10, 0)), List.of()).decision())
        .isEqualTo(Decision.WAIT);
    assertThat(analysis.evaluate(sound, sound, List.of()).decision()).isEqualTo(Decision.PROCEED);
  }

  @Test
  void withoutABaselineTheBadShareIsComparedWithABound() {
    CanaryAnalysis analysis = new CanaryAnalysis(BOUNDS);
    assertThat(
            analysis
                .evaluate(Map.of("list", new OutcomeCount(1_000, 20)), Map.of(), List.of())
                .decision())
        .isEqualTo(Decision.PROCEED);
    assertThat(
            analysis
                .evaluate(Map.of("list", new OutcomeCount(1_000, 120)), Map.of(), List.of())
                .decision())
        .isEqualTo(Decision.HALT);
  }
}
