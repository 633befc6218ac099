package leadferry.disruption;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import leadferry.disruption.Outcome.Status;

/** The budgets in force, in the order in which they were given, and their version. */
final class BudgetTable {
  private final List<Budget> budgets = new ArrayList<>();
  private long version;

  List<Budget> all() {
    return Collections.unmodifiableList(budgets);
  }

  /** How often the budgets were replaced; an operator names the version that is to be replaced. */
  long version() {
    return version;
  }

  /**
   * Puts these budgets in force in place of all others, all of them or none.
   *
   * @param expectedVersion the version that is to be replaced
   * @param revision counts the change
   */
  Outcome replace(List<Budget> replacements, long expectedVersion, StateRevision revision) {
    if (expectedVersion != version) {
      return Outcome.of(
          Status.CONFLICT, "budgets are at version " + version + ", not " + expectedVersion);
    }
    Set<String> names = new HashSet<>();
    for (Budget budget : replacements) {
      if (!names.add(budget.name())) {
        return Outcome.of(
            Status.MALFORMED,
            "budget " + budget.name() + ": a second time (expected: a name of its own)");
      }
    }
    revision.advanceChange();
    restore(replacements, version + 1);
    return Outcome.of(Status.DONE);
  }

  /** Takes the place of the budgets and their version. */
  void restore(List<Budget> restored, long restoredVersion) {
    budgets.clear();
    budgets.addAll(restored);
    version = restoredVersion;
  }
}
