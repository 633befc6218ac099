package leadferry.disruption;

import java.util.List;

/**
 * One bound that an eviction is checked against.
 *
 * @param name name of the budget or rule that sets the bound, as refusals show it
 * @param groupSize number of targets in the group
 * @param allowed maximum number of unavailable targets in the group
 * @param unavailableOthers unavailable targets of the group as "name (reason)", without the target
 *     to evict
 */
record BudgetBound(String name, int groupSize, int allowed, List<String> unavailableOthers) {
  BudgetBound {
    unavailableOthers = List.copyOf(unavailableOthers);
  }

  /** Returns whether the eviction of the target would exceed the bound. */
  boolean isExhausted() {
    return unavailableOthers.size() + 1 > allowed;
  }

  /**
   * Returns the text of the refusal. It is stored and sent to callers, so its wording must not
   * change.
   */
  String describe() {
    String counts = name + ": " + unavailableOthers.size() + " out, " + allowed + " allowed";
    return unavailableOthers.isEmpty()
        ? counts
        : counts + ": " + String.join(", ", unavailableOthers);
  }
}
