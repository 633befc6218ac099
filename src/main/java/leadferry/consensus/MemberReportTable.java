package leadferry.consensus;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Holds the newest load report of each member, which arrives with a renewal. Reports are neither
 * replicated nor stored on disk, and the next leader starts without them. A release driver waits if
 * the report of a member is missing. Thread-safe.
 */
final class MemberReportTable {
  /** Maximum encoded size of a report; a larger report is discarded. */
  private static final int MAX_REPORT_BYTES = 256 * 1024;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private record Report(long session, long receivedAtNanos, JsonNode content) {}

  private final Map<String, Report> reports = new ConcurrentHashMap<>();

  /**
   * Stores a report in place of the member's previous one. Content that is not an object is
   * discarded.
   */
  void put(String member, long session, JsonNode content, long nowNanos) {
    if (content.isObject() && Json.bytes(content).length <= MAX_REPORT_BYTES) {
      reports.put(member, new Report(session, nowNanos, content));
    }
  }

  /**
   * Returns the newest report of each session with its age, and the names of the members without a
   * report.
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
