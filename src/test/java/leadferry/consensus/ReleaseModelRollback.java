package leadferry.consensus;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import leadferry.consensus.ReleaseModel.Driver;

/**
 * Ends a {@link ReleaseModel}: without further faults, rolls the release back and checks that all
 * proxies serve the old version.
 */
final class ReleaseModelRollback {
  private static final int ROUNDS_AFTER_HALT = 40;
  private static final int ROUNDS_OF_ROLLBACK = 300;
  private static final String REASON = "rollback at the end of the walk";

  private final ReleaseModel model;

  private ReleaseModelRollback(ReleaseModel model) {
    this.model = model;
  }

  static void rollBackAndCheck(ReleaseModel model) {
    ReleaseModelRollback ending = new ReleaseModelRollback(model);
    new ArrayList<>(model.lostMembers).forEach(model::restoreMember);
    model.drivers.values().forEach(driver -> driver.stalled = false);
    if (model.log.isInState("halted")) {
      ending.checkHaltedTargetsReturnToService();
    }
    ending.rollBack();
    ending.checkAllServeOldVersion();
  }

  private boolean hasNoViolation() {
    return model.violation().isEmpty();
  }

  private void checkHaltedTargetsReturnToService() {
    for (int i = 0; i < ROUNDS_AFTER_HALT && hasNoViolation(); i++) {
      runRound();
    }
    for (JsonNode target : model.log.release().path("targets")) {
      if (hasNoViolation()
          && model.log.isInState("halted")
          && !target.path("phase").asText().equals("in")
          && !target.path("at").asText().equals("unknown")) {
        model.log.recordViolation("halted, but not returned to service: " + target);
      }
    }
  }

  private void rollBack() {
    if (!model.log.isInState("returned")) {
      model.log.submitOperatorCommand("release_back", REASON);
    }
    for (int i = 0;
        i < ROUNDS_OF_ROLLBACK && hasNoViolation() && !model.log.isInState("returned");
        i++) {
      if (model.log.isInState("halted")) {
        model.log.submitOperatorCommand("release_resume", REASON);
      }
      runRound();
    }
  }

  private void checkAllServeOldVersion() {
    model.processes.forEach(
        (name, process) -> {
          if (hasNoViolation()
              && (!model.log.isInState("returned")
                  || !process.version.equals(ReleaseModel.OLD_VERSION)
                  || !process.isServing())) {
            model.log.recordViolation("not rolled back: " + model.log.release());
          }
        });
  }

  /** Delivers all commands and views, lets all drivers act and poll, and expires all timers. */
  private void runRound() {
    List.copyOf(model.inFlightCommands).forEach(model::deliver);
    for (Driver driver : model.drivers.values()) {
      while (!driver.pending.isEmpty()) {
        model.performNextAction(driver);
      }
      model.pollController(driver);
    }
    model.processes.keySet().forEach(model::pushView);
    model.log.memberTimers().forEach(model.log::expire);
    model.log.timers().stream()
        .filter(timer -> timer.startsWith("release-driver:"))
        .findFirst()
        .filter(timer -> model.drivers.values().stream().noneMatch(model::holdsLease))
        .ifPresent(model.log::expire);
  }
}
