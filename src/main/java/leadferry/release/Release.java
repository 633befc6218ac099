package leadferry.release;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import leadferry.disruption.DisruptionState;
import leadferry.disruption.TargetType;

/**
 * One release, as the log's entries have brought it about: its parts, the transitions of its state,
 * its timers, and what follows from a change in the fleet.
 *
 * <pre>
 *   start --> RUNNING (forward) --last step judged--> COMPLETED --roll back--> RUNNING (rollback) --> ROLLED_BACK
 *                |  ^                                                             ^      |
 *      pause,    |  | resume, override                                  roll back |      | halt, pause
 *      halt      v  |                                                             |      v
 *               PAUSED, HALTED ---------------------------------------------------+---- HALTED, PAUSED
 * </pre>
 *
 * <p>{@link DriverCommands} and {@link OperatorCommands} apply entries to it. Who may be
 * unavailable is not decided here: each target goes out by a grant of {@link DisruptionState},
 * under all budgets, forward and in a rollback alike. What is done to a target is written to the
 * log before it is done and after it was observed; an action whose driver was lost is looked at by
 * the next driver, never assumed.
 */
final class Release {
  final ReleasePlan plan;

  /** Its place in the order of all releases of the fleet. */
  final long number;

  /** Who started it. */
  final String who;

  /** Why it was started. */
  final String why;

  final DriverLease lease = new DriverLease();
  final ReleaseProgress progress = new ReleaseProgress();
  final HaltPolicy haltPolicy;

  ReleaseState state = ReleaseState.RUNNING;
  String stateReason = "";

  /** Whether the whole took longer than the plan allows. */
  boolean timeLimitPassed;

  /** How many returns to service there were. */
  long returns;

  private final Map<String, ReleaseTarget> targets = new LinkedHashMap<>();

  Release(ReleasePlan plan, long number, String who, String why) {
    this.plan = plan;
    this.number = number;
    this.who = who;
    this.why = why;
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
    return "release " + plan.name() + " is " + state.word();
  }

  boolean holds(String grant) {
    return !grant.isEmpty()
        && targets().stream()
            .anyMatch(target -> target.grant.equals(grant) && !target.isInService());
  }

  boolean sharesTargets(ReleasePlan other) {
    return plan.targetType() == other.targetType()
        && other.targets().stream().anyMatch(targets::containsKey);
  }

  // Transitions of the state.

  void become(ReleaseState next, String reason) {
    state = next;
    stateReason = reason;
  }

  void halt(String reason) {
    become(ReleaseState.HALTED, reason);
  }

  /** Operators want it tried again: each action has its time anew, and one more attempt. */
  void retryActions() {
    targets().forEach(target -> target.allowAnotherAttempt(HaltPolicy.MAX_ATTEMPTS));
  }

  /** The current step has passed. */
  void advance(String evidence) {
    progress.resetBaking();
    if (progress.goal < plan.steps().size()) {
      progress.advance();
    } else if (targets().stream()
        .allMatch(target -> target.gone || target.version == TargetVersion.NEW)) {
      become(ReleaseState.COMPLETED, evidence);
    }
  }

  /** Turns back, until only the first {@code steps} steps run the new version. */
  void rollBack(int steps, String reason) {
    progress.rollBackTo(steps);
    become(ReleaseState.RUNNING, reason);
    retryActions();
  }

  private void finishRollback() {
    if (progress.goal == 0) {
      become(ReleaseState.ROLLED_BACK, stateReason);
    } else {
      become(ReleaseState.HALTED, "back to step " + progress.goal + ", as asked");
      progress.goForward();
    }
  }

  // Time.

  /** Puts what runs out, and after how long (ms). */
  void timers(Map<String, Long> timers) {
    if (lease.isHeld()) {
      putTimer(timers, ReleaseTimer.Kind.DRIVER_LEASE, lease.fence, lease.leaseMillis);
    }
    if (!isRunning()) {
      return;
    }
    if (!timeLimitPassed) {
      putTimer(timers, ReleaseTimer.Kind.RELEASE_LIMIT, number, plan.limits().releaseMillis());
    }
    if (progress.isBaking()) {
      long bakeMillis = plan.steps().get(progress.currentStep()).bakeMillis();
      putTimer(timers, ReleaseTimer.Kind.BAKING, progress.bakingSince, bakeMillis);
    }
    for (ReleaseTarget target : targets()) {
      if (!target.isInService() && !target.overdue && !target.held) {
        putTimer(
            timers, ReleaseTimer.Kind.ACTION_LIMIT, target.action, plan.limits().actionMillis());
      }
    }
  }

  private void putTimer(
      Map<String, Long> timers, ReleaseTimer.Kind kind, long timerNumber, long millis) {
    timers.put(new ReleaseTimer(kind, plan.name(), timerNumber).name(), millis);
  }

  void timeout(ReleaseTimer timer) {
    switch (timer.kind()) {
      case DRIVER_LEASE -> lease.expire(timer.number());
      case RELEASE_LIMIT -> {
        timeLimitPassed = true;
        halt(haltPolicy.reasonTimeLimit());
      }
      case BAKING -> progress.finishBaking();
      case ACTION_LIMIT -> actionTimeout(timer.number());
    }
  }

  private void actionTimeout(long action) {
    for (ReleaseTarget target : targets()) {
      if (target.action == action && !target.isInService()) {
        target.markOverdue();
        halt(haltPolicy.reasonOverdue(target));
      }
    }
  }

  // What follows from a change in the fleet.

  /**
   * Takes note of what the last entry has changed in the fleet.
   *
   * @param actions gives numbers of actions
   * @param newest whether no later release has any of its targets: only then a completed one still
   *     counts
   */
  void observeFleet(DisruptionState disruption, LongSupplier actions, boolean newest) {
    boolean settled =
        state == ReleaseState.ABANDONED
            || state == ReleaseState.ROLLED_BACK
            || (state == ReleaseState.COMPLETED && !newest);
    if (settled) {
      return;
    }
    Set<String> known = disruption.byName(plan.targetType()).keySet();
    for (ReleaseTarget target : targets()) {
      if (target.phase == TargetPhase.RESTORING && isAvailable(target, disruption)) {
        target.returnToService(++returns);
      }
      target.gone = target.isInService() && !known.contains(target.name);
      noteOwnVersion(target, disruption, actions);
    }
    if (state == ReleaseState.COMPLETED) {
      reopenForWrongVersion();
    }
    haltPolicy.forgetRecovered(disruption);
    if (isRunning()) {
      haltPolicy.reasonInFleet(targets(), progress, disruption).ifPresent(this::halt);
    }
    if (isRunning()) {
      followProgress(disruption);
    }
  }

  /** A completed release takes up a target that came back with another version. */
  private void reopenForWrongVersion() {
    targets().stream()
        .filter(target -> !target.gone && target.version != TargetVersion.NEW)
        .findFirst()
        .ifPresent(
            target ->
                become(ReleaseState.RUNNING, target.name + " came back with " + target.found));
  }

  /**
   * A proxy in service that tells another version than it was given was down while it was changed,
   * or was changed by somebody else.
   */
  private void noteOwnVersion(
      ReleaseTarget target, DisruptionState disruption, LongSupplier actions) {
    if (plan.targetType() != TargetType.PROXY || !target.isInService()) {
      return;
    }
    String told = disruption.version(target.name, -1);
    TargetVersion version = plan.classify(told);
    if (told.isEmpty() || told.equals(DisruptionState.NO_VERSION) || version == target.version) {
      return;
    }
    target.changeVersion(version, told);
    if (plan.policies().holdWrongVersions() && !progress.isAsWanted(target)) {
      String grant =
          disruption.hold(
              plan.targetType(), target.name, "release " + plan.name(), "came back with " + told);
      if (!grant.isEmpty()) {
        target.holdOut(grant, actions.getAsLong(), told);
      }
    }
  }

  private void followProgress(DisruptionState disruption) {
    boolean complete = isCurrentGoalReached(disruption);
    if (progress.isForward()) {
      if (!complete) {
        progress.resetBaking();
      } else if (progress.bakingSince == 0) {
        progress.beginBaking(disruption.changes() + 1);
      }
    } else if (complete
        && targets().stream().allMatch(target -> target.gone || progress.isAsWanted(target))) {
      finishRollback();
    }
  }

  /**
   * Whether every target of the goal's steps, and in a rollback every target, runs what it should
   * and serves.
   */
  private boolean isCurrentGoalReached(DisruptionState disruption) {
    Set<String> lost = disruption.lost();
    return targets().stream()
        .filter(target -> !target.gone)
        .filter(target -> !progress.isForward() || target.step < progress.goal)
        .filter(
            target ->
                !plan.policies().skipLostTargets()
                    || !target.isInService()
                    || !lost.contains(target.name))
        .allMatch(
            target ->
                target.isInService()
                    && progress.isAsWanted(target)
                    && isAvailable(target, disruption));
  }

  private boolean isAvailable(ReleaseTarget target, DisruptionState disruption) {
    return disruption.out(plan.targetType(), target.name) == null;
  }
}
