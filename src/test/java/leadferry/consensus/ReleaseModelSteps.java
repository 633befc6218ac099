package leadferry.consensus;

import java.util.ArrayList;
import java.util.List;
import leadferry.consensus.ReleaseModel.Driver;
import leadferry.consensus.ReleaseModel.InFlightCommand;
import leadferry.consensus.ReleaseModel.Process;
import leadferry.consensus.StateSpaceExplorer.Step;

/**
 * What can happen next to a {@link ReleaseModel}: drivers look, act, crash and stand still,
 * commands come late, timers run out, replicas restart, operators give orders, a member is lost.
 */
final class ReleaseModelSteps {
  private static final int MAX_CRASHES = 2;
  private static final int MAX_STALLS = 2;
  private static final int MAX_RESTARTS = 2;
  private static final int MAX_ORDERS = 4;
  private static final int MAX_LOSSES = 1;

  private final ReleaseModel world;
  private final List<Step> steps = new ArrayList<>();

  private ReleaseModelSteps(ReleaseModel world) {
    this.world = world;
  }

  static List<Step> of(ReleaseModel world) {
    ReleaseModelSteps next = new ReleaseModelSteps(world);
    world.drivers.forEach(next::addDriver);
    next.addFlights();
    world.log.timers().forEach(next::addTimer);
    next.addOrders();
    ReleaseModel.PROXIES.forEach(next::addMember);
    return next.steps;
  }

  private void add(String name, Runnable action) {
    steps.add(new Step(name, action));
  }

  private void addDriver(String name, Driver driver) {
    boolean holdsLease = world.holdsLease(driver);
    if (driver.pending.isEmpty()) {
      add(name + " looks", () -> world.pollController(driver));
    } else {
      add(name + " does", () -> world.performNextAction(driver));
    }
    if (world.crashes < MAX_CRASHES) {
      add(
          name + " crashes",
          () -> {
            world.crashes++;
            world.startDriver(name);
          });
    }
    if (!driver.stalled && world.stalls < MAX_STALLS) {
      add(
          name + " stands still",
          () -> {
            world.stalls++;
            driver.stalled = true;
          });
    }
    if (driver.stalled && !holdsLease) {
      add(name + " wakes", () -> driver.stalled = false);
    }
  }

  private void addFlights() {
    for (int i = 0; i < world.inFlightCommands.size(); i++) {
      InFlightCommand flight = world.inFlightCommands.get(i);
      add("lands " + i, () -> world.deliver(flight));
    }
  }

  private void addTimer(String timer) {
    if (SessionTable.isSessionTimer(timer) || timer.startsWith("release-longest")) {
      return;
    }
    // The lease of a driver that renews it does not run out.
    boolean renewed =
        timer.startsWith("release-driver:")
            && world.drivers.values().stream()
                .anyMatch(driver -> world.holdsLease(driver) && !driver.stalled);
    if (!renewed) {
      add("time " + timer.replaceAll("[0-9]+$", ""), () -> world.log.expire(timer));
    }
  }

  private void addOrders() {
    if (world.restarts < MAX_RESTARTS) {
      add(
          "replicas restart",
          () -> {
            world.restarts++;
            world.log.restartReplicas();
          });
    }
    if (world.operatorCommands >= MAX_ORDERS) {
      return;
    }
    for (String operation :
        List.of("release_halt", "release_resume", "release_back", "release_pause")) {
      add(
          operation,
          () -> {
            world.operatorCommands++;
            world.log.submitOperatorCommand(operation, "walk");
          });
    }
  }

  private void addMember(String name) {
    Process process = world.processes.get(name);
    if (world.losses < MAX_LOSSES && process.runs && !world.lostMembers.contains(name)) {
      add("lost " + name, () -> world.loseMember(name));
    }
    if (world.isViewOutdated(name)) {
      add("news " + name, () -> world.pushView(name));
    }
    if (world.lostMembers.contains(name)) {
      add("found " + name, () -> world.restoreMember(name));
    }
  }
}
