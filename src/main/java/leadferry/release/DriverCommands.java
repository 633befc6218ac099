package leadferry.release;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import leadferry.disruption.DisruptionState;
import leadferry.disruption.Outcome;
import leadferry.disruption.Outcome.Status;

/**
 * Applies the commands of drivers and agents to one release: draining and changing targets,
 * observations of targets, and verdicts on steps.
 *
 * <p>Invariant: a driver's command takes effect only if it carries the fencing token of the lease
 * that is held now. Reports of agents need no token.
 */
final class DriverCommands {
  private static final String NOTHING_FOUND = "nothing that tells its version";

  private final Release release;
  private final ReleasePlan plan;
  private final DisruptionState disruption;

  DriverCommands(Release release, DisruptionState disruption) {
    this.release = release;
    this.plan = release.plan;
    this.disruption = disruption;
  }

  /** Grants the lease to a driver, with {@code nextFence} as its fencing token. */
  Outcome acquireLease(ReleaseCommand.AcquireLease command, long nextFence) {
    DriverLease lease = release.lease;
    if (release.state.isClosed()) {
      return Outcome.of(Status.REFUSED, release.describe());
    }
    if (lease.isHeldBy(command.driver())) {
      return Outcome.numbered(Status.DONE, lease.fence);
    }
    if (lease.isHeld()) {
      return Outcome.of(Status.REFUSED, "driven by " + lease.driver);
    }
    if (release.isRunning()) {
      release.haltPolicy.reasonAtTakeover(lease).ifPresent(release::halt);
    }
    lease.acquire(command.driver(), command.leaseMillis(), nextFence);
    return Outcome.numbered(Status.DONE, lease.fence);
  }

  /**
   * Takes a target out of service for a driver, with {@code nextAction} as the number of its
   * action.
   */
  Outcome intendChange(ReleaseCommand.IntendChange command, long nextAction) {
    Optional<Outcome> rejection = release.lease.rejectionOf(command.fence());
    if (rejection.isPresent()) {
      return rejection.get();
    }
    ReleaseTarget target = release.target(command.target());
    if (target == null) {
      return Outcome.of(Status.UNKNOWN, "no target '" + command.target() + "'");
    }
    boolean isRepeated =
        !target.isInService() && target.fence == command.fence() && target.attempts == 0;
    if (isRepeated) {
      return new Outcome(Status.GRANTED, target.grantId, List.of(), target.action);
    }
    return rejectionWhileNotRunning(true)
        .or(() -> rejectionOfTurn(target))
        .orElseGet(() -> drainTarget(target, nextAction, command.fence()));
  }

  private Optional<Outcome> rejectionWhileNotRunning(boolean includeReason) {
    if (release.isRunning()) {
      return Optional.empty();
    }
    Status status = release.state == ReleaseState.HALTED ? Status.HALTED : Status.REFUSED;
    String reason =
        includeReason && !release.stateReason.isEmpty() ? ": " + release.stateReason : "";
    return Optional.of(Outcome.of(status, release.describe() + reason));
  }

  /** Returns why the target must not be drained now; empty if it may be drained. */
  private Optional<Outcome> rejectionOfTurn(ReleaseTarget target) {
    boolean isRestoringInRollback =
        target.phase == TargetPhase.RESTORING && !release.progress.isForward();
    if ((!target.isInService() && !isRestoringInRollback)
        || release.progress.hasDesiredVersion(target)
        || target.removed) {
      return Optional.of(Outcome.of(Status.REFUSED, target.name + " is not to be changed now"));
    }
    long inProgress =
        release.targets().stream().filter(other -> other != target && !other.isInService()).count();
    int atOnce = plan.steps().get(target.step).maxConcurrent();
    return inProgress >= atOnce
        ? Optional.of(
            Outcome.of(Status.REFUSED, inProgress + " of " + atOnce + " at once are under way"))
        : Optional.empty();
  }

  private Outcome drainTarget(ReleaseTarget target, long action, long fence) {
    String requester = "release " + plan.name();
    String unavailabilityReason = disruption.unavailabilityReason(plan.targetType(), target.name);
    if (unavailabilityReason != null) {
      // A rollback does not wait for a lost target, which the new version may have broken and
      // which counts as unavailable already.
      String grant =
          release.progress.isForward()
              ? ""
              : disruption.keepOutOfService(
                  plan.targetType(), target.name, requester, "the way back");
      return grant.isEmpty()
          ? Outcome.of(Status.REFUSED, target.name + " is out: " + unavailabilityReason)
          : beginDraining(target, grant, action, fence);
    }
    String reason = plan.version() + ", step " + plan.steps().get(target.step).name();
    Outcome drained = disruption.drain(plan.targetType(), target.name, 0, false, requester, reason);
    return drained.status() == Status.GRANTED
        ? beginDraining(target, drained.grantId(), action, fence)
        : drained;
  }

  private static Outcome beginDraining(
      ReleaseTarget target, String grant, long action, long fence) {
    target.beginDraining(grant, action, fence);
    return new Outcome(Status.GRANTED, grant, List.of(), action);
  }

  /** Records that the command that changes a target is about to run. */
  Outcome beginChange(ReleaseCommand.BeginChange command) {
    Optional<Outcome> rejection = release.lease.rejectionOf(command.fence());
    if (rejection.isPresent()) {
      return rejection.get();
    }
    ReleaseTarget target = release.target(command.target());
    if (target == null
        || target.action != command.action()
        || (target.phase != TargetPhase.DRAINING && target.phase != TargetPhase.CHANGING)) {
      return rejectAction(command.target(), command.action());
    }
    return rejectionWhileNotRunning(false)
        .or(() -> rejectionOfChange(target, command.fence()))
        .orElseGet(
            () -> {
              target.beginChange(command.fence(), disruption.changeNumber());
              return Outcome.numbered(Status.DONE, command.action());
            });
  }

  private Optional<Outcome> rejectionOfChange(ReleaseTarget target, long fence) {
    if (!disruption.isCarriedOut(target.grantId)) {
      return Optional.of(Outcome.of(Status.REFUSED, target.name + " is not out everywhere yet"));
    }
    if (release.progress.hasDesiredVersion(target)) {
      return Optional.of(Outcome.of(Status.REFUSED, target.name + " is what it is to be"));
    }
    // After the loss of a driver the next driver may begin the change again, under its own, higher
    // fencing token. Commands of the lost driver are then rejected by their lower token.
    boolean isUnobserved =
        target.phase == TargetPhase.CHANGING
            && target.observation.isEmpty()
            && target.fence == fence;
    if (isUnobserved) {
      return Optional.of(
          Outcome.of(Status.REFUSED, target.name + " was acted on and not looked at since"));
    }
    Optional<String> haltReason = release.haltPolicy.reasonBeforeAttempt(target);
    haltReason.ifPresent(release::halt);
    return haltReason.map(reason -> Outcome.of(Status.HALTED, reason));
  }

  /** Records the version that a driver observed of a target, before or after its action. */
  Outcome recordObservation(ReleaseCommand.RecordObservation command) {
    Optional<Outcome> rejection = release.lease.rejectionOf(command.fence());
    if (rejection.isPresent()) {
      return rejection.get();
    }
    ReleaseTarget target = release.target(command.target());
    if (target == null || target.action != command.action()) {
      return rejectAction(command.target(), command.action());
    }
    boolean isRepeated = target.phase == TargetPhase.RESTORING || target.isInService();
    if (!isRepeated) {
      applyObservation(target, command);
    }
    return Outcome.numbered(Status.DONE, command.action());
  }

  private void applyObservation(ReleaseTarget target, ReleaseCommand.RecordObservation command) {
    String observation = command.foundVersion().isEmpty() ? NOTHING_FOUND : command.foundVersion();
    target.recordObservation(command.fence(), plan.classify(command.foundVersion()), observation);
    boolean canServeUnchanged =
        target.version != TargetVersion.UNKNOWN && !release.isRunning() && !target.keptOutOfService;
    if (release.progress.hasDesiredVersion(target) || canServeUnchanged) {
      boolean isUnchanged = target.phase == TargetPhase.DRAINING;
      String reason = isUnchanged ? "given back untouched" : target.observation;
      disruption.undo(target.grantId, "release " + plan.name() + ": " + reason);
      target.beginRestoring();
    } else if (release.isRunning()) {
      release.haltPolicy.reasonAfterObservation(target, command.detail()).ifPresent(release::halt);
    }
  }

  /** Records the version that an agent reports of its target after the action. */
  Outcome recordReport(ReleaseCommand.RecordReport command) {
    ReleaseTarget target = release.target(command.target());
    if (target == null
        || target.phase != TargetPhase.CHANGING
        || target.action != command.action()
        || target.attempts != command.attempt()) {
      Function<ReleaseTarget, String> expected =
          knownTarget -> " (expected: " + knownTarget.action + ", " + knownTarget.attempts + ")";
      return Outcome.of(
          Status.CONFLICT,
          command.target()
              + ": action "
              + command.action()
              + ", try "
              + command.attempt()
              + " is not under way"
              + Optional.ofNullable(target).map(expected).orElse(""));
    }
    target.recordReport(command.foundVersion());
    return Outcome.of(Status.DONE);
  }

  /** Records the verdict of the canary analysis on a step. */
  Outcome recordVerdict(ReleaseCommand.RecordVerdict command) {
    Optional<Outcome> rejection = release.lease.rejectionOf(command.fence());
    if (rejection.isPresent()) {
      return rejection.get();
    }
    ReleaseProgress progress = release.progress;
    int step = command.step();
    if (!release.isRunning() || !progress.isForward() || step != progress.currentStep()) {
      return Outcome.of(Status.CONFLICT, "step " + step + " is not the one that is to be judged");
    }
    if (!command.proceed()) {
      release.halt(release.haltPolicy.reasonByVerdict(step, command.evidence()));
      if (plan.policies().rollBackOnVerdict()) {
        release.rollBack(0, "by verdict: " + command.evidence());
      }
      return Outcome.of(Status.DONE);
    }
    if (!progress.baked) {
      return Outcome.of(Status.REFUSED, "step " + plan.steps().get(step).name() + " has not baked");
    }
    release.advance(command.evidence());
    return Outcome.of(Status.DONE);
  }

  private static Outcome rejectAction(String target, long action) {
    return Outcome.of(Status.CONFLICT, target + ": not action " + action);
  }
}
