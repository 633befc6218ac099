package leadferry.consensus;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import leadferry.consensus.SessionTable.Session;
import leadferry.disruption.DisruptionCommand;
import leadferry.disruption.DisruptionState;
import leadferry.disruption.Outcome;
import leadferry.disruption.Outcome.Status;
import leadferry.disruption.TargetType;
import leadferry.release.ReleaseRegistry;

/**
 * Holds the replicated state that results from applying the log's entries in order. Deterministic,
 * without I/O and without a clock: the same entries give the same outcomes and the same bytes of
 * {@link #snapshot} on every replica. Not thread-safe; callers synchronize on the instance or use
 * it from one thread.
 *
 * <pre>
 *   bytes -- LogEntryCodec --> call id known? -- CallHistory --> the recorded outcome
 *                                  | no
 *                                  +--> dispatch on LogEntry --> outcome, AuditLog
 * </pre>
 */
public final class FleetStateMachine {
  private static final String RELEASE_TIMER_PREFIX = "release-";

  private final SessionTable sessions = new SessionTable();
  private final CallHistory calls = new CallHistory();
  private final AuditLog audit = new AuditLog();
  private final DisruptionState disruption;
  private final ReleaseRegistry releases = new ReleaseRegistry();
  private final SnapshotCodec.Parts parts;
  private long entryCount;

  /**
   * Creates an empty state.
   *
   * @param times durations that apply until a snapshot with its own durations is restored
   */
  public FleetStateMachine(DisruptionState.Times times) {
    disruption = new DisruptionState(times);
    parts = new SnapshotCodec.Parts(sessions, calls, audit, disruption, releases);
  }

  /** Returns the version of the fleet view that members follow. */
  public long version() {
    return disruption.version();
  }

  /**
   * Applies an entry and returns its outcome. Invalid content of an entry is reported in the
   * outcome and not thrown.
   *
   * @throws NewerSchemaException if a newer version with another schema wrote the entry
   */
  public ObjectNode apply(byte[] bytes) {
    entryCount++;
    ObjectNode stored = LogEntryCodec.parse(bytes);
    if (stored == null) {
      return OutcomeCodec.encode(Outcome.of(Status.MALFORMED, "not an object"));
    }
    String callId = LogEntryCodec.callId(stored);
    if (callId.isEmpty()) {
      return applyNew(stored);
    }
    Optional<ObjectNode> earlier = calls.find(callId, stored);
    if (earlier.isPresent()) {
      return earlier.get();
    }
    ObjectNode outcome = applyNew(stored);
    calls.add(callId, stored, outcome);
    return outcome.deepCopy();
  }

  private ObjectNode applyNew(ObjectNode stored) {
    ObjectNode outcome = dispatch(LogEntryCodec.decode(stored), stored);
    releases.onFleetChange(disruption);
    return outcome;
  }

  private ObjectNode dispatch(LogEntry entry, ObjectNode stored) {
    if (entry instanceof LogEntry.Join join) {
      return join(join);
    }
    if (entry instanceof LogEntry.MemberReport report) {
      return OutcomeCodec.encode(applyReport(report));
    }
    if (entry instanceof LogEntry.Leave leave) {
      return OutcomeCodec.encode(endSession(leave.name(), leave.session(), true, stored));
    }
    if (entry instanceof LogEntry.SessionExpired expired) {
      return OutcomeCodec.encode(endSession(expired.name(), expired.session(), false, stored));
    }
    if (entry instanceof LogEntry.TimerExpired expired) {
      return OutcomeCodec.encode(expireTimer(expired.timer(), stored));
    }
    if (entry instanceof LogEntry.Release release) {
      return OutcomeCodec.encode(applyRelease(release, stored));
    }
    Outcome outcome =
        entry instanceof LogEntry.Disruption disruptionEntry
            ? applyDisruption(disruptionEntry.command())
            : new Outcome(Status.MALFORMED, "", ((LogEntry.Malformed) entry).reasons());
    addToAudit(stored, outcome);
    return OutcomeCodec.encode(outcome);
  }

  private Outcome applyRelease(LogEntry.Release entry, ObjectNode stored) {
    Outcome outcome = releases.apply(entry.command(), disruption);
    // A driver repeats a refused request until a budget admits it. Only the grant is recorded.
    if (!entry.fromDriver()
        || outcome.status() == Status.GRANTED
        || outcome.status() == Status.DONE) {
      addToAudit(stored, outcome);
    }
    return outcome;
  }

  private Outcome applyDisruption(DisruptionCommand command) {
    if (command instanceof DisruptionCommand.Undo undo) {
      String release = releases.findReleaseHolding(undo.grantId());
      if (release != null) {
        return new Outcome(
            Status.REFUSED,
            undo.grantId(),
            List.of("held by release " + release + ": halt it, or take it back"));
      }
    }
    return disruption.apply(command);
  }

  private Outcome expireTimer(String timer, ObjectNode stored) {
    Outcome done = Outcome.of(Status.DONE);
    if (!timer.startsWith(RELEASE_TIMER_PREFIX)) {
      disruption.onTimerExpired(timer);
    } else if (timers().containsKey(timer)) {
      releases.onTimerExpired(timer);
      addToAudit(
          stored.deepCopy().put("who", AuditLog.REPLICAS_ACTOR).put("why", timer + " ran out"),
          done);
    }
    return done;
  }

  private void addToAudit(ObjectNode stored, Outcome outcome) {
    audit.add(entryCount, version(), stored, outcome);
  }

  // --- sessions

  private ObjectNode join(LogEntry.Join join) {
    if (!SessionTable.isValid(join)) {
      return OutcomeCodec.encode(
          Outcome.of(Status.MALFORMED, "join: a name, an incarnation or a lease_ms that can't be"));
    }
    Optional<Session> known = sessions.find(join.name());
    if (known.isPresent() && !known.get().incarnation().equals(join.incarnation())) {
      return OutcomeCodec.encode(
          Outcome.of(
              Status.CONFLICT,
              "the name " + join.name() + " is in use by a process whose lease is not over"));
    }
    Session session = known.orElseGet(() -> openSession(join));
    ObjectNode outcome = OutcomeCodec.encode(Outcome.of(Status.DONE)).put("session", session.id());
    disruption.writeView(outcome.putObject("view"));
    return outcome;
  }

  private Session openSession(LogEntry.Join join) {
    disruption.onSessionOpened(
        join.name(),
        join.zone(),
        join.runningVersion(),
        join.catalog().digest(),
        join.catalog().endpoints());
    return sessions.open(join, entryCount);
  }

  private Outcome applyReport(LogEntry.MemberReport report) {
    if (!sessions.isLive(report.name(), report.session())) {
      return unknownSession();
    }
    report
        .catalog()
        .ifPresent(
            catalog ->
                disruption.onCatalogChanged(report.name(), catalog.digest(), catalog.endpoints()));
    disruption.onMemberReport(
        report.name(),
        report.reportNumber(),
        report.acknowledgedVersion(),
        report.serving(),
        report.busyEndpoints(),
        report.ejectedEndpoints());
    return Outcome.of(Status.DONE);
  }

  private Outcome endSession(String name, long session, boolean byMember, ObjectNode stored) {
    if (!sessions.isLive(name, session)) {
      return unknownSession();
    }
    sessions.close(name);
    disruption.onSessionEnded(name, byMember);
    Outcome done = Outcome.of(Status.DONE);
    addToAudit(stored, done);
    return done;
  }

  private static Outcome unknownSession() {
    return Outcome.of(Status.UNKNOWN, "no such session");
  }

  /** Returns whether this session is live. */
  public boolean isSessionLive(String name, long session) {
    return sessions.isLive(name, session);
  }

  /** Returns the ids of the live sessions by member name. */
  public Map<String, Long> liveSessions() {
    return sessions.liveSessionIds();
  }

  /** Returns whether any release is in progress. Members send load reports during a release. */
  public boolean hasActiveRelease() {
    return releases.hasActive();
  }

  /**
   * Returns the durations (ms) of the running timers by name. The leader runs the timers with
   * {@link LeaseTimers} and submits an entry for each one that expires.
   */
  public Map<String, Long> timers() {
    Map<String, Long> timers = disruption.timerDurationsMillis();
    releases.putTimers(timers);
    sessions.addTimers(timers);
    return timers;
  }

  // --- queries

  /** Returns the fleet view that members follow. */
  public ObjectNode view() {
    ObjectNode view = Json.object();
    disruption.writeView(view);
    return view;
  }

  /** Returns the status for operators, with the audit log if {@code includeHistory} is set. */
  public ObjectNode status(boolean includeHistory) {
    ObjectNode status = Json.object();
    disruption.writeStatus(status);
    if (includeHistory) {
      audit.write(status.putArray("history"));
    }
    return status;
  }

  /** Returns the status of one release, or a summary of all releases if {@code name} is "". */
  public ObjectNode releaseStatus(String name) {
    ObjectNode status = Json.object();
    releases.writeStatus(name, status, disruption);
    return status;
  }

  /** Returns whether a driver holds the lease of a release with this fencing token. */
  public boolean isDriverLeaseHeld(String release, long fence) {
    return releases.isLeaseHeld(release, fence);
  }

  /** Returns the outcome that a drain would have now, with the reasons. */
  public ObjectNode explainDrain(String kind, String name) {
    ObjectNode explanation = Json.object();
    disruption.writeExplanation(TargetType.fromStoredName(kind), name, explanation);
    return explanation;
  }

  /** Returns what the drain under a grant still waits for. */
  public ObjectNode grantStatus(String grantId) {
    ObjectNode status =
        Json.object().put("permit", grantId).put("carried_out", disruption.isCarriedOut(grantId));
    ObjectNode awaited = status.putObject("awaited");
    disruption.pendingProxies(grantId).forEach(awaited::put);
    return status;
  }

  /**
   * Returns the whole state as bytes, which are the same on every replica that has applied the same
   * entries.
   */
  public byte[] snapshot() {
    return SnapshotCodec.encode(entryCount, parts);
  }

  /**
   * Replaces the whole state by a snapshot.
   *
   * @throws NewerSchemaException if a newer version with another schema wrote the snapshot
   */
  public void restore(byte[] bytes) {
    entryCount = SnapshotCodec.decode(bytes, parts);
  }
}
