package leadferry.release;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Locale;

/**
 * Maps a {@link Release} to and from its part of a snapshot. Snapshots of earlier builds hold the
 * same keys and enum names, so these must not change. Some differ from the names in the code:
 *
 * <ul>
 *   <li>{@code items}, {@code at}, {@code permit}, {@code tries}, {@code late}: the targets, and a
 *       target's version, grant, attempts and whether it is overdue;
 *   <li>{@code forgiven}, {@code lost_driver}, {@code longest_over}, {@code orders}: acknowledged
 *       lost targets, whether the holder of the lease was lost, whether the time limit was
 *       exceeded, the count of returns;
 *   <li>enums by their {@link StoredName} in upper case: {@code IN}, {@code LEAVING}, {@code
 *       ACTING} and {@code COMING} are the {@link TargetPhase phases}, {@code OLD} is {@link
 *       TargetVersion#PREVIOUS}, {@code DONE}, {@code RETURNED} and {@code ENDED} are {@link
 *       ReleaseState#COMPLETED}, {@link ReleaseState#ROLLED_BACK} and {@link
 *       ReleaseState#ABANDONED}.
 * </ul>
 */
final class ReleaseSnapshotCodec {
  private ReleaseSnapshotCodec() {}

  static void write(Release release, ObjectNode json) {
    ReleasePlanCodec.write(release.plan, json.putObject("plan"));
    json.put("number", release.number)
        .put("who", release.requestedBy)
        .put("why", release.requestReason)
        .put("state", snapshotName(release.state))
        .put("state_why", release.stateReason)
        .put("forward", release.progress.isForward())
        .put("goal", release.progress.goalStepCount)
        .put("driver", release.lease.driver)
        .put("driver_lease_ms", release.lease.leaseMillis)
        .put("fence", release.lease.fence)
        .put("baking", release.progress.bakingSinceChange)
        .put("baked", release.progress.baked)
        .put("longest_over", release.timeLimitExceeded)
        .put("lost_driver", release.lease.holderWasLost)
        .put("orders", release.returnCount);
    release.haltPolicy.acknowledgedLost().forEach(json.putArray("forgiven")::add);
    ArrayNode targets = json.putArray("items");
    release.targets().forEach(target -> writeTarget(target, targets.addObject()));
  }

  private static void writeTarget(ReleaseTarget target, ObjectNode json) {
    json.put("name", target.name)
        .put("phase", snapshotName(target.phase))
        .put("at", snapshotName(target.version))
        .put("permit", target.grantId)
        .put("action", target.action)
        .put("fence", target.fence)
        .put("acted_at", target.startChange)
        .put("tries", target.attempts)
        .put("found", target.observation)
        .put("reported", target.reportedVersion)
        .put("late", target.overdue)
        .put("held", target.keptOutOfService)
        .put("gone", target.removed)
        .put("order", target.returnOrder);
  }

  static Release read(JsonNode json) {
    Release release =
        new Release(
            ReleasePlanCodec.read(json.path("plan"), new ArrayList<>()),
            json.path("number").asLong(),
            json.path("who").asText(),
            json.path("why").asText());
    release.state = parse(ReleaseState.class, json.path("state"));
    release.stateReason = json.path("state_why").asText();
    release.timeLimitExceeded = json.path("longest_over").asBoolean();
    release.returnCount = json.path("orders").asLong();
    readProgress(json, release.progress);
    readLease(json, release.lease);
    for (JsonNode member : json.path("forgiven")) {
      release.haltPolicy.acknowledgedLost().add(member.asText());
    }
    for (JsonNode targetJson : json.path("items")) {
      readTarget(targetJson, release.target(targetJson.path("name").asText()));
    }
    return release;
  }

  private static void readProgress(JsonNode json, ReleaseProgress progress) {
    progress.direction =
        json.path("forward").asBoolean() ? ReleaseDirection.FORWARD : ReleaseDirection.ROLLBACK;
    progress.goalStepCount = json.path("goal").asInt();
    progress.bakingSinceChange = json.path("baking").asLong();
    progress.baked = json.path("baked").asBoolean();
  }

  private static void readLease(JsonNode json, DriverLease lease) {
    lease.driver = json.path("driver").asText();
    lease.leaseMillis = json.path("driver_lease_ms").asLong();
    lease.fence = json.path("fence").asLong();
    lease.holderWasLost = json.path("lost_driver").asBoolean();
  }

  private static void readTarget(JsonNode json, ReleaseTarget target) {
    target.phase = parse(TargetPhase.class, json.path("phase"));
    target.version = parse(TargetVersion.class, json.path("at"));
    target.grantId = json.path("permit").asText();
    target.action = json.path("action").asLong();
    target.fence = json.path("fence").asLong();
    target.startChange = json.path("acted_at").asLong();
    target.attempts = json.path("tries").asInt();
    target.observation = json.path("found").asText();
    target.reportedVersion = json.path("reported").asText();
    target.overdue = json.path("late").asBoolean();
    target.keptOutOfService = json.path("held").asBoolean();
    target.removed = json.path("gone").asBoolean();
    target.returnOrder = json.path("order").asLong();
  }

  private static String snapshotName(StoredName constant) {
    return constant.storedName().toUpperCase(Locale.ROOT);
  }

  private static <E extends Enum<E> & StoredName> E parse(Class<E> type, JsonNode snapshotName) {
    return StoredName.parse(type, snapshotName.asText().toLowerCase(Locale.ROOT));
  }
}
