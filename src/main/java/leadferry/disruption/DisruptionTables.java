package leadferry.disruption;

/**
 * Tables of the replicated state on which targets are out of service. {@link DisruptionState} owns
 * the tables, the classes that hold the rules share them, and {@link DisruptionSnapshotCodec}
 * stores them. Not thread-safe.
 */
final class DisruptionTables {
  final StateRevision revision = new StateRevision();
  final BudgetTable budgets = new BudgetTable();
  final EvictionGrantTable grants = new EvictionGrantTable();
  final MemberTable members = new MemberTable();
  final EndpointCatalogTable catalogs = new EndpointCatalogTable();
  final EndpointWarmUpTracker warmUps = new EndpointWarmUpTracker();
  private String haltReason = "";

  /** Returns the reason for the halt, or "" if the fleet is not halted. */
  String haltReason() {
    return haltReason;
  }

  boolean isHalted() {
    return !haltReason.isEmpty();
  }

  void setHaltReason(String reason) {
    haltReason = reason;
  }
}
