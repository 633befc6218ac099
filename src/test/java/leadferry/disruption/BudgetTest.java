package leadferry.disruption;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against a wrong number of targets that a budget allows to be unavailable, such as by
 * rounding a share, and against stored budgets that other builds read differently.
 */
class BudgetTest {
  private static Budget endpointBudget(
      int maxUnavailable, double maxUnavailableShare, int minAvailable) {
    return new Budget(
        "any",
        TargetType.ENDPOINT,
        Map.of(),
        Budget.ALL,
        maxUnavailable,
        maxUnavailableShare,
        minAvailable);
  }

  private static Target endpoint(String name, String zone, String pool) {
    return new Target(TargetType.ENDPOINT, name, zone, Target.NONE, pool, Target.NONE);
  }

  @Test
  void theStrictestOfTheThreeBoundsApplies() {
    assertThat(endpointBudget(3, 0.5, 0).allowedUnavailable(10)).isEqualTo(3);
    assertThat(endpointBudget(3, 0.2, 0).allowedUnavailable(10)).isEqualTo(2);
    assertThat(endpointBudget(3, 0.5, 9).allowedUnavailable(10)).isEqualTo(1);
  }

  @Test
  void anUnsetBoundAllowsTheWholeGroup() {
    Budget unbounded = endpointBudget(Budget.NO_COUNT_BOUND, Budget.NO_SHARE_BOUND, 0);

    assertThat(unbounded.allowedUnavailable(7)).isEqualTo(7);
  }

  @Test
  void aShareIsRoundedDownButNotBelowAnExactProduct() {
    assertThat(endpointBudget(-1, 0.34, 0).allowedUnavailable(5)).isEqualTo(1);
    assertThat(endpointBudget(-1, 0.29, 0).allowedUnavailable(100)).isEqualTo(29);
  }

  @Test
  void minAvailableAboveTheGroupSizeAllowsNoUnavailableTarget() {
    assertThat(endpointBudget(-1, 2, 5).allowedUnavailable(3)).isZero();
    assertThat(endpointBudget(2, 2, 0).allowedUnavailable(0)).isZero();
  }

  @Test
  void aBudgetSelectsByTypeAndByAllItsLabels() {
    Budget budget =
        new Budget(
            "zone a", TargetType.ENDPOINT, Map.of("zone", "a", "pool", "main"), "all", 1, 2, 0);

    assertThat(budget.selects(endpoint("h1", "a", "main"))).isTrue();
    assertThat(budget.selects(endpoint("h2", "b", "main"))).isFalse();
    assertThat(budget.selects(endpoint("h3", "a", "other"))).isFalse();
    assertThat(budget.selects(new Target(TargetType.PROXY, "p", "a", "-", "main", "-"))).isFalse();
  }

  @Test
  void targetsWithTheSameGroupingLabelShareAGroup() {
    Budget byZone = new Budget("zones", TargetType.ENDPOINT, Map.of(), "zone", 1, 2, 0);

    assertThat(byZone.isSameGroup(endpoint("h1", "a", "x"), endpoint("h2", "a", "y"))).isTrue();
    assertThat(byZone.isSameGroup(endpoint("h1", "a", "x"), endpoint("h2", "b", "x"))).isFalse();
    assertThat(
            endpointBudget(1, 2, 0).isSameGroup(endpoint("h1", "a", "x"), endpoint("h2", "b", "x")))
        .isTrue();
  }

  @Test
  void aBudgetDecodedFromItsStoredFormIsEqual() {
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
  void allErrorsOfAStoredBudgetAreReportedInOrder() {
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
