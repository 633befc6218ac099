package leadferry.release;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Set;
import leadferry.disruption.DisruptionState;
import leadferry.disruption.Target;
import leadferry.disruption.TargetType;

/**
 * Writes the status of a release for operators and drivers; {@link ReleaseViewCodec} reads it. Some
 * keys differ from the names in the code: {@code at} is the version of a target, {@code permit} its
 * grant, and {@code tries} its attempts.
 */
final class ReleaseStatusWriter {
  private final Release release;
  private final DisruptionState disruption;

  ReleaseStatusWriter(Release release, DisruptionState disruption) {
    this.release = release;
    this.disruption = disruption;
  }

  /** Writes the summary of a release for a list of releases. */
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

  /** Writes the full status of the release. */
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
    Map<String, Target> knownTargets = disruption.targetsByName(release.plan.targetType());
    ArrayNode targets = json.putArray("targets");
    for (ReleaseTarget target : release.targets()) {
      ObjectNode targetJson = targets.addObject();
      writeTarget(target, targetJson);
      writeAvailability(
          target, lost.contains(target.name), knownTargets.get(target.name), targetJson);
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

  private void writeAvailability(
      ReleaseTarget target, boolean lost, Target knownTarget, ObjectNode json) {
    TargetType targetType = release.plan.targetType();
    boolean draining = target.phase == TargetPhase.DRAINING;
    json.put("lost", lost)
        .put("out", disruption.unavailabilityReason(targetType, target.name))
        .put("zone", knownTarget == null ? Target.NONE : knownTarget.zone())
        .put("carried_out", draining && disruption.isCarriedOut(target.grantId))
        .put("told", reportedVersion(target));
    if (draining && targetType == TargetType.ENDPOINT) {
      ObjectNode awaited = json.putObject("awaited");
      disruption.pendingProxies(target.grantId).forEach(awaited::put);
    }
  }

  /**
   * Returns the version that the proxy or the agent of a target has reported since the action
   * began, or "".
   */
  private String reportedVersion(ReleaseTarget target) {
    boolean reportsItself =
        release.plan.targetType() == TargetType.PROXY && target.phase == TargetPhase.CHANGING;
    String proxyVersion =
        reportsItself ? disruption.runningVersion(target.name, target.startChange) : "";
    return proxyVersion.isEmpty() ? target.reportedVersion : proxyVersion;
  }
}
