package leadferry.consensus;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** A request of a member or operator to a replica; docs/FLEET.md describes the line protocol. */
sealed interface ReplicaRequest {
  /** Submits a stored entry to the log. */
  record Submit(ObjectNode entry) implements ReplicaRequest {}

  /** Renews the session of a member. */
  record RenewSession(String name, long session, JsonNode report) implements ReplicaRequest {}

  /** Renews the lease of a release driver. */
  record RenewDriverLease(String release, long fence) implements ReplicaRequest {}

  /** Requests the health of this replica, which need not lead. */
  record Health() implements ReplicaRequest {}

  /** Requests which members and endpoints are out of service, and why. */
  record Status(boolean includeHistory) implements ReplicaRequest {}

  /** Requests the status of one release, or a summary of all releases if {@code release} is "". */
  record ReleaseStatus(String release) implements ReplicaRequest {}

  /** Requests the newest load report of each member. */
  record MemberReports() implements ReplicaRequest {}

  /** Requests whether a drain would be granted, and what prevents it. */
  record ExplainDrain(String kind, String name) implements ReplicaRequest {}

  /** Requests what a granted drain still waits for. */
  record GrantStatus(String grantId) implements ReplicaRequest {}

  /** A request that is not valid. */
  record Invalid(String reason) implements ReplicaRequest {}

  /** Decodes a request. */
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
