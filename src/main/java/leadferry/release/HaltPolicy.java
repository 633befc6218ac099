package leadferry.release;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import leadferry.disruption.DisruptionState;

/**
 * What halts a release by itself, each with its reason for people: the fleet's halt, lost targets,
 * the death of a driver, time limits, targets that don't become what they should, and verdicts.
 * Operators may set lost targets aside; the policy remembers which.
 */
final class HaltPolicy {
  /** How often an action is begun at one target before the release halts. */
  static final int MAX_ATTEMPTS = 3;

  private final ReleasePlan plan;

  /** Lost members that an operator has set aside; they count again once they were back. */
  private final Set<String> acknowledgedLost = new TreeSet<>();

  HaltPolicy(ReleasePlan plan) {
    this.plan = plan;
  }

  /** Why a running release halts by the state of the fleet, if it does. */
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
      // What is lost after it was changed speaks against the change, whatever else may be lost.
      return targets.stream()
          .filter(target -> target.isInService() && target.version == TargetVersion.NEW)
          .filter(target -> lost.contains(target.name))
          .findFirst()
          .map(target -> target.name + " is new, and lost");
    }
    return Optional.empty();
  }

  /** Lost members that this release did not take out itself and no operator has set aside. */
  private Set<String> unexpectedlyLost(
      Collection<ReleaseTarget> targets, DisruptionState disruption) {
    Set<String> lost = new TreeSet<>(disruption.lostTargets());
    targets.stream()
        .filter(target -> !target.isInService())
        .forEach(target -> lost.remove(target.name));
    lost.removeAll(acknowledgedLost);
    return lost;
  }

  /** An operator says that those who are lost now are no reason to halt. */
  void acknowledgeLost(Collection<ReleaseTarget> targets, DisruptionState disruption) {
    acknowledgedLost.addAll(unexpectedlyLost(targets, disruption));
  }

  /** Forgets what was acknowledged of members that are not lost any more. */
  void forgetRecovered(DisruptionState disruption) {
    acknowledgedLost.retainAll(disruption.lostTargets());
  }

  Set<String> acknowledgedLost() {
    return acknowledgedLost;
  }

  /** Why it halts when a driver takes over, if it does. */
  Optional<String> reasonAtTakeover(DriverLease lease) {
    return lease.holderWasLost && plan.policies().haltOnTakeover()
        ? Optional.of("its driver was lost")
        : Optional.empty();
  }

  /** Why it halts where a target's change is begun once too often, if it does. */
  Optional<String> reasonBeforeAttempt(ReleaseTarget target) {
    return target.attempts >= MAX_ATTEMPTS
        ? Optional.of(
            target.name + ": begun " + target.attempts + " times, and found " + target.observation)
        : Optional.empty();
  }

  /** Why it halts by what was observed of a target that isn't what it should be, if it does. */
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

  /** Why it halts by a verdict against the new version. */
  String reasonByVerdict(int step, String evidence) {
    return "step " + plan.steps().get(step).name() + ": " + evidence;
  }

  /** Why it halts when a target is not back in time. */
  String reasonOverdue(ReleaseTarget target) {
    return target.name
        + " is not back in service after "
        + plan.limits().actionTimeoutMillis()
        + " ms: "
        + target.phase.storedName()
        + (target.observation.isEmpty() ? "" : ", found " + target.observation);
  }

  /** Why it halts when the whole release takes too long. */
  String reasonTimeLimit() {
    return "its time of " + plan.limits().releaseTimeoutMillis() + " ms is over";
  }
}
