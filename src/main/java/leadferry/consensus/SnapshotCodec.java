package leadferry.consensus;

import com.fasterxml.jackson.databind.node.ObjectNode;
import leadferry.disruption.DisruptionState;
import leadferry.release.ReleaseRegistry;

/**
 * Encodes and decodes the whole replicated state in the schema {@link LogEntryCodec#SCHEMA}. Each
 * part of the state writes its own form. Replicas that have applied the same entries write the same
 * bytes.
 */
final class SnapshotCodec {
  /** The parts of the replicated state. */
  record Parts(
      SessionTable sessions,
      CallHistory calls,
      AuditLog audit,
      DisruptionState disruption,
      ReleaseRegistry releases) {}

  private SnapshotCodec() {}

  static byte[] encode(long entryCount, Parts parts) {
    ObjectNode snapshot =
        Json.object().put("schema", LogEntryCodec.SCHEMA).put("entries", entryCount);
    parts.sessions().write(snapshot.putArray("sessions"));
    parts.calls().write(snapshot.putArray("calls"));
    parts.audit().write(snapshot.putArray("audit"));
    parts.disruption().writeSnapshot(snapshot.putObject("disruption"));
    parts.releases().writeSnapshot(snapshot.putObject("release"));
    return Json.bytes(snapshot);
  }

  /**
   * Replaces the content of the parts.
   *
   * @return the number of entries that the snapshot covers
   * @throws NewerSchemaException if a newer version with another schema wrote the snapshot; the
   *     parts are then unchanged
   */
  static long decode(byte[] bytes, Parts parts) {
    ObjectNode snapshot = Json.parse(bytes);
    if (snapshot == null) {
      throw new IllegalArgumentException(
          "snapshot: not a JSON object (expected: the result of snapshot())");
    }
    LogEntryCodec.checkSchema(snapshot.path("schema").asInt());
    parts.sessions().restore(snapshot.path("sessions"));
    parts.calls().restore(snapshot.path("calls"));
    parts.audit().restore(snapshot.path("audit"));
    parts.disruption().restore(snapshot.path("disruption"));
    parts.releases().restore(snapshot.path("release"));
    return snapshot.path("entries").asLong();
  }
}
