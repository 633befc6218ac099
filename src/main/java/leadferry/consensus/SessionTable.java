package leadferry.consensus;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import leadferry.disruption.DisruptionState;

/**
 * Holds the sessions of members by name. Invariant: a name has at most one session. While that
 * session is live, no other process (incarnation) of the name gets a session. Deterministic: a
 * session expires only by a log entry.
 */
final class SessionTable {
  /** Bounds of a session's lease (ms). */
  private static final long MIN_LEASE_MILLIS = 200;

  private static final long MAX_LEASE_MILLIS = 600_000;

  private static final String TIMER_PREFIX = "session:";

  /**
   * A member's session.
   *
   * @param leaseMillis time (ms) for which the session lasts without a renewal
   */
  record Session(String name, String incarnation, long id, long leaseMillis) {}

  private final Map<String, Session> sessions = new TreeMap<>();

  /** Returns whether name, incarnation and lease are valid. */
  static boolean isValid(LogEntry.Join join) {
    return join.name().matches(DisruptionState.NAME_PATTERN)
        && !join.incarnation().isEmpty()
        && join.leaseMillis() >= MIN_LEASE_MILLIS
        && join.leaseMillis() <= MAX_LEASE_MILLIS;
  }

  Optional<Session> find(String name) {
    return Optional.ofNullable(sessions.get(name));
  }

  /** Opens a session for a member without one. */
  Session open(LogEntry.Join join, long id) {
    Session session = new Session(join.name(), join.incarnation(), id, join.leaseMillis());
    sessions.put(session.name(), session);
    return session;
  }

  /** Returns whether this session is live. */
  boolean isLive(String name, long id) {
    Session session = sessions.get(name);
    return session != null && session.id() == id;
  }

  void close(String name) {
    sessions.remove(name);
  }

  /** Returns the ids of the live sessions by member name. */
  Map<String, Long> liveSessionIds() {
    Map<String, Long> ids = new TreeMap<>();
    sessions.values().forEach(session -> ids.put(session.name(), session.id()));
    return ids;
  }

  /** Adds the duration (ms) of the lease of each session by the name of its timer. */
  void addTimers(Map<String, Long> timers) {
    sessions
        .values()
        .forEach(
            session -> timers.put(timerName(session.name(), session.id()), session.leaseMillis()));
  }

  /** Returns the name of the timer of a session. */
  static String timerName(String name, long id) {
    return TIMER_PREFIX + name + ":" + id;
  }

  static boolean isSessionTimer(String timer) {
    return timer.startsWith(TIMER_PREFIX);
  }

  /** Returns the entry that ends the session of a timer. */
  static LogEntry.SessionExpired sessionExpiredEntry(String timer) {
    // The name of a member may contain colons.
    int idSeparator = timer.lastIndexOf(':');
    return new LogEntry.SessionExpired(
        timer.substring(TIMER_PREFIX.length(), idSeparator),
        Long.parseLong(timer.substring(idSeparator + 1)));
  }

  void write(ArrayNode snapshot) {
    for (Session session : sessions.values()) {
      snapshot
          .addObject()
          .put("name", session.name())
          .put("incarnation", session.incarnation())
          .put("id", session.id())
          .put("lease_ms", session.leaseMillis());
    }
  }

  void restore(JsonNode snapshot) {
    sessions.clear();
    for (JsonNode stored : snapshot) {
      Session session =
          new Session(
              stored.path("name").asText(),
              stored.path("incarnation").asText(),
              stored.path("id").asLong(),
              stored.path("lease_ms").asLong());
      sessions.put(session.name(), session);
    }
  }
}
