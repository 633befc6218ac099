package leadferry.release;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import leadferry.disruption.DisruptionState;

/**
 * One release, as the log's entries have brought it about: its parts, the transitions of its state,
 * and its timers.
 *
 * <pre>
 *   start --> RUNNING (forward) --last step judged--> COMPLETED --roll back--> RUNNING (rollback) --> ROLLED_BACK
 *                |  ^                                                             ^      |
 *      pause,    |  | resume, override                                  roll back |      | halt, pause
 *      halt      v  |                                                             |      v
 *               PAUSED, HALTED ---------------------------------------------------+---- HALTED, PAUSED
 * </pre>
 *
 * <p>{@link DriverCommands} and {@link OperatorCommands} apply entries to it, and {@link
 * FleetChangeObserver} what they change in the fleet. Who may be unavailable is not decided here:
 * each target goes out by a grant of {@link DisruptionState}, under all budgets, forward and in a
 * rollback alike. What is done to a target is written to the log before it is done and after it was
 * observed; an action whose driver was lost is looked at by the next driver, never assumed.
 */
final class Release {
  final ReleasePlan plan;

  /** Its place in the order of all releases of the fleet. */
  final long number;

  /** Who started it. */
  final String requestedBy;

  /** Why it was started. */
  final String requestReason;

  final DriverLease lease = new DriverLease();
  final ReleaseProgress progress = new ReleaseProgress();
  final HaltPolicy haltPolicy;

  ReleaseState state = ReleaseState.RUNNING;
  String stateReason = "";

  /** Whether the whole took longer than the plan allows. */
  boolean timeLimitExceeded;

  /** How many returns to service there were. */
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

  /** The target of that name, or null. */
  ReleaseTarget target(String name) {
    return targets.get(name);
  }

  boolean isRunning() {
    return state == ReleaseState.RUNNING;
  }

  /** For reasons: which release, and where it stands. */
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

  /** Operators want it tried again: each action has its time anew, and one more attempt. */
  void allowRetries() {
    targets().forEach(target -> target.allowAnotherAttempt(HaltPolicy.MAX_ATTEMPTS));
  }

  /** The current step has passed. */
  void advance(String evidence) {
    progress.resetBaking();
    if (progress.goalStepCount < plan.steps().size()) {
      progress.advance();
    } else if (targets().stream()
        .allMatch(target -> target.removed || target.version == TargetVersion.NEW)) {
      transitionTo(ReleaseState.COMPLETED, evidence);
    }
  }

  /** Turns back, until only the first {@code steps} steps run the new version. */
  void rollBack(int steps, String reason) {
    progress.rollBackTo(steps);
    transitionTo(ReleaseState.RUNNING, reason);
    allowRetries();
  }

  /** Every target runs the version that the rollback was to bring. */
  void finishRollback() {
    if (progress.goalStepCount == 0) {
      transitionTo(ReleaseState.ROLLED_BACK, stateReason);
    } else {
      transitionTo(ReleaseState.HALTED, "back to step " + progress.goalStepCount + ", as asked");
      progress.resumeForward();
    }
  }

  // Time.

  /** Puts what runs out, and after how long (ms). */
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
