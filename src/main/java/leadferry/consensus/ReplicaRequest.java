package leadferry.consensus;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** What members and operators ask of a replica, by the line protocol of docs/FLEET.md. */
sealed interface ReplicaRequest {
  /** Put this stored entry into the log. */
  record Submit(ObjectNode entry) implements ReplicaRequest {}

  /** Renew a member's session. */
  record RenewSession(String name, long session, JsonNode report) implements ReplicaRequest {}

  /** Renew the lease of a release's driver. */
  record RenewDriverLease(String release, long fence) implements ReplicaRequest {}

  /** How this replica itself is; needs no leader. */
  record Health() implements ReplicaRequest {}

  /** Who is out and why. */
  record Status(boolean includeHistory) implements ReplicaRequest {}

  /** One release, or all of them in short where the name is "". */
  record ReleaseStatus(String release) implements ReplicaRequest {}

  /** The members' newest load reports. */
  record MemberReports() implements ReplicaRequest {}

  /** Whether a drain would be granted, and what stands against it. */
  record ExplainDrain(String kind, String name) implements ReplicaRequest {}

  /** What a granted drain waits for. */
  record GrantStatus(String grantId) implements ReplicaRequest {}

  /** Nothing that a replica carries out. */
  record Invalid(String reason) implements ReplicaRequest {}

  /** Reads a request from its message. */
  static ReplicaRequest decode(ObjectNode message) {
    String operation = message.path("op").asText();
    return switch (operation) {
      case "submit" ->
          message.path("entry") instanceof ObjectNode entry && LogEntryCodec.isSubmittable(entry)
              ? new Submit(entry)
              : new Invalid("entry: one that can't be put into the log");
      case "renew" -> decodeRenewal(message);
      case "health" -> new Health();
      case "status" -> new Status(message.path("history").asBoolean());
      case "release" -> new ReleaseStatus(message.path("release").asText(""));
      case "reports" -> new MemberReports();
      case "explain" ->
          new ExplainDrain(message.path("kind").asText(), message.path("name").asText());
      case "permit" -> new GrantStatus(message.path("permit").asText());
      default ->
          new Invalid(
              "op: '"
                  + operation
                  + "' (expected: submit, renew, status, release, reports, explain, permit,"
                  + " health)");
    };
  }

  private static ReplicaRequest decodeRenewal(ObjectNode message) {
    if (message.has("release")) {
      return new RenewDriverLease(message.path("release").asText(), message.path("fence").asLong());
    }
    return new RenewSession(
        message.path("name").asText(), message.path("session").asLong(), message.path("report"));
  }
}
