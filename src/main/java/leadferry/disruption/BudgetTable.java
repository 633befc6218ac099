package leadferry.disruption;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import leadferry.disruption.Outcome.Status;

/** The budgets in force, in their configured order, and their version. */
final class BudgetTable {
  private final List<Budget> budgets = new ArrayList<>();
  private long version;

  List<Budget> all() {
    return Collections.unmodifiableList(budgets);
  }

  /**
   * Returns the version of the budgets: the number of replacements so far. A replacement names the
   * version that it expects.
   */
  long version() {
    return version;
  }

  /**
   * Replaces all budgets, or none if one of them is rejected.
   *
   * @param expectedVersion version of the budgets to replace; another version gives {@link
   *     Status#CONFLICT}
   * @param revision counter that the replacement advances
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

  /** Replaces the budgets and their version by those of a snapshot. */
  void restore(List<Budget> restored, long restoredVersion) {
    budgets.clear();
    budgets.addAll(restored);
    version = restoredVersion;
  }
}
