package leadferry.disruption;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Answers whether budgets would allow the eviction of a target, and if not, which forbid it. The
 * strictest bound wins. The last proxy and the last host of a pool stay whatever budgets say.
 */
final class BudgetEvaluator {
  /** How many may be unavailable of a type for which no budget is in force. */
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

  /** The bounds that forbid the eviction, in words; empty where it is allowed. */
  List<String> findRefusals(Target candidate) {
    return evaluateBounds(candidate).stream()
        .filter(BudgetBound::isExhausted)
        .map(BudgetBound::describe)
        .toList();
  }

  /** All bounds that the eviction meets: budgets in their order, then the rules above them. */
  List<BudgetBound> evaluateBounds(Target candidate) {
    Collection<Target> all = targets.byName(candidate.type()).values();
    List<BudgetBound> bounds = new ArrayList<>();
    for (Budget budget : budgets.all()) {
      if (budget.selects(candidate)) {
        bounds.add(evaluateBudget(budget, all, candidate));
      }
    }
    if (budgets.all().stream().noneMatch(budget -> budget.targetType() == candidate.type())) {
      String name = "no budget of " + candidate.type().storedName() + ": one at a time";
      bounds.add(evaluateBound(name, all, ALLOWED_WITHOUT_BUDGET, candidate));
    }
    bounds.add(evaluateLastOneBound(all, candidate));
    return bounds;
  }

  private BudgetBound evaluateBudget(Budget budget, Collection<Target> all, Target candidate) {
    List<Target> group =
        all.stream()
            .filter(target -> budget.selects(target) && budget.isSameGroup(target, candidate))
            .toList();
    return evaluateBound(
        "budget " + budget.name(), group, budget.allowedUnavailable(group.size()), candidate);
  }

  private BudgetBound evaluateLastOneBound(Collection<Target> all, Target candidate) {
    if (candidate.type() == TargetType.PROXY) {
      return evaluateBound("the last proxy", all, all.size() - 1, candidate);
    }
    List<Target> pool = all.stream().filter(host -> host.pool().equals(candidate.pool())).toList();
    return evaluateBound(
        "the last host of pool " + candidate.pool(), pool, pool.size() - 1, candidate);
  }

  private BudgetBound evaluateBound(
      String name, Collection<Target> group, int allowed, Target candidate) {
    List<String> others = new ArrayList<>();
    for (Target target : group) {
      if (!target.name().equals(candidate.name())) {
        unavailability
            .of(target.type(), target.name())
            .ifPresent(reason -> others.add(target.name() + " (" + reason.text() + ")"));
      }
    }
    return new BudgetBound(name, group.size(), allowed, others);
  }
}
