package leadferry.consensus;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** A replica's response to a request; docs/FLEET.md describes the line protocol. */
sealed interface ReplicaResponse {
  /** The request was carried out, or its entry was applied with the outcome in the body. */
  record Completed(ObjectNode body) implements ReplicaResponse {}

  /**
   * The request was not carried out because another replica leads.
   *
   * @param leader the name of the leader, or "" if none is known
   */
  record Redirect(String leader) implements ReplicaResponse {}

  /**
   * It is unknown whether the request was carried out. An entry that is submitted again takes
   * effect only once and gets the outcome of the first submission.
   */
  record Undecided(String reason) implements ReplicaResponse {}

  /** The request is invalid or meant for another fleet. A retry does not help. */
  record Rejected(String reason) implements ReplicaResponse {}

  /** Returns the wire form without the request id. */
  default ObjectNode encode() {
    if (this instanceof Completed completed) {
      return completed.body();
    }
    if (this instanceof Redirect redirect) {
      return Json.object().put("redirect", redirect.leader());
    }
    if (this instanceof Undecided undecided) {
      return Json.object().put("undecided", undecided.reason());
    }
    return Json.object().put("error", ((Rejected) this).reason());
  }

  /** Decodes the wire form. */
  static ReplicaResponse decode(ObjectNode message) {
    if (message.has("redirect")) {
      return new Redirect(message.path("redirect").asText());
    }
    if (message.has("undecided")) {
      return new Undecided(message.path("undecided").asText());
    }
    return message.has("error")
        ? new Rejected(message.path("error").asText())
        : new Completed(message);
  }
}
