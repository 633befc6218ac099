package leadferry.release;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Latest request counts of the members, as collected by the leader.
 *
 * @param unreportedMembers live members without a report
 * @param byMember the latest report of each other member
 */
public record MemberReports(List<String> unreportedMembers, Map<String, MemberReport> byMember) {
  /**
   * Request outcomes that one member has counted since its start.
   *
   * @param session session of the member; counts of different sessions are not compared
   * @param ageMillis time since the arrival of the report (ms)
   * @param countsByClass outcomes of the requests that the member served, by request class
   * @param countsByEndpoint outcomes by endpoint and request class
   */
  public record MemberReport(
      String session,
      long ageMillis,
      Map<String, OutcomeCount> countsByClass,
      Map<String, Map<String, OutcomeCount>> countsByEndpoint) {}

  /** Reads the response of a replica to request {@code reports}. */
  public static MemberReports read(JsonNode json) {
    List<String> missing = new ArrayList<>();
    json.path("missing").forEach(member -> missing.add(member.asText()));
    Map<String, MemberReport> byMember = new LinkedHashMap<>();
    json.path("reports")
        .properties()
        .forEach(member -> byMember.put(member.getKey(), readReport(member.getValue())));
    return new MemberReports(missing, byMember);
  }

  private static MemberReport readReport(JsonNode json) {
    JsonNode reported = json.path("told");
    Map<String, Map<String, OutcomeCount>> countsByEndpoint = new LinkedHashMap<>();
    reported
        .path("hosts")
        .properties()
        .forEach(
            endpoint -> countsByEndpoint.put(endpoint.getKey(), readCounts(endpoint.getValue())));
    return new MemberReport(
        json.path("session").asText(),
        json.path("age_ms").asLong(),
        readCounts(reported.path("own")),
        countsByEndpoint);
  }

  /** Reads counts by request class. Each count is an array of the total and of the bad outcomes. */
  private static Map<String, OutcomeCount> readCounts(JsonNode json) {
    Map<String, OutcomeCount> byClass = new TreeMap<>();
    json.properties()
        .forEach(
            entry -> {
              JsonNode counts = entry.getValue();
              byClass.put(
                  entry.getKey(),
                  new OutcomeCount(counts.path(0).asLong(), counts.path(1).asLong()));
            });
    return byClass;
  }

  /** Returns the members without a report or with a report older than {@code maxAgeMillis}. */
  List<String> membersWithoutFreshReport(long maxAgeMillis) {
    List<String> members = new ArrayList<>(unreportedMembers);
    byMember.forEach(
        (member, report) -> {
          if (report.ageMillis() > maxAgeMillis) {
            members.add(member);
          }
        });
    return members;
  }
}
