package leadferry.release;

import leadferry.disruption.DisruptionState;
import leadferry.disruption.Outcome;
import leadferry.disruption.Outcome.Status;

/** Applies operators' entries to one release: pause, resume, halt, roll back, override, give up. */
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
      return notNow("running");
    }
    release.become(ReleaseState.PAUSED, command.why());
    return Outcome.of(Status.DONE);
  }

  Outcome resume(ReleaseCommand.ResumeRelease command) {
    if (release.state != ReleaseState.PAUSED && release.state != ReleaseState.HALTED) {
      return notNow("paused or halted");
    }
    release.become(ReleaseState.RUNNING, command.why());
    release.retryActions();
    release.timeLimitPassed = false;
    return Outcome.of(Status.DONE);
  }

  Outcome halt(ReleaseCommand.HaltRelease command) {
    if (release.state.isOver()) {
      return notNow("under way");
    }
    release.halt(command.why().isEmpty() ? "halted" : command.why());
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
      return notNow("under way or done");
    }
    release.rollBack(toStep, command.why());
    return Outcome.of(Status.DONE);
  }

  /** The step that has baked passes, or the lost are no reason to halt. */
  Outcome override(ReleaseCommand.OverrideCheck command) {
    switch (command.check()) {
      case CHECK_VERDICT -> {
        boolean waits =
            release.progress.isForward() && !release.state.isOver() && release.progress.baked;
        if (!waits) {
          return notNow("waiting for a verdict on a step that has baked");
        }
        release.become(ReleaseState.RUNNING, command.why());
        release.advance("overridden: " + command.why());
      }
      case CHECK_LOST -> release.haltPolicy.acknowledgeLost(release.targets(), disruption);
      default -> {
        return Outcome.of(
            Status.MALFORMED, "what: '" + command.check() + "' (expected: verdict or lost)");
      }
    }
    return Outcome.of(Status.DONE);
  }

  /** Gives it up as it stands, so that another release may have its targets. */
  Outcome end(ReleaseCommand.EndRelease command) {
    if (!release.targets().stream().allMatch(ReleaseTarget::isInService)) {
      return Outcome.of(
          Status.REFUSED, "targets are under way: halt it, and wait until they are back");
    }
    release.become(ReleaseState.ABANDONED, command.why());
    return Outcome.of(Status.DONE);
  }

  private Outcome notNow(String expected) {
    return Outcome.of(Status.REFUSED, release.describe() + " (expected: " + expected + ")");
  }
}
