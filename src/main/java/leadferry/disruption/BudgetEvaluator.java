package leadferry.disruption;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Evaluates whether a target may be evicted, and which bounds forbid the eviction. Every bound must
 * allow it. The last available proxy and the last available endpoint of a pool are never evicted,
 * whatever the budgets allow.
 */
final class BudgetEvaluator {
  /** Maximum number of unavailable targets of a type without a budget. */
  private static final int ALLOWED_WITHOUT_BUDGET = 1;

  private final BudgetTable budgets;
  private final TargetDirectory targets;
  private final UnavailabilityEvaluator unavailability;

  BudgetEvaluator(
      BudgetTable budgets, TargetDirectory targets, UnavailabilityEvaluator unavailability) {
    this.budgets = budgets;
    this.targets = targets;
    this.unavailability = unavailability;
  }

  /** Returns the text of each bound that forbids the eviction; empty if it is allowed. */
  List<String> findRefusals(Target candidate) {
    return evaluateBounds(candidate).stream()
        .filter(BudgetBound::isExhausted)
        .map(BudgetBound::describe)
        .toList();
  }

  /**
   * Returns all bounds that apply to the eviction: budgets in their configured order, then the
   * built-in rules.
   */
  List<BudgetBound> evaluateBounds(Target candidate) {
    Collection<Target> allTargets = targets.byName(candidate.type()).values();
    List<BudgetBound> bounds = new ArrayList<>();
    for (Budget budget : budgets.all()) {
      if (budget.selects(candidate)) {
        bounds.add(evaluateBudget(budget, allTargets, candidate));
      }
    }
    if (budgets.all().stream().noneMatch(budget -> budget.targetType() == candidate.type())) {
      String name = "no budget of " + candidate.type().storedName() + ": one at a time";
      bounds.add(evaluateBound(name, allTargets, ALLOWED_WITHOUT_BUDGET, candidate));
    }
    bounds.add(evaluateLastOneBound(allTargets, candidate));
    return bounds;
  }

  private BudgetBound evaluateBudget(
      Budget budget, Collection<Target> allTargets, Target candidate) {
    List<Target> group =
        allTargets.stream()
            .filter(target -> budget.selects(target) && budget.isSameGroup(target, candidate))
            .toList();
    return evaluateBound(
        "budget " + budget.name(), group, budget.allowedUnavailable(group.size()), candidate);
  }

  private BudgetBound evaluateLastOneBound(Collection<Target> allTargets, Target candidate) {
    if (candidate.type() == TargetType.PROXY) {
      return evaluateBound("the last proxy", allTargets, allTargets.size() - 1, candidate);
    }
    List<Target> pool =
        allTargets.stream().filter(endpoint -> endpoint.pool().equals(candidate.pool())).toList();
    return evaluateBound(
        "the last host of pool " + candidate.pool(), pool, pool.size() - 1, candidate);
  }

  private BudgetBound evaluateBound(
      String name, Collection<Target> group, int allowed, Target candidate) {
    List<String> unavailableOthers = new ArrayList<>();
    for (Target target : group) {
      if (!target.name().equals(candidate.name())) {
        unavailability
            .of(target.type(), target.name())
            .ifPresent(reason -> unavailableOthers.add(target.name() + " (" + reason.text() + ")"));
      }
    }
    return new BudgetBound(name, group.size(), allowed, unavailableOthers);
  }
}
