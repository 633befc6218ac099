package leadferry.consensus;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The newest load report of each member, as it came with a renewal. Not agreed and not stored: gone
 * with this replica's lead; a release's driver that finds none waits for the next. Thread-safe.
 */
final class MemberReportTable {
  /** A longer report is dropped. */
  private static final int MAX_REPORT_BYTES = 256 * 1024;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private record Report(long session, long receivedAtNanos, JsonNode content) {}

  private final Map<String, Report> reports = new ConcurrentHashMap<>();

  /** Keeps a report in place of the member's last one; what is no object is dropped. */
  void put(String member, long session, JsonNode content, long nowNanos) {
    if (content.isObject() && Json.bytes(content).length <= MAX_REPORT_BYTES) {
      reports.put(member, new Report(session, nowNanos, content));
    }
  }

  /**
   * The newest report of each of these sessions with its age, and the names of those that have
   * none.
   */
  ObjectNode describe(Map<String, Long> liveSessions, long nowNanos) {
    reports.keySet().retainAll(liveSessions.keySet());
    ObjectNode description = Json.object();
    ObjectNode byMember = description.putObject("reports");
    liveSessions.forEach(
        (member, session) -> {
          Report report = reports.get(member);
          if (report != null && report.session() == session) {
            byMember
                .putObject(member)
                .put("session", session)
                .put("age_ms", (nowNanos - report.receivedAtNanos()) / NANOS_PER_MILLI)
                .set("told", report.content());
          }
        });
    liveSessions.keySet().stream()
        .filter(member -> !byMember.has(member))
        .forEach(description.putArray("missing")::add);
    return description;
  }
}
