package leadferry.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks the invariants of {@link ReleaseModel} under all interleavings of its {@link
 * ReleaseModelSteps} to a fixed depth, and on random walks that end with a rollback.
 */
class ReleaseStateSpaceTest {
  private static final int DEPTH = Integer.getInteger("release.depth", 3);
  private static final int SEEDS = Integer.getInteger("release.seeds", 100);
  private static final int RANDOM_WALK_STEPS = 80;

  @ParameterizedTest
  @CsvSource({"true,0", "true,2", "true,3", "false,3", "true,4", "false,4"})
  void allInterleavingsKeepTheInvariants(boolean checks, int undisturbedSteps) {
    StateSpaceExplorer explorer =
        new StateSpaceExplorer(() -> new ReleaseModel(checks, undisturbedSteps));
    assertThat(explorer.exploreAll(DEPTH)).isEmpty();
    System.out.println(
        "releases explored: "
            + explorer.stateCount()
            + " states to a depth of "
            + DEPTH
            + " from step "
            + undisturbedSteps);
    assertThat(explorer.stateCount()).isGreaterThan(100);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void randomWalksKeepTheInvariantsAndCanBeRolledBack(boolean checks) {
    StateSpaceExplorer explorer = new StateSpaceExplorer(() -> new ReleaseModel(checks, 0));
    int[] commandCount = new int[1];
    for (long seed = 1; seed <= SEEDS; seed++) {
      assertThat(
              explorer.randomWalk(
                  seed,
                  RANDOM_WALK_STEPS,
                  model -> {
                    ReleaseModel releaseModel = (ReleaseModel) model;
                    commandCount[0] += releaseModel.executed.size();
                    ReleaseModelRollback.rollBackAndCheck(releaseModel);
                  }))
          .as("seed " + seed)
          .isEmpty();
    }
    System.out.println(
        "random walks of releases: " + commandCount[0] + " commands ran before the rollback");
    assertThat(commandCount[0]).isPositive();
  }
}
