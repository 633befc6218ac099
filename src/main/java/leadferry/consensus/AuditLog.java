package leadferry.consensus;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.List;
import leadferry.disruption.Outcome;

/**
 * Records who submitted which entry, when and why, and with what outcome. Keeps the newest {@link
 * #MAX_RECORDS} records. Each record is copied from the stored form of its entry, so that every
 * version of this software writes the same record.
 */
final class AuditLog {
  static final int MAX_RECORDS = 2_000;

  /** Stored value of {@code who} for entries that the replicas submit themselves. */
  static final String REPLICAS_ACTOR = "keepers";

  /** Keys that a record copies from its entry as text, in this order. */
  private static final List<String> COPIED_KEYS =
      List.of(
          "op", "kind", "name", "permit", "who", "why", "call", "release", "target", "action",
          "fence", "found", "driver", "step", "go", "text", "what");

  private final ArrayDeque<ObjectNode> records = new ArrayDeque<>();

  /**
   * Adds a record and removes the oldest one beyond {@link #MAX_RECORDS}.
   *
   * @param entryNumber the position of the entry in the log
   * @param viewVersion the version of the fleet view after the entry
   */
  void add(long entryNumber, long viewVersion, ObjectNode stored, Outcome outcome) {
    ObjectNode auditRecord =
        Json.object()
            .put("n", entryNumber)
            .put("version", viewVersion)
            .put("status", outcome.status().storedName());
    for (String key : COPIED_KEYS) {
      if (stored.has(key)) {
        auditRecord.put(key, LogEntryCodec.text(stored, key));
      }
    }
    if (!outcome.grantId().isEmpty()) {
      auditRecord.put("permit", outcome.grantId());
    }
    if (stored.path("plan").has("name")) {
      auditRecord.put("release", stored.path("plan").path("name").asText());
    }
    if (stored.has("at")) {
      auditRecord.put("at", stored.path("at").asLong());
    }
    outcome.reasons().forEach(auditRecord.putArray("reasons")::add);
    records.addLast(auditRecord);
    if (records.size() > MAX_RECORDS) {
      records.removeFirst();
    }
  }

  void write(ArrayNode list) {
    records.forEach(list::add);
  }

  void restore(JsonNode snapshot) {
    records.clear();
    snapshot.forEach(auditRecord -> records.add((ObjectNode) auditRecord));
  }
}
