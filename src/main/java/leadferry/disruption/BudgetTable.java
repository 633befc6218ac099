package leadferry.disruption;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

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

  /** Puts these budgets in force in place of all others. */
  void replace(List<Budget> replacements) {
    restore(replacements, version + 1);
  }

  /** Takes the place of the budgets and their version. */
  void restore(List<Budget> restored, long restoredVersion) {
    budgets.clear();
    budgets.addAll(restored);
    version = restoredVersion;
  }
}
