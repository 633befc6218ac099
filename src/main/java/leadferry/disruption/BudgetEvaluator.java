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
  List<String> refusals(Target asked) {
    return bounds(asked).stream().filter(BudgetBound::isExhausted).map(BudgetBound::text).toList();
  }

  /** All bounds that the eviction meets: budgets in their order, then the rules above them. */
  List<BudgetBound> bounds(Target asked) {
    Collection<Target> all = targets.byName(asked.kind()).values();
    List<BudgetBound> bounds = new ArrayList<>();
    for (Budget budget : budgets.all()) {
      if (budget.selects(asked)) {
        bounds.add(boundOf(budget, all, asked));
      }
    }
    if (budgets.all().stream().noneMatch(budget -> budget.targetType() == asked.kind())) {
      String name = "no budget of " + asked.kind().word() + ": one at a time";
      bounds.add(bound(name, all, ALLOWED_WITHOUT_BUDGET, asked));
    }
    bounds.add(lastOneStays(all, asked));
    return bounds;
  }

  private BudgetBound boundOf(Budget budget, Collection<Target> all, Target asked) {
    List<Target> group =
        all.stream()
            .filter(target -> budget.selects(target) && budget.sameGroup(target, asked))
            .toList();
    return bound("budget " + budget.name(), group, budget.allowedUnavailable(group.size()), asked);
  }

  private BudgetBound lastOneStays(Collection<Target> all, Target asked) {
    if (asked.kind() == TargetType.PROXY) {
      return bound("the last proxy", all, all.size() - 1, asked);
    }
    List<Target> pool = all.stream().filter(host -> host.pool().equals(asked.pool())).toList();
    return bound("the last host of pool " + asked.pool(), pool, pool.size() - 1, asked);
  }

  private BudgetBound bound(String name, Collection<Target> group, int allowed, Target asked) {
    List<String> others = new ArrayList<>();
    for (Target target : group) {
      if (!target.name().equals(asked.name())) {
        unavailability
            .of(target.kind(), target.name())
            .ifPresent(reason -> others.add(target.name() + " (" + reason.text() + ")"));
      }
    }
    return new BudgetBound(name, group.size(), allowed, others);
  }
}
