package leadferry.release;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Set;
import leadferry.disruption.DisruptionState;
import leadferry.disruption.Target;
import leadferry.disruption.TargetType;

/**
 * Writes the status of a release, by which staff and drivers go; {@link ReleaseViewCodec} reads it.
 * The keys are older than the names in the code: {@code at} is a target's version, {@code permit}
 * its grant, {@code tries} its attempts.
 */
final class ReleaseStatusWriter {
  private final Release release;
  private final DisruptionState disruption;

  ReleaseStatusWriter(Release release, DisruptionState disruption) {
    this.release = release;
    this.disruption = disruption;
  }

  /** One line of a list of releases. */
  static void writeSummary(Release release, ObjectNode json) {
    ReleasePlan plan = release.plan;
    json.put("name", plan.name())
        .put("number", release.number)
        .put("of", plan.targetType().storedName())
        .put("version", plan.version())
        .put("state", release.state.storedName())
        .put("state_why", release.stateReason)
        .put("direction", release.progress.direction.storedName())
        .put("driver", release.lease.driver)
        .put("goal", release.progress.goalStepCount)
        .put("steps", plan.steps().size());
  }

  /** Everything about the release. */
  void write(ObjectNode json) {
    ReleasePlanCodec.write(release.plan, json);
    json.put("number", release.number)
        .put("who", release.requestedBy)
        .put("why", release.requestReason)
        .put("state", release.state.storedName())
        .put("state_why", release.stateReason)
        .put("direction", release.progress.direction.storedName())
        .put("goal", release.progress.goalStepCount)
        .put("driver", release.lease.driver)
        .put("fence", release.lease.fence)
        .put("baking", release.progress.bakingSinceChange)
        .put("baked", release.progress.baked);
    Set<String> lost = disruption.lostTargets();
    Map<String, Target> known = disruption.targetsByName(release.plan.targetType());
    ArrayNode targets = json.putArray("targets");
    for (ReleaseTarget target : release.targets()) {
      ObjectNode targetJson = targets.addObject();
      writeTarget(target, targetJson);
      writeInFleet(target, lost.contains(target.name), known.get(target.name), targetJson);
    }
  }

  private void writeTarget(ReleaseTarget target, ObjectNode json) {
    json.put("name", target.name)
        .put("step", target.step)
        .put("phase", target.phase.storedName())
        .put("at", target.version.storedName())
        .put("wanted", release.progress.desiredVersion(target).storedName())
        .put("permit", target.grantId)
        .put("action", target.action)
        .put("fence", target.fence)
        .put("tries", target.attempts)
        .put("found", target.observation)
        .put("late", target.overdue)
        .put("held", target.keptOutOfService)
        .put("gone", target.removed)
        .put("order", target.returnOrder);
  }

  private void writeInFleet(ReleaseTarget target, boolean lost, Target known, ObjectNode json) {
    TargetType targetType = release.plan.targetType();
    boolean draining = target.phase == TargetPhase.DRAINING;
    json.put("lost", lost)
        .put("out", disruption.unavailabilityReason(targetType, target.name))
        .put("zone", known == null ? Target.NONE : known.zone())
        .put("carried_out", draining && disruption.isCarriedOut(target.grantId))
        .put("told", reportedVersion(target));
    if (draining && targetType == TargetType.HOST) {
      ObjectNode awaited = json.putObject("awaited");
      disruption.pendingProxies(target.grantId).forEach(awaited::put);
    }
  }

  /** What a proxy or an agent has told of the target since its action began, or "". */
  private String reportedVersion(ReleaseTarget target) {
    boolean reportsItself =
        release.plan.targetType() == TargetType.PROXY && target.phase == TargetPhase.CHANGING;
    String proxyVersion =
        reportsItself ? disruption.runningVersion(target.name, target.startChange) : "";
    return proxyVersion.isEmpty() ? target.reportedVersion : proxyVersion;
  }
}
