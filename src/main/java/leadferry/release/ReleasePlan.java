package leadferry.release;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import leadferry.disruption.TargetType;

/**
 * Plan of a release: its targets by name, their order, and the limits and policies of the release.
 * {@link ReleasePlanCodec} maps a plan to and from its stored form.
 *
 * @param name name of the release, used only once in the fleet
 * @param targetType type of the targets
 * @param version version that the targets run after the release
 * @param previousVersion version that the targets run before the release and after a rollback
 * @param steps steps in their order; each target belongs to one step
 * @param limits limits that halt the release when exceeded
 * @param policies reactions to unexpected events
 * @param canaryBounds bounds of each step's canary analysis
 * @param changeCommands commands that change targets, in the form of the operator's file; the state
 *     machine stores them for drivers and does not read them
 */
public record ReleasePlan(
    String name,
    TargetType targetType,
    String version,
    String previousVersion,
    List<Step> steps,
    Limits limits,
    Policies policies,
    CanaryAnalysis.Bounds canaryBounds,
    JsonNode changeCommands) {
  /**
   * Regular expression of the names of releases and steps. It equals the expression of the names of
   * members, except that it excludes the colon, which separates the parts of a timer's name.
   */
  public static final String NAME_PATTERN = "[A-Za-z0-9_][A-Za-z0-9_.-]{0,63}";

  /**
   * Targets that are changed together.
   *
   * @param name name of the step, unique in the plan
   * @param targets names of the proxies or endpoints
   * @param maxConcurrent maximum number of targets that this release changes at the same time
   * @param bakeMillis time (ms) for which all targets must serve before the verdict on the step
   */
  public record Step(String name, List<String> targets, int maxConcurrent, long bakeMillis) {
    /** Keeps a copy of the targets. */
    public Step {
      targets = List.copyOf(targets);
    }
  }

  /**
   * Limits that halt a release when exceeded.
   *
   * @param actionTimeoutMillis time for one target (ms), from its grant until its return to service
   * @param releaseTimeoutMillis time for the whole release (ms); restarts after a pause
   * @param lostTargetsToHalt number of lost targets, not counting those that the release has
   *     drained, at which the release halts; 0 for never
   */
  public record Limits(
      long actionTimeoutMillis, long releaseTimeoutMillis, int lostTargetsToHalt) {}

  /**
   * Reactions to unexpected events.
   *
   * @param haltOnTakeover whether the release halts when its driver is lost; otherwise the next
   *     driver continues
   * @param skipLostTargets whether steps continue without lost targets; otherwise a step waits
   *     until its lost targets return
   * @param keepWrongVersionsOut whether a target that returns with another version is kept out of
   *     service; otherwise it is changed again
   * @param rollBackOnVerdict whether a verdict against the new version begins a rollback; otherwise
   *     the release halts
   */
  public record Policies(
      boolean haltOnTakeover,
      boolean skipLostTargets,
      boolean keepWrongVersionsOut,
      boolean rollBackOnVerdict) {}

  /** Keeps a copy of the steps. */
  public ReleasePlan {
    steps = List.copyOf(steps);
  }

  /** Returns all targets in the order of the steps. */
  public List<String> targets() {
    return steps.stream().flatMap(step -> step.targets().stream()).toList();
  }

  /** Returns which of the versions of the plan the given version is. */
  TargetVersion classify(String runningVersion) {
    if (runningVersion.equals(version)) {
      return TargetVersion.NEW;
    }
    return runningVersion.equals(previousVersion) ? TargetVersion.PREVIOUS : TargetVersion.UNKNOWN;
  }
}
