package leadferry.consensus;

import com.fasterxml.jackson.databind.node.ObjectNode;
import leadferry.disruption.Outcome;

/** Encodes an {@link Outcome} for callers and snapshots; absent values are omitted. */
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
