package leadferry.release;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import leadferry.disruption.DisruptionState;

/**
 * Rules that halt a release without an operator, each with its human-readable reason: a halt of the
 * fleet, lost targets, the loss of a driver, time limits, targets that do not reach their desired
 * version, and verdicts. The policy keeps the lost targets that an operator has acknowledged. The
 * reasons are stored and shown to operators, so their wording must not change.
 */
final class HaltPolicy {
  /** Maximum number of attempts of one action; the release halts instead of another attempt. */
  static final int MAX_ATTEMPTS = 3;

  private final ReleasePlan plan;

  /**
   * Lost targets that an operator has acknowledged, which do not halt the release. A target that
   * recovers is removed, so that its next loss counts again.
   */
  private final Set<String> acknowledgedLost = new TreeSet<>();

  HaltPolicy(ReleasePlan plan) {
    this.plan = plan;
  }

  /** Returns why the state of the fleet halts a running release; empty if it does not. */
  Optional<String> reasonInFleet(
      Collection<ReleaseTarget> targets, ReleaseProgress progress, DisruptionState disruption) {
    if (!disruption.haltReason().isEmpty()) {
      return Optional.of("the fleet is halted: " + disruption.haltReason());
    }
    Set<String> lost = unexpectedlyLost(targets, disruption);
    int lostLimit = plan.limits().lostTargetsToHalt();
    if (lostLimit > 0 && lost.size() >= lostLimit) {
      return Optional.of("lost meanwhile: " + String.join(", ", lost));
    }
    if (progress.isForward() && !plan.policies().skipLostTargets()) {
      // A target lost after its change is evidence against the new version, whatever the limit of
      // lost targets is.
      return targets.stream()
          .filter(target -> target.isInService() && target.version == TargetVersion.NEW)
          .filter(target -> lost.contains(target.name))
          .findFirst()
          .map(target -> target.name + " is new, and lost");
    }
    return Optional.empty();
  }

  /**
   * Returns the lost targets of the fleet that this release has not drained and no operator has
   * acknowledged.
   */
  private Set<String> unexpectedlyLost(
      Collection<ReleaseTarget> targets, DisruptionState disruption) {
    Set<String> lost = new TreeSet<>(disruption.lostTargets());
    targets.stream()
        .filter(target -> !target.isInService())
        .forEach(target -> lost.remove(target.name));
    lost.removeAll(acknowledgedLost);
    return lost;
  }

  /** Acknowledges all targets that are lost now. They then no longer halt the release. */
  void acknowledgeLost(Collection<ReleaseTarget> targets, DisruptionState disruption) {
    acknowledgedLost.addAll(unexpectedlyLost(targets, disruption));
  }

  /** Drops the acknowledgement of targets that are no longer lost. */
  void forgetRecovered(DisruptionState disruption) {
    acknowledgedLost.retainAll(disruption.lostTargets());
  }

  Set<String> acknowledgedLost() {
    return acknowledgedLost;
  }

  /** Returns why a takeover by another driver halts the release; empty if it does not. */
  Optional<String> reasonAtTakeover(DriverLease lease) {
    return lease.holderWasLost && plan.policies().haltOnTakeover()
        ? Optional.of("its driver was lost")
        : Optional.empty();
  }

  /** Returns why another attempt at a target halts the release; empty if the attempt is allowed. */
  Optional<String> reasonBeforeAttempt(ReleaseTarget target) {
    return target.attempts >= MAX_ATTEMPTS
        ? Optional.of(
            target.name + ": begun " + target.attempts + " times, and found " + target.observation)
        : Optional.empty();
  }

  /**
   * Returns why the observation of a target without its desired version halts the release; empty if
   * it does not.
   */
  Optional<String> reasonAfterObservation(ReleaseTarget target, String text) {
    if (target.version != TargetVersion.UNKNOWN && target.attempts < MAX_ATTEMPTS) {
      return Optional.empty();
    }
    return Optional.of(
        target.name
            + " after "
            + target.attempts
            + " tries: found "
            + target.observation
            + (text.isEmpty() ? "" : "; " + text));
  }

  /** Returns the reason for a halt after a verdict against the new version. */
  String reasonByVerdict(int step, String evidence) {
    return "step " + plan.steps().get(step).name() + ": " + evidence;
  }

  /** Returns the reason for a halt after a target exceeded its time limit. */
  String reasonOverdue(ReleaseTarget target) {
    return target.name
        + " is not back in service after "
        + plan.limits().actionTimeoutMillis()
        + " ms: "
        + target.phase.storedName()
        + (target.observation.isEmpty() ? "" : ", found " + target.observation);
  }

  /** Returns the reason for a halt after the release exceeded its time limit. */
  String reasonTimeLimit() {
    return "its time of " + plan.limits().releaseTimeoutMillis() + " ms is over";
  }
}
