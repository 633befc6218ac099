package leadferry.consensus;

import java.util.List;
import leadferry.release.ReleaseRegistry;

/**
 * The leader's {@link LeaseTimers} over what the state machine says runs out. Its state, like the
 * state machine's, is guarded by the state machine's monitor: no entry is applied between a look at
 * a session and its renewal.
 */
final class LeaderLeaseTimers {
  private static final long NO_TERM = -1;

  private final FleetStateMachine stateMachine;
  private final LeaseTimers timers = new LeaseTimers();
  private long term = NO_TERM;

  LeaderLeaseTimers(FleetStateMachine stateMachine) {
    this.stateMachine = stateMachine;
  }

  /** The timers that have run out while this replica led in that term, each once. */
  List<String> pollExpired(long currentTerm, long nowNanos) {
    synchronized (stateMachine) {
      if (currentTerm != term) {
        term = currentTerm;
        timers.reset(nowNanos);
      }
      return timers.pollExpired(stateMachine.timers(), nowNanos);
    }
  }

  /** The log did not take the end of this timer: it is due again. */
  void allowResubmission(String timer) {
    synchronized (stateMachine) {
      timers.allowResubmission(timer);
    }
  }

  /** Renews a session's lease; false where the session is over. */
  boolean renewSession(String name, long session, long nowNanos) {
    synchronized (stateMachine) {
      return stateMachine.isSessionLive(name, session)
          && timers.renew(SessionTable.timerName(name, session), nowNanos);
    }
  }

  /** Renews the lease of a release's driver; false where it is over. */
  boolean renewDriverLease(String release, long fence, long nowNanos) {
    synchronized (stateMachine) {
      return stateMachine.isDriverLeaseHeld(release, fence)
          && timers.renew(ReleaseRegistry.driverLeaseTimerName(release, fence), nowNanos);
    }
  }
}
