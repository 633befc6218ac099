/**
 * Which proxies and endpoints are out of service, who requested that, and how many may be out of
 * service at the same time: budgets, eviction grants, drains, halt. {@link
 * leadferry.disruption.DisruptionState} is the facade; {@code DisruptionTables} holds the
 * replicated state, {@code UnavailabilityEvaluator} and {@code BudgetEvaluator} hold the rules, and
 * {@code DisruptionSnapshotCodec} defines the stored form. {@link
 * leadferry.disruption.ProxyMemberView} is the part that runs in each proxy.
 *
 * <p>The package is deterministic: it applies entries of the replicated log, takes times and random
 * values only from those entries, reads no environment and does no I/O. It must not depend on the
 * consensus protocol.
 */
package leadferry.disruption;
