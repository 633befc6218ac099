package leadferry.release;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Reads the status of a release that {@link ReleaseStatusWriter} writes. */
public final class ReleaseViewCodec {
  private ReleaseViewCodec() {}

  /**
   * Returns whether the response of a replica holds a release; it does not if the name is unknown.
   */
  public static boolean isRelease(JsonNode json) {
    return json.has("state");
  }

  /**
   * Reads the status of one release.
   *
   * @throws IllegalArgumentException if this build cannot read the status
   */
  public static ReleaseView read(JsonNode json) {
    List<String> errors = new ArrayList<>();
    ReleasePlan plan = ReleasePlanCodec.read(json, errors);
    if (plan == null) {
      throw new IllegalArgumentException("status of a release: " + String.join("; ", errors));
    }
    List<ReleaseTargetView> targets = new ArrayList<>();
    json.path("targets").forEach(target -> targets.add(readTarget(target)));
    return new ReleaseView(
        plan,
        ChangeCommands.read(plan.changeCommands()),
        StoredName.parse(ReleaseState.class, json.path("state").asText()),
        json.path("state_why").asText(),
        new ReleaseView.Progress(
            readDirection(json),
            json.path("goal").asInt(),
            json.path("baking").asLong(),
            json.path("baked").asBoolean()),
        json.path("driver").asText(),
        json.path("fence").asLong(),
        targets);
  }

  /** Reads the direction from the status or the summary of a release. */
  public static ReleaseDirection readDirection(JsonNode json) {
    return StoredName.parse(ReleaseDirection.class, json.path("direction").asText());
  }

  private static ReleaseTargetView readTarget(JsonNode json) {
    return new ReleaseTargetView(
        json.path("name").asText(),
        json.path("step").asInt(),
        StoredName.parse(TargetPhase.class, json.path("phase").asText()),
        StoredName.parse(TargetVersion.class, json.path("at").asText()),
        StoredName.parse(TargetVersion.class, json.path("wanted").asText()),
        new ReleaseTargetView.Action(
            json.path("action").asLong(),
            json.path("fence").asLong(),
            json.path("tries").asInt(),
            json.path("told").asText()),
        json.path("found").asText(),
        json.path("late").asBoolean(),
        json.path("held").asBoolean(),
        json.path("gone").asBoolean(),
        json.path("order").asLong(),
        readAvailability(json));
  }

  private static ReleaseTargetView.Availability readAvailability(JsonNode json) {
    JsonNode out = json.path("out");
    Map<String, String> awaited = new LinkedHashMap<>();
    json.path("awaited")
        .properties()
        .forEach(member -> awaited.put(member.getKey(), member.getValue().asText()));
    return new ReleaseTargetView.Availability(
        json.path("lost").asBoolean(),
        out.isNull() ? Optional.empty() : Optional.of(out.asText()),
        json.path("zone").asText(),
        json.path("carried_out").asBoolean(),
        awaited);
  }
}
