package leadferry.daemon;

import java.util.Optional;
import java.util.SortedSet;
import leadferry.consensus.Lease;
import leadferry.consensus.LogEntry;

/**
 * The session of this process and what was reported in it.
 *
 * <pre>
 *   NONE -- joined --> OPEN -- renewed --> OPEN -- lost --> NONE
 * </pre>
 *
 * <p>Invariants: the lease counts from renewals alone; report numbers never go back, as a join may
 * be given the session of before, whose log ignores lower ones. Confined to the agent's thread.
 */
final class MemberSession {
  /** Whether there is a session. */
  enum State {
    NONE,
    OPEN
  }

  /** What the member reports of itself, but for the hosts that it balances over. */
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

  /** The session's number; to be asked for while it is open. */
  long id() {
    return id;
  }

  /** Whether the lease holds at that time (ns). */
  boolean leaseHolds(long nowNanos) {
    return lease.isHeld(nowNanos);
  }

  /** The log has opened the session, and knows the hosts that came with the join. */
  void onJoined(long session, LogEntry.EndpointCatalog catalog) {
    state = State.OPEN;
    id = session;
    reportedActivity = Optional.empty();
    reportedCatalog = catalog.digest();
  }

  /** The leader has renewed the session, as was asked at that time (ns). */
  void onRenewed(long askedAtNanos) {
    lease.onConfirmed(askedAtNanos);
  }

  /** The leader says that the session is over. */
  void onLost() {
    state = State.NONE;
    lease.onSessionLost();
  }

  /** The report that is due, with the next number; empty where nothing has changed. */
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

  /** The log has applied a report of this. */
  void onReported(Activity activity, LogEntry.EndpointCatalog catalog) {
    reportedActivity = Optional.of(activity);
    reportedCatalog = catalog.digest();
  }
}
