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
final class ReleaseStatusView {
  private final Release release;
  private final DisruptionState disruption;

  ReleaseStatusView(Release release, DisruptionState disruption) {
    this.release = release;
    this.disruption = disruption;
  }

  /** One line of a list of releases. */
  static void writeSummary(Release release, ObjectNode json) {
    ReleasePlan plan = release.plan;
    json.put("name", plan.name())
        .put("number", release.number)
        .put("of", plan.targetType().word())
        .put("version", plan.version())
        .put("state", release.state.word())
        .put("state_why", release.stateReason)
        .put("direction", release.progress.direction.word())
        .put("driver", release.lease.driver)
        .put("goal", release.progress.goal)
        .put("steps", plan.steps().size());
  }

  /** Everything about the release. */
  void write(ObjectNode json) {
    ReleasePlanCodec.write(release.plan, json);
    json.put("number", release.number)
        .put("who", release.who)
        .put("why", release.why)
        .put("state", release.state.word())
        .put("state_why", release.stateReason)
        .put("direction", release.progress.direction.word())
        .put("goal", release.progress.goal)
        .put("driver", release.lease.driver)
        .put("fence", release.lease.fence)
        .put("baking", release.progress.bakingSince)
        .put("baked", release.progress.baked);
    Set<String> lost = disruption.lost();
    Map<String, Target> known = disruption.byName(release.plan.targetType());
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
        .put("phase", target.phase.word())
        .put("at", target.version.word())
        .put("wanted", release.progress.wantedVersion(target).word())
        .put("permit", target.grant)
        .put("action", target.action)
        .put("fence", target.fence)
        .put("tries", target.attempts)
        .put("found", target.found)
        .put("late", target.overdue)
        .put("held", target.held)
        .put("gone", target.gone)
        .put("order", target.returnOrder);
  }

  private void writeInFleet(ReleaseTarget target, boolean lost, Target known, ObjectNode json) {
    TargetType targetType = release.plan.targetType();
    boolean draining = target.phase == TargetPhase.DRAINING;
    json.put("lost", lost)
        .put("out", disruption.out(targetType, target.name))
        .put("zone", known == null ? Target.NONE : known.zone())
        .put("carried_out", draining && disruption.carriedOut(target.grant))
        .put("told", toldVersion(target));
    if (draining && targetType == TargetType.HOST) {
      ObjectNode awaited = json.putObject("awaited");
      disruption.awaited(target.grant).forEach(awaited::put);
    }
  }

  /** What a proxy or an agent has told of the target since its action began, or "". */
  private String toldVersion(ReleaseTarget target) {
    boolean tellsItself =
        release.plan.targetType() == TargetType.PROXY && target.phase == TargetPhase.CHANGING;
    String told = tellsItself ? disruption.version(target.name, target.changedAt) : "";
    return told.isEmpty() ? target.reported : told;
  }
}
