package leadferry.consensus;

import java.util.List;
import java.util.Optional;
import java.util.SortedSet;
import leadferry.disruption.DisruptionCommand;
import leadferry.disruption.Target;
import leadferry.release.ReleaseCommand;

/**
 * A decoded entry of the replicated log. {@link LogEntryCodec} maps each entry to its stored form.
 */
public sealed interface LogEntry {
  /**
   * The endpoints between which a member balances load.
   *
   * @param digest identifies the catalog; another catalog is ignored while one with the same digest
   *     is stored
   */
  record EndpointCatalog(String digest, List<Target> endpoints) {
    public EndpointCatalog {
      endpoints = List.copyOf(endpoints);
    }
  }

  /**
   * Requests a session for a member.
   *
   * @param incarnation distinguishes successive processes with the same name
   * @param leaseMillis time (ms) for which the session lasts without a renewal
   * @param runningVersion the software version that the member runs
   */
  record Join(
      String name,
      String incarnation,
      long leaseMillis,
      String zone,
      String runningVersion,
      EndpointCatalog catalog)
      implements LogEntry {}

  /**
   * A member's report of its state.
   *
   * @param reportNumber increases within a session; a late report with a lower number is ignored
   * @param acknowledgedVersion the version of the fleet view that the member follows
   * @param busyEndpoints draining endpoints to which the member has requests in flight
   * @param ejectedEndpoints endpoints that the member has ejected
   * @param catalog the new catalog; empty if it has not changed
   */
  record MemberReport(
      String name,
      long session,
      long reportNumber,
      long acknowledgedVersion,
      boolean serving,
      SortedSet<String> busyEndpoints,
      SortedSet<String> ejectedEndpoints,
      Optional<EndpointCatalog> catalog)
      implements LogEntry {}

  /** Ends a session at the request of its member. */
  record Leave(String name, long session) implements LogEntry {}

  /** Ends a session that was not renewed within its lease. Submitted by the leader. */
  record SessionExpired(String name, long session) implements LogEntry {}

  /** Records that a timer of a drain or release expired. Submitted by the leader. */
  record TimerExpired(String timer) implements LogEntry {}

  /** Carries a command about which members and endpoints may be out of service. */
  record Disruption(DisruptionCommand command) implements LogEntry {}

  /**
   * Carries a command for a release.
   *
   * @param fromDriver whether a driver submitted the command; otherwise an operator did
   */
  record Release(ReleaseCommand command, boolean fromDriver) implements LogEntry {}

  /**
   * An operator's entry that is not valid.
   *
   * @param reasons what was wrong and what was expected
   */
  record Malformed(List<String> reasons) implements LogEntry {
    public Malformed {
      reasons = List.copyOf(reasons);
    }
  }

  /** Returns the entry that records the expiry of a timer of {@link FleetStateMachine#timers}. */
  static LogEntry ofExpiredTimer(String timer) {
    return SessionTable.isSessionTimer(timer)
        ? SessionTable.sessionExpiredEntry(timer)
        : new TimerExpired(timer);
  }
}
