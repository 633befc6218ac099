package leadferry.disruption;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class BudgetTest {
  private static Budget hosts(int maxUnavailable, double maxUnavailableShare, int minAvailable) {
    return new Budget(
        "any",
        TargetType.HOST,
        Map.of(),
        Budget.ALL,
        maxUnavailable,
        maxUnavailableShare,
        minAvailable);
  }

  private static Target host(String name, String zone, String pool) {
    return new Target(TargetType.HOST, name, zone, Target.NONE, pool, Target.NONE);
  }

  @Test
  void theStrictestOfTheThreeBoundsHolds() {
    assertThat(hosts(3, 0.5, 0).allowedUnavailable(10)).isEqualTo(3);
    assertThat(hosts(3, 0.2, 0).allowedUnavailable(10)).isEqualTo(2);
    assertThat(hosts(3, 0.5, 9).allowedUnavailable(10)).isEqualTo(1);
  }

  @Test
  void aBoundThatIsNotSetAllowsTheWholeGroup() {
    Budget unbounded = hosts(Budget.NO_COUNT_BOUND, Budget.NO_SHARE_BOUND, 0);

    assertThat(unbounded.allowedUnavailable(7)).isEqualTo(7);
  }

  @Test
  void aShareIsRoundedDownButNotBelowAnExactProduct() {
    assertThat(hosts(-1, 0.34, 0).allowedUnavailable(5)).isEqualTo(1);
    assertThat(hosts(-1, 0.29, 0).allowedUnavailable(100)).isEqualTo(29);
  }

  @Test
  void moreRequiredThanThereAreAllowsNone() {
    assertThat(hosts(-1, 2, 5).allowedUnavailable(3)).isZero();
    assertThat(hosts(2, 2, 0).allowedUnavailable(0)).isZero();
  }

  @Test
  void aBudgetSelectsByTypeAndByAllOfItsLabels() {
    Budget budget =
        new Budget("zone a", TargetType.HOST, Map.of("zone", "a", "pool", "main"), "all", 1, 2, 0);

    assertThat(budget.selects(host("h1", "a", "main"))).isTrue();
    assertThat(budget.selects(host("h2", "b", "main"))).isFalse();
    assertThat(budget.selects(host("h3", "a", "other"))).isFalse();
    assertThat(budget.selects(new Target(TargetType.PROXY, "p", "a", "-", "main", "-"))).isFalse();
  }

  @Test
  void targetsShareAGroupWhereTheyAgreeInTheGroupingLabel() {
    Budget byZone = new Budget("zones", TargetType.HOST, Map.of(), "zone", 1, 2, 0);

    assertThat(byZone.isSameGroup(host("h1", "a", "x"), host("h2", "a", "y"))).isTrue();
    assertThat(byZone.isSameGroup(host("h1", "a", "x"), host("h2", "b", "x"))).isFalse();
    assertThat(hosts(1, 2, 0).isSameGroup(host("h1", "a", "x"), host("h2", "b", "x"))).isTrue();
  }

  @Test
  void aBudgetReadBackFromItsStoredFormIsTheSame() {
    Budget budget =
        new Budget("b", TargetType.PROXY, Map.of("zone", "a", "kind", "k"), "pod", 2, 0.25, 1);
    ObjectNode json = JsonNodeFactory.instance.objectNode();

    BudgetCodec.encode(budget, json);

    assertThat(json.toString())
        .isEqualTo(
            "{\"name\":\"b\",\"of\":\"proxy\",\"by\":\"pod\",\"max_out\":2,\"max_share\":0.25,"
                + "\"min_in\":1,\"where\":{\"kind\":\"k\",\"zone\":\"a\"}}");
    assertThat(BudgetCodec.decode(json, new ArrayList<>())).isEqualTo(budget);
  }

  @Test
  void eachErrorOfAStoredBudgetIsToldInOrder() {
    ObjectNode json =
        JsonNodeFactory.instance
            .objectNode()
            .put("name", "?")
            .put("of", "cat")
            .put("by", "moon")
            .put("min_in", -1);
    json.putObject("where").put("colour", "red");
    List<String> errors = new ArrayList<>();

    assertThat(BudgetCodec.decode(json, errors)).isNull();

    assertThat(errors)
        .containsExactly(
            "budget name: '?' (expected: letters, digits, _, - and ., at most 64)",
            "budget ?, of: 'cat' (expected: proxy or host)",
            "budget ?, by: 'moon' (expected: all, zone, pod, pool or kind)",
            "budget ?, where: 'colour' (expected: zone, pod, pool or kind)",
            "budget ?: no bound (expected: max_out, max_share or min_in)",
            "budget ?: below 0 (expected: bounds of 0 or more)");
  }
}
