/**
 * Who is out of service, by whose word, and how many may be: budgets, eviction grants, drains,
 * halt. Begin with {@link leadferry.disruption.DisruptionState}, the facade; {@code
 * DisruptionTables} holds what is agreed, {@code UnavailabilityEvaluator} and {@code
 * BudgetEvaluator} hold the rules, {@code DisruptionSnapshotCodec} the stored form. {@link
 * leadferry.disruption.ProxyMemberView} is the proxies' side. Deterministic: applied from the
 * agreed log, it takes no time, chance or environment but what an entry brings, and does no I/O. It
 * must not know how entries are agreed.
 */
package leadferry.disruption;
