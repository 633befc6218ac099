package leadferry.consensus;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import leadferry.consensus.ReleaseModel.Driver;

/**
 * Brings a {@link ReleaseModel} to its end: everything works from here on, the release is rolled
 * back, and all must serve the old version.
 */
final class ReleaseModelRollback {
  private static final int ROUNDS_AFTER_HALT = 40;
  private static final int ROUNDS_OF_ROLLBACK = 300;
  private static final String WHY = "the end";

  private final ReleaseModel world;

  private ReleaseModelRollback(ReleaseModel world) {
    this.world = world;
  }

  static void rollBackAndCheck(ReleaseModel world) {
    ReleaseModelRollback ending = new ReleaseModelRollback(world);
    new ArrayList<>(world.lostMembers).forEach(world::restoreMember);
    world.drivers.values().forEach(driver -> driver.stalled = false);
    if (world.log.isInState("halted")) {
      ending.checkHaltedTargetsComeBack();
    }
    ending.rollBack();
    ending.checkAllServeTheOldVersion();
  }

  private boolean holds() {
    return world.violation().isEmpty();
  }

  private void checkHaltedTargetsComeBack() {
    for (int i = 0; i < ROUNDS_AFTER_HALT && holds(); i++) {
      playRound();
    }
    for (JsonNode target : world.log.release().path("targets")) {
      if (holds()
          && world.log.isInState("halted")
          && !target.path("phase").asText().equals("in")
          && !target.path("at").asText().equals("unknown")) {
        world.log.recordViolation("halted, and not given back: " + target);
      }
    }
  }

  private void rollBack() {
    if (!world.log.isInState("returned")) {
      world.log.submitOperatorCommand("release_back", WHY);
    }
    for (int i = 0; i < ROUNDS_OF_ROLLBACK && holds() && !world.log.isInState("returned"); i++) {
      if (world.log.isInState("halted")) {
        world.log.submitOperatorCommand("release_resume", WHY);
      }
      playRound();
    }
  }

  private void checkAllServeTheOldVersion() {
    world.processes.forEach(
        (name, process) -> {
          if (holds()
              && (!world.log.isInState("returned")
                  || !process.version.equals(ReleaseModel.OLD_VERSION)
                  || !process.serves())) {
            world.log.recordViolation("not taken back: " + world.log.release());
          }
        });
  }

  /** All commands land, all drivers act and look, all views arrive, all timers run out. */
  private void playRound() {
    List.copyOf(world.inFlightCommands).forEach(world::deliver);
    for (Driver driver : world.drivers.values()) {
      while (!driver.pending.isEmpty()) {
        world.performNextAction(driver);
      }
      world.pollController(driver);
    }
    world.processes.keySet().forEach(world::pushView);
    world.log.memberTimers().forEach(world.log::expire);
    world.log.timers().stream()
        .filter(timer -> timer.startsWith("release-driver:"))
        .findFirst()
        .filter(timer -> world.drivers.values().stream().noneMatch(world::holdsLease))
        .ifPresent(world.log::expire);
  }
}
