package leadferry.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a split that does not follow its weights, or that moves keys between pools whose
 * weights did not change.
 */
class WeightedSplitTest {
  private static final int KEYS = 20_000;

  private static WeightedSplit<String> splitOf(double weightA, double weightB, double weightC) {
    return new WeightedSplit<>(
        List.of(
            new WeightedSplit.Part<>("a", weightA, "a"),
            new WeightedSplit.Part<>("b", weightB, "b"),
            new WeightedSplit.Part<>("c", weightC, "c")));
  }

  @Test
  void poolsReceiveKeysInProportionToTheirWeights() {
    WeightedSplit<String> split = splitOf(5, 3, 2);
    int countA = 0;
    int countC = 0;
    for (int i = 0; i < KEYS; i++) {
      String pool = split.pick(WeightedSplit.hash("key" + i));
      countA += pool.equals("a") ? 1 : 0;
      countC += pool.equals("c") ? 1 : 0;
    }
    assertThat(countA / (double) KEYS).isCloseTo(0.5, within(0.02));
    assertThat(countC / (double) KEYS).isCloseTo(0.2, within(0.02));
  }

  @Test
  void risingWeightMovesKeysOnlyToThatPool() {
    double[] weights = {0, 1, 5, 25, 50, 100};
    for (int step = 1; step < weights.length; step++) {
      WeightedSplit<String> before = splitOf(50, 30, weights[step - 1]);
      WeightedSplit<String> after = splitOf(50, 30, weights[step]);
      int moved = 0;
      for (int i = 0; i < KEYS; i++) {
        long keyHash = WeightedSplit.hash("key" + i);
        if (!before.pick(keyHash).equals(after.pick(keyHash))) {
          assertThat(after.pick(keyHash)).isEqualTo("c");
          moved++;
        }
      }
      assertThat(moved).isPositive();
    }
  }

  @Test
  void poolWithoutWeightReceivesNoKey() {
    WeightedSplit<String> split = splitOf(1, 0, 1);
    for (int i = 0; i < KEYS; i++) {
      assertThat(split.pick(WeightedSplit.hash("key" + i))).isNotEqualTo("b");
    }
  }
}
