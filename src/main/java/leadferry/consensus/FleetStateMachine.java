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
 * The agreed state: what the log's entries, applied in their order, come to. Deterministic and
 * without I/O or time; the same entries give the same bytes of {@link #snapshot} and the same
 * outcomes on every replica. Callers confine it to one thread at a time.
 *
 * <pre>
 *   bytes -- LogEntryCodec --> seen before? -- CallHistory --> its outcome
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

  /** An empty state; {@code times} count until a snapshot brings its own. */
  public FleetStateMachine(DisruptionState.Times times) {
    disruption = new DisruptionState(times);
    parts = new SnapshotCodec.Parts(sessions, calls, audit, disruption, releases);
  }

  /** The version of the view that members go by. */
  public long version() {
    return disruption.version();
  }

  /**
   * Applies an entry and tells what became of it; never throws for what an entry says.
   *
   * @throws LaterSchemaException if a later build wrote it
   */
  public ObjectNode apply(byte[] bytes) {
    entryCount++;
    ObjectNode stored = LogEntryCodec.parse(bytes);
    if (stored == null) {
      return OutcomeCodec.encode(Outcome.of(Status.MALFORMED, "not an object"));
    }
    String callId = LogEntryCodec.callId(stored);
    if (callId.isEmpty()) {
      return perform(stored);
    }
    Optional<ObjectNode> earlier = calls.find(callId, stored);
    if (earlier.isPresent()) {
      return earlier.get();
    }
    ObjectNode outcome = perform(stored);
    calls.add(callId, stored, outcome);
    return outcome.deepCopy();
  }

  private ObjectNode perform(ObjectNode stored) {
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
    // What a budget refuses a driver is asked again until it is granted: only the grant is kept.
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
      return noSession();
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

  private Outcome endSession(String name, long session, boolean byItself, ObjectNode stored) {
    if (!sessions.isLive(name, session)) {
      return noSession();
    }
    sessions.close(name);
    disruption.onSessionEnded(name, byItself);
    Outcome done = Outcome.of(Status.DONE);
    addToAudit(stored, done);
    return done;
  }

  private static Outcome noSession() {
    return Outcome.of(Status.UNKNOWN, "no such session");
  }

  /** Whether this session lives. */
  public boolean isSessionLive(String name, long session) {
    return sessions.isLive(name, session);
  }

  /** Members whose sessions live, by name, with the session. */
  public Map<String, Long> liveSessions() {
    return sessions.liveSessionIds();
  }

  /** Whether any release is under way, so that members' reports are wanted. */
  public boolean hasActiveRelease() {
    return releases.hasActive();
  }

  /** What runs out without an entry, and after how long (ms); see {@link LeaseTimers}. */
  public Map<String, Long> timers() {
    Map<String, Long> timers = disruption.timerDurationsMillis();
    releases.putTimers(timers);
    sessions.addTimers(timers);
    return timers;
  }

  // --- queries

  /** What members go by. */
  public ObjectNode view() {
    ObjectNode view = Json.object();
    disruption.writeView(view);
    return view;
  }

  /** All that staff may want to see; with the audit where asked. */
  public ObjectNode status(boolean includeHistory) {
    ObjectNode status = Json.object();
    disruption.writeStatus(status);
    if (includeHistory) {
      audit.write(status.putArray("history"));
    }
    return status;
  }

  /** One release whole, or all of them in short where {@code name} is "". */
  public ObjectNode releaseStatus(String name) {
    ObjectNode status = Json.object();
    releases.writeStatus(name, status, disruption);
    return status;
  }

  /** Whether a driver of a release holds its lease under this fence. */
  public boolean isDriverLeaseHeld(String release, long fence) {
    return releases.isLeaseHeld(release, fence);
  }

  /** What would become of a drain that was asked for now. */
  public ObjectNode explainDrain(String kind, String name) {
    ObjectNode explanation = Json.object();
    disruption.writeExplanation(TargetType.fromStoredName(kind), name, explanation);
    return explanation;
  }

  /** What the drain of that grant waits for. */
  public ObjectNode grantStatus(String grantId) {
    ObjectNode status =
        Json.object().put("permit", grantId).put("carried_out", disruption.isCarriedOut(grantId));
    ObjectNode awaited = status.putObject("awaited");
    disruption.pendingProxies(grantId).forEach(awaited::put);
    return status;
  }

  /** The whole state as bytes, the same on every replica that has applied as much. */
  public byte[] snapshot() {
    return SnapshotCodec.encode(entryCount, parts);
  }

  /**
   * Replaces the whole state.
   *
   * @throws LaterSchemaException if a later build wrote the snapshot
   */
  public void restore(byte[] bytes) {
    entryCount = SnapshotCodec.decode(bytes, parts);
  }
}
