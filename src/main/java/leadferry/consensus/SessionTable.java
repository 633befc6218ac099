package leadferry.consensus;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import leadferry.disruption.DisruptionState;

/**
 * The sessions of members, by name. Invariant: a name has at most one session, and no other
 * incarnation gets one while it lives. Deterministic; whose lease is over is told by an entry.
 */
final class SessionTable {
  /** Bounds of a session's lease (ms). */
  private static final long MIN_LEASE_MILLIS = 200;

  private static final long MAX_LEASE_MILLIS = 600_000;

  private static final String TIMER_PREFIX = "session:";

  /** A member's session: who it is, and how long (ms) it lives without a renewal. */
  record Session(String name, String incarnation, long id, long leaseMillis) {}

  private final Map<String, Session> sessions = new TreeMap<>();

  /** Whether name, incarnation and lease are within their bounds. */
  static boolean isValid(LogEntry.Join join) {
    return join.name().matches(DisruptionState.NAME_PATTERN)
        && !join.incarnation().isEmpty()
        && join.leaseMillis() >= MIN_LEASE_MILLIS
        && join.leaseMillis() <= MAX_LEASE_MILLIS;
  }

  Optional<Session> find(String name) {
    return Optional.ofNullable(sessions.get(name));
  }

  /** Opens a session for a name that has none. */
  Session open(LogEntry.Join join, long id) {
    Session session = new Session(join.name(), join.incarnation(), id, join.leaseMillis());
    sessions.put(session.name(), session);
    return session;
  }

  /** Whether this session lives. */
  boolean isLive(String name, long id) {
    Session session = sessions.get(name);
    return session != null && session.id() == id;
  }

  void close(String name) {
    sessions.remove(name);
  }

  /** The ids of the sessions that live, by their members' names. */
  Map<String, Long> liveSessionIds() {
    Map<String, Long> ids = new TreeMap<>();
    sessions.values().forEach(session -> ids.put(session.name(), session.id()));
    return ids;
  }

  /** Adds each session's timer with its lease (ms). */
  void addTimers(Map<String, Long> timers) {
    sessions
        .values()
        .forEach(
            session -> timers.put(timerName(session.name(), session.id()), session.leaseMillis()));
  }

  /** The name of a session's timer. */
  static String timerName(String name, long id) {
    return TIMER_PREFIX + name + ":" + id;
  }

  static boolean isSessionTimer(String timer) {
    return timer.startsWith(TIMER_PREFIX);
  }

  /** The entry that ends the session of that timer. */
  static LogEntry.SessionExpired sessionExpiredEntry(String timer) {
    // A member's name may hold colons.
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
