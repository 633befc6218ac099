package leadferry.disruption;

import java.util.List;

/**
 * One bound that an eviction meets.
 *
 * @param name the budget or rule that sets it, for people
 * @param groupSize how many targets are counted together
 * @param allowed how many of them may be unavailable
 * @param unavailableOthers those that are, but for the one that was asked for: "name (reason)"
 */
record BudgetBound(String name, int groupSize, int allowed, List<String> unavailableOthers) {
  BudgetBound {
    unavailableOthers = List.copyOf(unavailableOthers);
  }

  /** Whether the bound leaves no place for the target that was asked for. */
  boolean isExhausted() {
    return unavailableOthers.size() + 1 > allowed;
  }

  /** The bound in the words of refusals, which are stored. */
  String describe() {
    String counts = name + ": " + unavailableOthers.size() + " out, " + allowed + " allowed";
    return unavailableOthers.isEmpty()
        ? counts
        : counts + ": " + String.join(", ", unavailableOthers);
  }
}
