package leadferry.consensus;

import java.util.List;
import leadferry.release.ReleaseRegistry;

/**
 * Runs the leader's {@link LeaseTimers} on the timers of the state machine. The monitor of the
 * state machine guards the timers too, so that no entry is applied between the check of a session
 * and the renewal of the lease of that session.
 */
final class LeaderLeaseTimers {
  private static final long NO_TERM = -1;

  private final FleetStateMachine stateMachine;
  private final LeaseTimers timers = new LeaseTimers();
  private long term = NO_TERM;

  LeaderLeaseTimers(FleetStateMachine stateMachine) {
    this.stateMachine = stateMachine;
  }

  /**
   * Returns the timers that have expired while this replica led in {@code currentTerm}. An expired
   * timer is returned once.
   */
  List<String> pollExpired(long currentTerm, long nowNanos) {
    synchronized (stateMachine) {
      if (currentTerm != term) {
        term = currentTerm;
        timers.reset(nowNanos);
      }
      return timers.pollExpired(stateMachine.timers(), nowNanos);
    }
  }

  /** Makes an expired timer eligible again after its entry was not accepted into the log. */
  void allowResubmission(String timer) {
    synchronized (stateMachine) {
      timers.allowResubmission(timer);
    }
  }

  /** Renews the lease of a session; returns false if the session has ended. */
  boolean renewSession(String name, long session, long nowNanos) {
    synchronized (stateMachine) {
      return stateMachine.isSessionLive(name, session)
          && timers.renew(SessionTable.timerName(name, session), nowNanos);
    }
  }

  /** Renews the lease of a release driver; returns false if the lease has ended. */
  boolean renewDriverLease(String release, long fence, long nowNanos) {
    synchronized (stateMachine) {
      return stateMachine.isDriverLeaseHeld(release, fence)
          && timers.renew(ReleaseRegistry.driverLeaseTimerName(release, fence), nowNanos);
    }
  }
}
