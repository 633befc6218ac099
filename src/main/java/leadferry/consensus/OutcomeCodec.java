package leadferry.consensus;

import com.fasterxml.jackson.databind.node.ObjectNode;
import leadferry.disruption.Outcome;

/** Writes an {@link Outcome} as callers and snapshots get it; what it lacks is left out. */
final class OutcomeCodec {
  private OutcomeCodec() {}

  static ObjectNode encode(Outcome outcome) {
    ObjectNode json = Json.object().put("status", outcome.status().storedName());
    if (!outcome.grantId().isEmpty()) {
      json.put("permit", outcome.grantId());
    }
    if (outcome.number() > 0) {
      json.put("number", outcome.number());
    }
    if (!outcome.reasons().isEmpty()) {
      outcome.reasons().forEach(json.putArray("why")::add);
    }
    return json;
  }
}
