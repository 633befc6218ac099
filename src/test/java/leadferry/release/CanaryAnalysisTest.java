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
 * How often the analysis halts what is sound, and what it lets through; and that it says nothing
 * from too little.
 */
class CanaryAnalysisTest {
  private static final Bounds BOUNDS = new Bounds(400, 0.02, 0.05, 3, 60_000);

  /** Parts of the fleet that have the new version after each step. */
  private static final double[] STEPS = {0.01, 0.03, 0.08, 0.2, 0.4, 0.7, 1};

  private static final int LOOKS = 10;
  private static final int PER_LOOK = 6_000;

  /**
   * The part of the fleet that had the new version when it was halted, or 2 where it went through.
   */
  private static double release(long seed, double worse) {
    SplittableRandom random = new SplittableRandom(seed);
    double base = random.nextDouble() * 0.05;
    CanaryAnalysis analysis = new CanaryAnalysis(BOUNDS);
    double before = 0;
    for (double share : STEPS) {
      // With nothing old left, as the controller does: this step's own against those that were
      // judged before, new as well.
      double freshPart = share < 1 ? share : 1 - before;
      double oldPart = share < 1 ? 1 - share : before;
      double oldWorse = share < 1 ? 0 : worse;
      before = share;
      Map<String, OutcomeCount> fresh = new TreeMap<>();
      Map<String, OutcomeCount> old = new TreeMap<>();
      for (int look = 0; ; look++) {
        // What befalls all alike, a surge say, is no fault of the new.
        double surge = random.nextInt(20) == 0 ? 0.2 : 0;
        serve(
            random,
            new Side(freshPart, base + surge + worse, fresh),
            new Side(oldPart, base + surge + oldWorse, old));
        Decision decision = analysis.evaluate(fresh, old, List.of()).decision();
        if (decision == Decision.HALT) {
          return share;
        }
        if (look >= LOOKS && decision == Decision.PROCEED) {
          break;
        }
        if (look > 4 * LOOKS) {
          return share; // it waited in vain, and halts
        }
      }
    }
    return 2;
  }

  /** One version's part of the requests, its share of bad outcomes, and what was counted of it. */
  private record Side(double part, double badShare, Map<String, OutcomeCount> counts) {}

  /** Both versions serve the requests of one look. */
  private static void serve(SplittableRandom random, Side fresh, Side old) {
    for (String requestClass : List.of("claim", "list")) {
      int all = requestClass.equals("claim") ? PER_LOOK / 5 : PER_LOOK * 4 / 5;
      for (Side side : List.of(fresh, old)) {
        OutcomeCount served = count(random, (int) (all * side.part()), side.badShare());
        side.counts().merge(requestClass, served, OutcomeCount::plus);
      }
    }
  }

  private static OutcomeCount count(SplittableRandom random, int all, double bad) {
    int badCount = 0;
    for (int i = 0; i < all; i++) {
      badCount += random.nextDouble() < bad ? 1 : 0;
    }
    return new OutcomeCount(all, badCount);
  }

  @Test
  void ofAThousandSoundReleasesAtMostOneInAHundredIsHalted() {
    int halted = 0;
    for (int seed = 1; seed <= 1_000; seed++) {
      halted += release(seed, 0) < 2 ? 1 : 0;
    }
    System.out.println("sound releases halted: " + halted + " of 1000");
    assertThat(halted).isLessThanOrEqualTo(10);
  }

  @Test
  void ofAThousandBadOnesNinetyNineInAHundredAreHaltedBeforeATenthOfTheFleetHasThem() {
    int found = 0;
    for (int seed = 1; seed <= 1_000; seed++) {
      found += release(seed, 0.08 + 0.4 * seed / 1_000) < 0.1 ? 1 : 0;
    }
    System.out.println("bad releases halted before a tenth of the fleet: " + found + " of 1000");
    assertThat(found).isGreaterThanOrEqualTo(990);
  }

  @Test
  void oneBadClassIsFoundAmongSoundOnes() {
    Map<String, OutcomeCount> fresh =
        Map.of("claim", new OutcomeCount(60, 20), "list", new OutcomeCount(5_000, 10));
    Map<String, OutcomeCount> old =
        Map.of("claim", new OutcomeCount(600, 6), "list", new OutcomeCount(50_000, 100));
    assertThat(new CanaryAnalysis(BOUNDS).evaluate(fresh, old, List.of()))
        .satisfies(
            verdict -> {
              assertThat(verdict.decision()).isEqualTo(Decision.HALT);
              assertThat(verdict.evidence()).contains("class claim").contains("20 of 60");
            });
  }

  @Test
  void itWaitsForReportsThatAreMissingAndForRequests() {
    CanaryAnalysis analysis = new CanaryAnalysis(BOUNDS);
    Map<String, OutcomeCount> well = Map.of("list", new OutcomeCount(5_000, 10));
    assertThat(analysis.evaluate(well, well, List.of("p3")))
        .isEqualTo(new CanaryAnalysis.Verdict(Decision.WAIT, "no fresh report of p3"));
    assertThat(
            analysis.evaluate(Map.of("list", new OutcomeCount(399, 0)), well, List.of()).decision())
        .isEqualTo(Decision.WAIT);
    assertThat(
            analysis.evaluate(well, Map.of("list", new OutcomeCount(10, 0)), List.of()).decision())
        .isEqualTo(Decision.WAIT);
    assertThat(analysis.evaluate(well, well, List.of()).decision()).isEqualTo(Decision.PROCEED);
  }

  @Test
  void whereNothingOldIsLeftTheNewIsHeldAgainstABound() {
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
