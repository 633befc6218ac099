package leadferry.consensus;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** What a replica answers to a request; encoded for the line protocol of docs/FLEET.md. */
sealed interface ReplicaResponse {
  /** It was carried out, or applied with the outcome that the body tells. */
  record Completed(ObjectNode body) implements ReplicaResponse {}

  /**
   * It was surely not carried out: another replica leads.
   *
   * @param leader that one's name, or "" where none is known
   */
  record Redirect(String leader) implements ReplicaResponse {}

  /** Whether it was carried out is not known; asked again it gets its one outcome. */
  record Undecided(String reason) implements ReplicaResponse {}

  /** It is no request that this replica carries out. Not to be retried. */
  record Rejected(String reason) implements ReplicaResponse {}

  /** The form that goes over the wire, but for the request's id. */
  default ObjectNode encode() {
    if (this instanceof Completed answered) {
      return answered.body();
    }
    if (this instanceof Redirect redirect) {
      return Json.object().put("redirect", redirect.leader());
    }
    if (this instanceof Undecided undecided) {
      return Json.object().put("undecided", undecided.reason());
    }
    return Json.object().put("error", ((Rejected) this).reason());
  }

  /** Reads the form that goes over the wire. */
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
