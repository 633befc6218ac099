package leadferry.disruption;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class BudgetEvaluatorTest {
  private final DisruptionTables tables = new DisruptionTables();
  private final TargetDirectory targets = new TargetDirectory(tables);
  private final EjectionCounter ejections = new EjectionCounter(tables.members);
  private final UnavailabilityEvaluator unavailability =
      new UnavailabilityEvaluator(tables, ejections);
  private final BudgetEvaluator evaluator =
      new BudgetEvaluator(tables.budgets, targets, unavailability);

  private static Target host(String name, String zone, String pool) {
    return new Target(TargetType.HOST, name, zone, Target.NONE, pool, Target.NONE);
  }

  private void proxy(String name, String... ejectedHosts) {
    ProxyReport report = new ProxyReport(1, 0, Set.of(), Set.of(ejectedHosts));
    tables.members.put(
        ProxyMember.newMember(name, new ProxyMember.Session("z", "v", 1))
            .withReport(report, true, 2));
  }

  private void hosts(Target... hosts) {
    tables.catalogs.add("digest", List.of(hosts));
  }

  private void budget(String groupBy, int maxUnavailable) {
    List<Budget> budgets = new ArrayList<>(tables.budgets.all());
    budgets.add(
        new Budget(
            "b" + budgets.size(),
            TargetType.HOST,
            Map.of(),
            groupBy,
            maxUnavailable,
            Budget.NO_SHARE_BOUND,
            0));
    tables.budgets.restore(budgets, 1);
  }

  @Test
  void withoutABudgetOfTheTypeOneMayBeUnavailable() {
    hosts(host("h1", "a", "p"), host("h2", "a", "p"), host("h3", "a", "p"));

    assertThat(evaluator.findRefusals(host("h1", "a", "p"))).isEmpty();
    tables.warmUps.begin("h2", 1);
    assertThat(evaluator.findRefusals(host("h1", "a", "p")))
        .containsExactly("no budget of host: one at a time: 1 out, 1 allowed: h2 (warming up)");
  }

  @Test
  void aBudgetCountsOnlyTheGroupOfTheTarget() {
    hosts(host("h1", "a", "p"), host("h2", "a", "p"), host("h3", "b", "p"), host("h4", "b", "p"));
    budget("zone", 1);
    tables.warmUps.begin("h2", 1);

    assertThat(evaluator.findRefusals(host("h1", "a", "p")))
        .containsExactly("budget b0: 1 out, 1 allowed: h2 (warming up)");
    assertThat(evaluator.findRefusals(host("h3", "b", "p"))).isEmpty();
  }

  @Test
  void theStricterOfTwoBudgetsForbids() {
    hosts(host("h1", "a", "p"), host("h2", "a", "p"), host("h3", "a", "p"));
    budget("all", 2);
    budget("all", 1);
    tables.warmUps.begin("h2", 1);

    assertThat(evaluator.findRefusals(host("h1", "a", "p")))
        .containsExactly("budget b1: 1 out, 1 allowed: h2 (warming up)");
  }

  @Test
  void theLastHostOfAPoolStaysWhateverBudgetsSay() {
    hosts(host("h1", "a", "p"), host("h2", "a", "other"));
    budget("all", 10);

    assertThat(evaluator.findRefusals(host("h1", "a", "p")))
        .containsExactly("the last host of pool p: 0 out, 0 allowed");
  }

  @Test
  void theTargetItselfIsNotCountedAmongTheOthers() {
    hosts(host("h1", "a", "p"), host("h2", "a", "p"));
    tables.warmUps.begin("h1", 1);

    assertThat(evaluator.findRefusals(host("h1", "a", "p"))).isEmpty();
  }

  @Test
  void aHostIsLostOnceTwoProxiesEjectedIt() {
    proxy("a", "h1");
    proxy("b");
    proxy("c");

    assertThat(ejections.isLost("h1")).isFalse();
    assertThat(ejections.isOneEjectionBelowLost("h1")).isTrue();
    proxy("b", "h1");
    assertThat(ejections.isLost("h1")).isTrue();
    assertThat(ejections.lostEndpoints()).containsExactly("h1");
    assertThat(unavailability.of(TargetType.HOST, "h1"))
        .contains(new Unavailability(Unavailability.Cause.EJECTED, "2"));
  }

  @Test
  void aHostIsLostOnceTheOnlyLiveProxyEjectedIt() {
    proxy("a", "h1");

    assertThat(ejections.isLost("h1")).isTrue();
    assertThat(ejections.countEjections("h2")).isZero();
  }

  @Test
  void aGrantThatIsRestoringStillMakesItsTargetUnavailable() {
    Target target = host("h1", "a", "p");
    EvictionGrant grant = tables.grants.add(new EvictionRequest(target, "o", "w", 0, false), 1);
    assertThat(unavailability.of(TargetType.HOST, "h1").orElseThrow().text()).isEqualTo("permit 1");

    tables.grants.beginRestoring(grant, 2, "done");

    assertThat(unavailability.of(TargetType.HOST, "h1").orElseThrow().text())
        .isEqualTo("permit 1, ending");
  }
}
