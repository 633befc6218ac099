package leadferry.consensus;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.List;
import leadferry.disruption.Outcome;

/**
 * Who asked what, when and why, and what became of it: the newest {@link #MAX_RECORDS} records. A
 * record is copied from the stored form of its entry, so that every build writes the same one.
 */
final class AuditLog {
  static final int MAX_RECORDS = 2_000;

  /** The stored word for {@code who} where no person asked. */
  static final String REPLICAS_ACTOR = "keepers";

  /** What a record takes over of its entry, as text, in this order. */
  private static final List<String> COPIED_KEYS =
      List.of(
          "op", "kind", "name", "permit", "who", "why", "call", "release", "target", "action",
          "fence", "found", "driver", "step", "go", "text", "what");

  private final ArrayDeque<ObjectNode> records = new ArrayDeque<>();

  /**
   * Adds a record.
   *
   * @param entryNumber the entry's place in the log
   * @param viewVersion that of the fleet's view after the entry
   */
  void add(long entryNumber, long viewVersion, ObjectNode stored, Outcome outcome) {
    ObjectNode entry =
        Json.object()
            .put("n", entryNumber)
            .put("version", viewVersion)
            .put("status", outcome.status().storedName());
    for (String key : COPIED_KEYS) {
      if (stored.has(key)) {
        entry.put(key, LogEntryCodec.text(stored, key));
      }
    }
    if (!outcome.grantId().isEmpty()) {
      entry.put("permit", outcome.grantId());
    }
    if (stored.path("plan").has("name")) {
      entry.put("release", stored.path("plan").path("name").asText());
    }
    if (stored.has("at")) {
      entry.put("at", stored.path("at").asLong());
    }
    outcome.reasons().forEach(entry.putArray("reasons")::add);
    records.addLast(entry);
    if (records.size() > MAX_RECORDS) {
      records.removeFirst();
    }
  }

  void write(ArrayNode list) {
    records.forEach(list::add);
  }

  void restore(JsonNode snapshot) {
    records.clear();
    snapshot.forEach(entry -> records.add((ObjectNode) entry));
  }
}
