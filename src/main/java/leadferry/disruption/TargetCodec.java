package leadferry.disruption;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Maps a {@link Target} to and from its stored form. Key {@code what} holds the {@link TargetType}.
 */
final class TargetCodec {
  private TargetCodec() {}

  /** Adds the keys of the target to a JSON object. */
  static void encode(Target target, ObjectNode json) {
    json.put("what", target.type().storedName())
        .put("name", target.name())
        .put("zone", target.zone())
        .put("pod", target.pod())
        .put("pool", target.pool())
        .put("kind", target.kind());
  }

  /**
   * Reads a target. A missing or unknown type reads as {@link TargetType#ENDPOINT}, a missing label
   * as {@link Target#NONE}.
   */
  static Target decode(JsonNode json) {
    TargetType type = TargetType.fromStoredName(json.path("what").asText("host"));
    return new Target(
        type == null ? TargetType.ENDPOINT : type,
        json.path("name").asText(),
        json.path("zone").asText(Target.NONE),
        json.path("pod").asText(Target.NONE),
        json.path("pool").asText(Target.NONE),
        json.path("kind").asText(Target.NONE));
  }

  /** Reads the elements of a JSON array in their order. */
  static List<Target> decodeAll(JsonNode array) {
    List<Target> targets = new ArrayList<>();
    array.forEach(element -> targets.add(decode(element)));
    return targets;
  }
}
