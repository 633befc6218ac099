package leadferry.release;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import leadferry.disruption.TargetType;

/**
 * What a release changes, in which order, and what must hold meanwhile; with its targets by name.
 * {@link ReleasePlanCodec} maps it to and from the form that the log holds.
 *
 * @param name the release's own name, used once in the fleet
 * @param targetType proxies or hosts
 * @param version what its targets run once it is done
 * @param previousVersion what they ran before, and run again after a rollback
 * @param steps in their order; a target stands in one of them
 * @param limits what halts it when passed
 * @param policies what to do when something unexpected happens
 * @param canaryBounds bounds of each step's canary analysis
 * @param changeCommands how targets are changed, as the operator's file says it; the state machine
 *     keeps it for drivers and does not read it
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
   * The form of names of releases and steps: those of members but for the colon, which separates
   * the parts of a timer's name.
   */
  public static final String NAME_PATTERN = "[A-Za-z0-9_][A-Za-z0-9_.-]{0,63}";

  /**
   * Targets that are changed together.
   *
   * @param name its own in the plan
   * @param targets names of proxies or hosts
   * @param maxConcurrent how many may be out by this release at the same time
   * @param bakeMillis how long all must run well before the step is judged
   */
  public record Step(String name, List<String> targets, int maxConcurrent, long bakeMillis) {
    /** Keeps a copy of the targets. */
    public Step {
      targets = List.copyOf(targets);
    }
  }

  /**
   * What halts a release when passed.
   *
   * @param actionTimeoutMillis time for one target, from its grant until it is back in service
   * @param releaseTimeoutMillis time for the whole release; begins anew after a pause
   * @param lostTargetsToHalt how many targets lost by other causes halt it; 0 for never
   */
  public record Limits(
      long actionTimeoutMillis, long releaseTimeoutMillis, int lostTargetsToHalt) {}

  /**
   * What to do when something unexpected happens.
   *
   * @param haltOnTakeover whether it halts when a driver was lost; otherwise the next one goes on
   * @param skipLostTargets whether steps go on without lost targets; otherwise they wait
   * @param keepWrongVersionsOut whether a target that comes back with another version is kept out
   *     of service; otherwise it is changed once more
   * @param rollBackOnVerdict whether a verdict against the new version begins a rollback; otherwise
   *     it halts
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

  /** All targets, in the order of the steps. */
  public List<String> targets() {
    return steps.stream().flatMap(step -> step.targets().stream()).toList();
  }

  /** Which of the plan's versions a target's own version is. */
  TargetVersion classify(String runningVersion) {
    if (runningVersion.equals(version)) {
      return TargetVersion.NEW;
    }
    return runningVersion.equals(previousVersion) ? TargetVersion.PREVIOUS : TargetVersion.UNKNOWN;
  }
}
