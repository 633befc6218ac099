/**
 * Who is out of service, by whose word, and how many may be: budgets, permits, drains, halt. Begin
 * with {@link leadferry.disruption.DisruptionState}. Deterministic: applied from the agreed log, it
 * takes no time, chance or environment but what an entry brings, and does no I/O. It must not know
 * how entries are agreed.
 */
package leadferry.disruption;
