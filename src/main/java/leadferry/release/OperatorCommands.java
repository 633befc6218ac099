package leadferry.release;

import leadferry.disruption.DisruptionState;
import leadferry.disruption.Outcome;
import leadferry.disruption.Outcome.Status;

/**
 * Applies the commands of operators to one release: pause, resume, halt, roll back, override, end.
 */
final class OperatorCommands {
  private static final String CHECK_VERDICT = "verdict";
  private static final String CHECK_LOST = "lost";

  private final Release release;
  private final DisruptionState disruption;

  OperatorCommands(Release release, DisruptionState disruption) {
    this.release = release;
    this.disruption = disruption;
  }

  Outcome pause(ReleaseCommand.PauseRelease command) {
    if (!release.isRunning()) {
      return refuse("running");
    }
    release.transitionTo(ReleaseState.PAUSED, command.reason());
    return Outcome.of(Status.DONE);
  }

  Outcome resume(ReleaseCommand.ResumeRelease command) {
    if (release.state != ReleaseState.PAUSED && release.state != ReleaseState.HALTED) {
      return refuse("paused or halted");
    }
    release.transitionTo(ReleaseState.RUNNING, command.reason());
    release.allowRetries();
    release.timeLimitExceeded = false;
    return Outcome.of(Status.DONE);
  }

  Outcome halt(ReleaseCommand.HaltRelease command) {
    if (release.state.isClosed()) {
      return refuse("under way");
    }
    release.halt(command.reason().isEmpty() ? "halted" : command.reason());
    return Outcome.of(Status.DONE);
  }

  Outcome rollBack(ReleaseCommand.RollBack command) {
    int steps = release.plan.steps().size();
    int toStep = command.toStep();
    if (toStep < 0 || toStep >= steps) {
      return Outcome.of(
          Status.MALFORMED, "to_step: " + toStep + " (expected: 0 to " + (steps - 1) + ")");
    }
    if (release.state == ReleaseState.ROLLED_BACK || release.state == ReleaseState.ABANDONED) {
      return refuse("under way or done");
    }
    release.rollBack(toStep, command.reason());
    return Outcome.of(Status.DONE);
  }

  /**
   * Overrides the check that the command names: "verdict" lets the step that has baked pass, "lost"
   * acknowledges the lost targets.
   */
  Outcome override(ReleaseCommand.OverrideCheck command) {
    switch (command.check()) {
      case CHECK_VERDICT -> {
        boolean isWaitingForVerdict =
            release.progress.isForward() && !release.state.isClosed() && release.progress.baked;
        if (!isWaitingForVerdict) {
          return refuse("waiting for a verdict on a step that has baked");
        }
        release.transitionTo(ReleaseState.RUNNING, command.reason());
        release.advance("overridden: " + command.reason());
      }
      case CHECK_LOST -> release.haltPolicy.acknowledgeLost(release.targets(), disruption);
      default -> {
        return Outcome.of(
            Status.MALFORMED, "what: '" + command.check() + "' (expected: verdict or lost)");
      }
    }
    return Outcome.of(Status.DONE);
  }

  /** Abandons the release in its current state, so that another release may use its targets. */
  Outcome end(ReleaseCommand.EndRelease command) {
    if (!release.targets().stream().allMatch(ReleaseTarget::isInService)) {
      return Outcome.of(
          Status.REFUSED, "targets are under way: halt it, and wait until they are back");
    }
    release.transitionTo(ReleaseState.ABANDONED, command.reason());
    return Outcome.of(Status.DONE);
  }

  private Outcome refuse(String expected) {
    return Outcome.of(Status.REFUSED, release.describe() + " (expected: " + expected + ")");
  }
}
