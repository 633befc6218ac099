package leadferry.disruption;

/**
 * All that is agreed on who is out of service. {@link DisruptionState} owns it; the classes that
 * decide share it, and {@link DisruptionSnapshotCodec} stores it. Not safe for use by several
 * threads.
 */
final class DisruptionTables {
  final StateRevision revision = new StateRevision();
  final BudgetTable budgets = new BudgetTable();
  final EvictionGrantTable grants = new EvictionGrantTable();
  final MemberTable members = new MemberTable();
  final EndpointCatalogTable catalogs = new EndpointCatalogTable();
  final EndpointWarmUpTracker warmUps = new EndpointWarmUpTracker();
  private String haltReason = "";

  /** Why nothing is granted, "" where grants are given. */
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
