package leadferry.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The invariants of {@link ReleaseWorld} under all interleavings of its {@link ReleaseWorldSteps}.
 */
class ReleaseStateSpaceTest {
  private static final int DEPTH = Integer.getInteger("release.depth", 3);
  private static final int SEEDS = Integer.getInteger("release.seeds", 100);
  private static final int RANDOM_WALK_STEPS = 80;

  @ParameterizedTest
  @CsvSource({"true,0", "true,2", "true,3", "false,3", "true,4", "false,4"})
  void allInterleavingsKeepThePromises(boolean checks, int undisturbedSteps) {
    StateSpaceExplorer explorer =
        new StateSpaceExplorer(() -> new ReleaseWorld(checks, undisturbedSteps));
    assertThat(explorer.all(DEPTH)).isEmpty();
    System.out.println(
        "releases walked: "
            + explorer.states()
            + " states to a depth of "
            + DEPTH
            + " from step "
            + undisturbedSteps);
    assertThat(explorer.states()).isGreaterThan(100);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void walksAtRandomKeepThePromisesAndAllCanBeTakenBackAfterwards(boolean checks) {
    StateSpaceExplorer explorer = new StateSpaceExplorer(() -> new ReleaseWorld(checks, 0));
    int[] executed = new int[1];
    for (long seed = 1; seed <= SEEDS; seed++) {
      assertThat(
              explorer.random(
                  seed,
                  RANDOM_WALK_STEPS,
                  world -> {
                    ReleaseWorld releaseWorld = (ReleaseWorld) world;
                    executed[0] += releaseWorld.executed.size();
                    ReleaseWorldEnding.bringAbout(releaseWorld);
                  }))
          .as("seed " + seed)
          .isEmpty();
    }
    System.out.println(
        "releases walked at random: " + executed[0] + " commands ran before the end");
    assertThat(executed[0]).isPositive();
  }
}
