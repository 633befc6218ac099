package leadferry.consensus;

import java.util.List;
import java.util.Optional;
import java.util.SortedSet;
import leadferry.disruption.DisruptionCommand;
import leadferry.disruption.Target;
import leadferry.release.ReleaseCommand;

/** What an entry of the replicated log asks; {@link LogEntryCodec} maps each to its stored form. */
public sealed interface LogEntry {
  /**
   * The endpoints that a member balances over.
   *
   * @param digest what tells two catalogs apart; the first one stored under a digest counts
   */
  record EndpointCatalog(String digest, List<Target> endpoints) {
    public EndpointCatalog {
      endpoints = List.copyOf(endpoints);
    }
  }

  /**
   * A member asks for a session.
   *
   * @param incarnation tells the processes that carry this name one after another apart
   * @param leaseMillis how long the session lives without a renewal
   * @param runningVersion what the member runs
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
   * A member reports what it does.
   *
   * @param reportNumber counts up within a session; a report with a lower one that comes late is
   *     ignored
   * @param acknowledgedVersion the version of the fleet's view that the member goes by
   * @param busyEndpoints draining hosts to which it has requests in flight
   * @param ejectedEndpoints hosts that it has ejected
   * @param catalog its new catalog, where that has changed
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

  /** A member ends its session by itself. */
  record Leave(String name, long session) implements LogEntry {}

  /** The leader found that a session was not renewed for its lease. */
  record SessionExpired(String name, long session) implements LogEntry {}

  /** The leader found that a timer of a drain or release ran out. */
  record TimerExpired(String timer) implements LogEntry {}

  /** Asks about who may be out of service. */
  record Disruption(DisruptionCommand command) implements LogEntry {}

  /**
   * Asks something of a release.
   *
   * @param fromDriver whether a driver wrote it, not an operator
   */
  record Release(ReleaseCommand command, boolean fromDriver) implements LogEntry {}

  /** An operator's entry that can't be read, and what was expected. */
  record Malformed(List<String> reasons) implements LogEntry {
    public Malformed {
      reasons = List.copyOf(reasons);
    }
  }

  /** The entry that records that a timer of {@link FleetStateMachine#timers} has run out. */
  static LogEntry ofExpiredTimer(String timer) {
    return SessionTable.isSessionTimer(timer)
        ? SessionTable.sessionExpiredEntry(timer)
        : new TimerExpired(timer);
  }
}
