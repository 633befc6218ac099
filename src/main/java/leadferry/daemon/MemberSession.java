package leadferry.daemon;

import java.util.Optional;
import java.util.SortedSet;
import leadferry.consensus.Lease;
import leadferry.consensus.LogEntry;

/**
 * Tracks the session of this process and what has been reported in it.
 *
 * <pre>
 *   NONE -- joined --> OPEN -- renewed --> OPEN -- lost --> NONE
 * </pre>
 *
 * <p>Invariants: the lease counts from renewals alone. Report numbers never decrease: a join may
 * return the earlier session, in which the replicated log ignores reports with lower numbers.
 * Confined to the agent's thread.
 */
final class MemberSession {
  /** Whether a session is open. */
  enum State {
    NONE,
    OPEN
  }

  /** Activity that the member reports, apart from its endpoint catalog. */
  record Activity(
      long seenVersion,
      boolean serving,
      SortedSet<String> busyHosts,
      SortedSet<String> suspectedHosts) {}

  private final String name;
  private final Lease lease;
  private State state = State.NONE;
  private long id;
  private long lastReportNumber;
  private Optional<Activity> reportedActivity = Optional.empty();
  private String reportedCatalog = "";

  MemberSession(String name, long leaseMillis) {
    this.name = name;
    this.lease = new Lease(leaseMillis);
  }

  boolean isOpen() {
    return state == State.OPEN;
  }

  /** Returns the session's number, which is valid only while the session is open. */
  long id() {
    return id;
  }

  /** Returns whether the lease is valid at a time (ns). */
  boolean leaseHolds(long nowNanos) {
    return lease.isHeld(nowNanos);
  }

  /**
   * Called when the replicated log has opened the session and holds the catalog sent with the join.
   */
  void onJoined(long session, LogEntry.EndpointCatalog catalog) {
    state = State.OPEN;
    id = session;
    reportedActivity = Optional.empty();
    reportedCatalog = catalog.digest();
  }

  /**
   * Called when the leader has renewed the session.
   *
   * @param sentNanos time at which the renewal was sent (ns)
   */
  void onRenewed(long sentNanos) {
    lease.onConfirmed(sentNanos);
  }

  /** Called when the leader reports that the session has ended. */
  void onLost() {
    state = State.NONE;
    lease.onSessionLost();
  }

  /** Returns the next report, or empty if nothing has changed since the last one. */
  Optional<LogEntry.MemberReport> nextReport(Activity activity, LogEntry.EndpointCatalog catalog) {
    boolean catalogChanged = !catalog.digest().equals(reportedCatalog);
    if (reportedActivity.equals(Optional.of(activity)) && !catalogChanged) {
      return Optional.empty();
    }
    lastReportNumber++;
    return Optional.of(
        new LogEntry.MemberReport(
            name,
            id,
            lastReportNumber,
            activity.seenVersion(),
            activity.serving(),
            activity.busyHosts(),
            activity.suspectedHosts(),
            catalogChanged ? Optional.of(catalog) : Optional.empty()));
  }

  /** Called when the replicated log has applied a report of this activity. */
  void onReported(Activity activity, LogEntry.EndpointCatalog catalog) {
    reportedActivity = Optional.of(activity);
    reportedCatalog = catalog.digest();
  }
}
