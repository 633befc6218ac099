package leadferry.disruption;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against evictions that leave more targets unavailable than a budget or a built-in rule
 * allows: targets counted in the wrong group, ejected or restoring targets left out, or a pool
 * without its last endpoint.
 */
class BudgetEvaluatorTest {
  private final DisruptionTables tables = new DisruptionTables();
  private final TargetDirectory targets = new TargetDirectory(tables);
  private final EjectionCounter ejections = new EjectionCounter(tables.members);
  private final UnavailabilityEvaluator unavailability =
      new UnavailabilityEvaluator(tables, ejections);
  private final BudgetEvaluator evaluator =
      new BudgetEvaluator(tables.budgets, targets, unavailability);

  private static Target endpoint(String name, String zone, String pool) {
    return new Target(TargetType.ENDPOINT, name, zone, Target.NONE, pool, Target.NONE);
  }

  private void addProxy(String name, String... ejectedEndpoints) {
    ProxyReport report = new ProxyReport(1, 0, Set.of(), Set.of(ejectedEndpoints));
    tables.members.put(
        ProxyMember.newMember(name, new ProxyMember.Session("z", "v", 1))
            .withReport(report, true, 2));
  }

  private void addEndpoints(Target... endpoints) {
    tables.catalogs.add("digest", List.of(endpoints));
  }

  private void addBudget(String groupBy, int maxUnavailable) {
    List<Budget> budgets = new ArrayList<>(tables.budgets.all());
    budgets.add(
        new Budget(
            "b" + budgets.size(),
            TargetType.ENDPOINT,
            Map.of(),
            groupBy,
            maxUnavailable,
            Budget.NO_SHARE_BOUND,
            0));
    tables.budgets.restore(budgets, 1);
  }

  @Test
  void oneTargetMayBeUnavailableWithoutABudgetOfItsType() {
    addEndpoints(endpoint("h1", "a", "p"), endpoint("h2", "a", "p"), endpoint("h3", "a", "p"));

    assertThat(evaluator.findRefusals(endpoint("h1", "a", "p"))).isEmpty();
    tables.warmUps.begin("h2", 1);
    assertThat(evaluator.findRefusals(endpoint("h1", "a", "p")))
        .containsExactly("no budget of host: one at a time: 1 out, 1 allowed: h2 (warming up)");
  }

  @Test
  void aBudgetCountsOnlyTheGroupOfTheTarget() {
    addEndpoints(
        endpoint("h1", "a", "p"),
        endpoint("h2", "a", "p"),
        endpoint("h3", "b", "p"),
        endpoint("h4", "b", "p"));
    addBudget("zone", 1);
    tables.warmUps.begin("h2", 1);

    assertThat(evaluator.findRefusals(endpoint("h1", "a", "p")))
        .containsExactly("budget b0: 1 out, 1 allowed: h2 (warming up)");
    assertThat(evaluator.findRefusals(endpoint("h3", "b", "p"))).isEmpty();
  }

  @Test
  void theStricterOfTwoBudgetsRefuses() {
    addEndpoints(endpoint("h1", "a", "p"), endpoint("h2", "a", "p"), endpoint("h3", "a", "p"));
    addBudget("all", 2);
    addBudget("all", 1);
    tables.warmUps.begin("h2", 1);

    assertThat(evaluator.findRefusals(endpoint("h1", "a", "p")))
        .containsExactly("budget b1: 1 out, 1 allowed: h2 (warming up)");
  }

  @Test
  void theLastEndpointOfAPoolIsRefusedDespiteItsBudget() {
    addEndpoints(endpoint("h1", "a", "p"), endpoint("h2", "a", "other"));
    addBudget("all", 10);

    assertThat(evaluator.findRefusals(endpoint("h1", "a", "p")))
        .containsExactly("the last host of pool p: 0 out, 0 allowed");
  }

  @Test
  void theTargetItselfIsNotCountedAsUnavailable() {
    addEndpoints(endpoint("h1", "a", "p"), endpoint("h2", "a", "p"));
    tables.warmUps.begin("h1", 1);

    assertThat(evaluator.findRefusals(endpoint("h1", "a", "p"))).isEmpty();
  }

  @Test
  void anEndpointIsLostOnceTwoProxiesEjectedIt() {
    addProxy("a", "h1");
    addProxy("b");
    addProxy("c");

    assertThat(ejections.isLost("h1")).isFalse();
    assertThat(ejections.isOneEjectionBelowLost("h1")).isTrue();
    addProxy("b", "h1");
    assertThat(ejections.isLost("h1")).isTrue();
    assertThat(ejections.lostEndpoints()).containsExactly("h1");
    assertThat(unavailability.of(TargetType.ENDPOINT, "h1"))
        .contains(new Unavailability(Unavailability.Cause.EJECTED, "2"));
  }

  @Test
  void anEndpointIsLostOnceTheOnlyLiveProxyEjectedIt() {
    addProxy("a", "h1");

    assertThat(ejections.isLost("h1")).isTrue();
    assertThat(ejections.countEjections("h2")).isZero();
  }

  @Test
  void aRestoringGrantStillMakesItsTargetUnavailable() {
    Target target = endpoint("h1", "a", "p");
    EvictionGrant grant = tables.grants.add(new EvictionRequest(target, "o", "w", 0, false), 1);
    assertThat(unavailability.of(TargetType.ENDPOINT, "h1").orElseThrow().text())
        .isEqualTo("permit 1");

    tables.grants.beginRestoring(grant, 2, "done");

    assertThat(unavailability.of(TargetType.ENDPOINT, "h1").orElseThrow().text())
        .isEqualTo("permit 1, ending");
  }
}
