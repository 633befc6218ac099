/**
 * What processes have agreed on: a replicated log that the keepers hold, sessions with leases, and
 * the side of those who ask. Begin with {@link corkproxy.quorum.Ledger}, the state machine that
 * each keeper applies the log to; {@link corkproxy.quorum.Timers} and {@link
 * corkproxy.quorum.Lease} are the two ends of a session's time, {@link corkproxy.quorum.Keeper} the
 * process, {@link corkproxy.quorum.KeeperClient} those who call it. It must know no hosts, drains
 * or policies, only that {@link corkproxy.disruption.Disruption} is what an entry may be for.
 */
package corkproxy.quorum;
