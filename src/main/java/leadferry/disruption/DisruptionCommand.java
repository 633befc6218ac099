package leadferry.disruption;

import java.util.List;

/**
 * A command of the replicated log that changes which targets are or may be out of service. The
 * codec of the log maps each command to and from its stored form.
 */
public sealed interface DisruptionCommand {
  /**
   * Takes a proxy or an endpoint out of service.
   *
   * @param durationMillis duration of the grant (ms); 0 for no expiry
   * @param permanent whether a proxy shuts down for good; the member is then removed once the proxy
   *     has closed its session itself
   */
  record Drain(
      TargetType type,
      String name,
      long durationMillis,
      boolean permanent,
      String requestedBy,
      String reason)
      implements DisruptionCommand {}

  /** Returns the target of an eviction grant to service. */
  record Undo(String grantId, String reason) implements DisruptionCommand {}

  /** Stops all granting until {@link Resume}. */
  record Halt(String reason) implements DisruptionCommand {}

  /** Allows granting again after {@link Halt}. */
  record Resume() implements DisruptionCommand {}

  /** Records an operator's declaration that the process of a proxy is dead. */
  record Fence(String name) implements DisruptionCommand {}

  /** Removes a proxy that will not return. */
  record Forget(String name) implements DisruptionCommand {}

  /** Replaces all budgets if their version is {@code expectedVersion}, otherwise none of them. */
  record ReplaceBudgets(List<Budget> budgets, long expectedVersion) implements DisruptionCommand {
    /** Keeps a copy of the budgets. */
    public ReplaceBudgets {
      budgets = List.copyOf(budgets);
    }
  }
}
