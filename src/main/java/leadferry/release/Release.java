package leadferry.release;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import leadferry.disruption.DisruptionState;

/**
 * A release in the replicated state: its parts, the transitions of its state, and its timers.
 *
 * <pre>
 *   start --> RUNNING (forward) --last step passed--> COMPLETED --roll back--> RUNNING (rollback) --> ROLLED_BACK
 *                |  ^                                                             ^      |
 *      pause,    |  | resume, override                                  roll back |      | halt, pause
 *      halt      v  |                                                             |      v
 *               PAUSED, HALTED ---------------------------------------------------+---- HALTED, PAUSED
 * </pre>
 *
 * <p>{@link DriverCommands} and {@link OperatorCommands} apply commands to the release, and {@link
 * FleetChangeObserver} applies changes of the fleet. The release does not decide which targets may
 * be unavailable: it drains each target by a grant of {@link DisruptionState}, under all budgets,
 * both forward and in a rollback.
 *
 * <p>The log records an action before it starts and its result after an observation. If a driver is
 * lost, the next one checks the result of its action instead of assuming a result.
 */
final class Release {
  final ReleasePlan plan;

  /** Position of the release among all releases of the fleet, in the order of their starts. */
  final long number;

  /** Human-readable name of the requester. */
  final String requestedBy;

  /** Human-readable reason for the release. */
  final String requestReason;

  final DriverLease lease = new DriverLease();
  final ReleaseProgress progress = new ReleaseProgress();
  final HaltPolicy haltPolicy;

  ReleaseState state = ReleaseState.RUNNING;
  String stateReason = "";

  /** Whether the release took longer than the plan allows. */
  boolean timeLimitExceeded;

  /** Number of returns of targets to service so far. */
  long returnCount;

  private final Map<String, ReleaseTarget> targets = new LinkedHashMap<>();

  Release(ReleasePlan plan, long number, String requestedBy, String requestReason) {
    this.plan = plan;
    this.number = number;
    this.requestedBy = requestedBy;
    this.requestReason = requestReason;
    this.haltPolicy = new HaltPolicy(plan);
    for (int step = 0; step < plan.steps().size(); step++) {
      for (String target : plan.steps().get(step).targets()) {
        targets.put(target, new ReleaseTarget(target, step));
      }
    }
  }

  Collection<ReleaseTarget> targets() {
    return targets.values();
  }

  /** Returns the target of the given name, or null if there is none. */
  ReleaseTarget target(String name) {
    return targets.get(name);
  }

  boolean isRunning() {
    return state == ReleaseState.RUNNING;
  }

  /** Returns the name and the state of the release, for reasons shown to operators. */
  String describe() {
    return "release " + plan.name() + " is " + state.storedName();
  }

  boolean holdsGrant(String grant) {
    return !grant.isEmpty()
        && targets().stream()
            .anyMatch(target -> target.grantId.equals(grant) && !target.isInService());
  }

  boolean hasTargetsInCommonWith(ReleasePlan other) {
    return plan.targetType() == other.targetType()
        && other.targets().stream().anyMatch(targets::containsKey);
  }

  // Transitions of the state.

  void transitionTo(ReleaseState next, String reason) {
    state = next;
    stateReason = reason;
  }

  void halt(String reason) {
    transitionTo(ReleaseState.HALTED, reason);
  }

  /** Restarts the time limit of each action and allows at least one more attempt. */
  void allowRetries() {
    targets().forEach(target -> target.allowAnotherAttempt(HaltPolicy.MAX_ATTEMPTS));
  }

  /** Proceeds to the next step, or completes the release after the last one. */
  void advance(String evidence) {
    progress.resetBaking();
    if (progress.goalStepCount < plan.steps().size()) {
      progress.advance();
    } else if (targets().stream()
        .allMatch(target -> target.removed || target.version == TargetVersion.NEW)) {
      transitionTo(ReleaseState.COMPLETED, evidence);
    }
  }

  /** Begins a rollback, after which only the first {@code steps} steps run the new version. */
  void rollBack(int steps, String reason) {
    progress.rollBackTo(steps);
    transitionTo(ReleaseState.RUNNING, reason);
    allowRetries();
  }

  /** Ends a rollback after all targets run their desired versions. */
  void finishRollback() {
    if (progress.goalStepCount == 0) {
      transitionTo(ReleaseState.ROLLED_BACK, stateReason);
    } else {
      transitionTo(ReleaseState.HALTED, "back to step " + progress.goalStepCount + ", as asked");
      progress.resumeForward();
    }
  }

  // Timers.

  /** Adds the running timers, by name, with their durations (ms). */
  void putTimers(Map<String, Long> timers) {
    if (lease.isHeld()) {
      putTimer(timers, ReleaseTimer.Kind.DRIVER_LEASE, lease.fence, lease.leaseMillis);
    }
    if (!isRunning()) {
      return;
    }
    if (!timeLimitExceeded) {
      putTimer(
          timers, ReleaseTimer.Kind.RELEASE_LIMIT, number, plan.limits().releaseTimeoutMillis());
    }
    if (progress.isBaking()) {
      long bakeMillis = plan.steps().get(progress.currentStep()).bakeMillis();
      putTimer(timers, ReleaseTimer.Kind.BAKING, progress.bakingSinceChange, bakeMillis);
    }
    for (ReleaseTarget target : targets()) {
      if (!target.isInService() && !target.overdue && !target.keptOutOfService) {
        putTimer(
            timers,
            ReleaseTimer.Kind.ACTION_LIMIT,
            target.action,
            plan.limits().actionTimeoutMillis());
      }
    }
  }

  private void putTimer(
      Map<String, Long> timers, ReleaseTimer.Kind kind, long timerNumber, long millis) {
    timers.put(new ReleaseTimer(kind, plan.name(), timerNumber).name(), millis);
  }

  void onTimerExpired(ReleaseTimer timer) {
    switch (timer.kind()) {
      case DRIVER_LEASE -> lease.expire(timer.number());
      case RELEASE_LIMIT -> {
        timeLimitExceeded = true;
        halt(haltPolicy.reasonTimeLimit());
      }
      case BAKING -> progress.finishBaking();
      case ACTION_LIMIT -> onActionTimeout(timer.number());
    }
  }

  private void onActionTimeout(long action) {
    for (ReleaseTarget target : targets()) {
      if (target.action == action && !target.isInService()) {
        target.markOverdue();
        halt(haltPolicy.reasonOverdue(target));
      }
    }
  }
}
