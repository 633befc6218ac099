package leadferry.disruption;

import java.util.List;

/**
 * What an entry of the agreed log asks about who may be out of service. The codec of the log maps
 * each to and from its stored form.
 */
public sealed interface DisruptionCommand {
  /**
   * Take a proxy or host out of service.
   *
   * @param durationMillis how long, 0 until it is given back
   * @param permanent a proxy that ends for good: it is forgotten once its session ends by its own
   *     word
   */
  record Drain(
      TargetType type,
      String name,
      long durationMillis,
      boolean permanent,
      String requestedBy,
      String reason)
      implements DisruptionCommand {}

  /** Give back what that eviction grant took out. */
  record Undo(String grantId, String reason) implements DisruptionCommand {}

  /** Grant nothing from here on. */
  record Halt(String reason) implements DisruptionCommand {}

  /** Grant again. */
  record Resume() implements DisruptionCommand {}

  /** An operator declares a proxy's process dead. */
  record Fence(String name) implements DisruptionCommand {}

  /** Forget a proxy that is gone for good. */
  record Forget(String name) implements DisruptionCommand {}

  /** Put these budgets in force in place of those of that version, all of them or none. */
  record ReplaceBudgets(List<Budget> budgets, long expectedVersion) implements DisruptionCommand {
    public ReplaceBudgets {
      budgets = List.copyOf(budgets);
    }
  }
}
