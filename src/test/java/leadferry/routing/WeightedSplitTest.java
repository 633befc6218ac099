package leadferry.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;

class WeightedSplitTest {
  private static final int KEYS = 20_000;

  private static WeightedSplit<String> of(double a, double b, double c) {
    return new WeightedSplit<>(
        List.of(
            new WeightedSplit.Part<>("a", a, "a"),
            new WeightedSplit.Part<>("b", b, "b"),
            new WeightedSplit.Part<>("c", c, "c")));
  }

  @Test
  void poolsGetKeysInProportionToTheirWeights() {
    WeightedSplit<String> s = of(5, 3, 2);
    int a = 0;
    int c = 0;
    for (int i = 0; i < KEYS; i++) {
      String p = s.pick(WeightedSplit.hash("key" + i));
      a += p.equals("a") ? 1 : 0;
      c += p.equals("c") ? 1 : 0;
    }
    assertThat(a / (double) KEYS).isCloseTo(0.5, within(0.02));
    assertThat(c / (double) KEYS).isCloseTo(0.2, within(0.02));
  }

  @Test
  void aKeyMovesOnlyToThePoolWhoseWeightRose() {
    double[] weights = {0, 1, 5, 25, 50, 100};
    for (int w = 1; w < weights.length; w++) {
      WeightedSplit<String> before = of(50, 30, weights[w - 1]);
      WeightedSplit<String> after = of(50, 30, weights[w]);
      int moved = 0;
      for (int i = 0; i < KEYS; i++) {
        long key = WeightedSplit.hash("key" + i);
        if (!before.pick(key).equals(after.pick(key))) {
          assertThat(after.pick(key)).isEqualTo("c");
          moved++;
        }
      }
      assertThat(moved).isPositive();
    }
  }

  @Test
  void aPoolOfNoWeightGetsNothing() {
    WeightedSplit<String> s = of(1, 0, 1);
    for (int i = 0; i < KEYS; i++) {
      assertThat(s.pick(WeightedSplit.hash("key" + i))).isNotEqualTo("b");
    }
  }
}
