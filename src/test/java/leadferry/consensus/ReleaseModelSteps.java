package leadferry.consensus;

import java.util.ArrayList;
import java.util.List;
import leadferry.consensus.ReleaseModel.Driver;
import leadferry.consensus.ReleaseModel.InFlightCommand;
import leadferry.consensus.ReleaseModel.ProxyProcess;
import leadferry.consensus.StateSpaceExplorer.Step;

/**
 * The possible next steps of a {@link ReleaseModel}: drivers poll, act, crash and stall, commands
 * arrive late, timers expire, replicas restart, operators submit commands, and a member is lost.
 */
final class ReleaseModelSteps {
  private static final int MAX_CRASHES = 2;
  private static final int MAX_STALLS = 2;
  private static final int MAX_RESTARTS = 2;
  private static final int MAX_OPERATOR_COMMANDS = 4;
  private static final int MAX_LOSSES = 1;

  private final ReleaseModel model;
  private final List<Step> steps = new ArrayList<>();

  private ReleaseModelSteps(ReleaseModel model) {
    this.model = model;
  }

  static List<Step> of(ReleaseModel model) {
    ReleaseModelSteps next = new ReleaseModelSteps(model);
    model.drivers.forEach(next::addDriver);
    next.addInFlightCommands();
    model.log.timers().forEach(next::addTimer);
    next.addOperatorCommands();
    ReleaseModel.PROXIES.forEach(next::addMember);
    return next.steps;
  }

  private void add(String name, Runnable action) {
    steps.add(new Step(name, action));
  }

  private void addDriver(String name, Driver driver) {
    boolean holdsLease = model.holdsLease(driver);
    if (driver.pending.isEmpty()) {
      add(name + " polls", () -> model.pollController(driver));
    } else {
      add(name + " acts", () -> model.performNextAction(driver));
    }
    if (model.crashCount < MAX_CRASHES) {
      add(
          name + " crashes",
          () -> {
            model.crashCount++;
            model.startDriver(name);
          });
    }
    if (!driver.stalled && model.stallCount < MAX_STALLS) {
      add(
          name + " stalls",
          () -> {
            model.stallCount++;
            driver.stalled = true;
          });
    }
    if (driver.stalled && !holdsLease) {
      add(name + " resumes", () -> driver.stalled = false);
    }
  }

  private void addInFlightCommands() {
    for (int i = 0; i < model.inFlightCommands.size(); i++) {
      InFlightCommand inFlight = model.inFlightCommands.get(i);
      add("command arrives " + i, () -> model.deliver(inFlight));
    }
  }

  private void addTimer(String timer) {
    if (SessionTable.isSessionTimer(timer) || timer.startsWith("release-longest")) {
      return;
    }
    // A lease does not expire while its driver renews it.
    boolean renewed =
        timer.startsWith("release-driver:")
            && model.drivers.values().stream()
                .anyMatch(driver -> model.holdsLease(driver) && !driver.stalled);
    if (!renewed) {
      add("expire timer " + timer.replaceAll("[0-9]+$", ""), () -> model.log.expire(timer));
    }
  }

  private void addOperatorCommands() {
    if (model.restartCount < MAX_RESTARTS) {
      add(
          "replicas restart",
          () -> {
            model.restartCount++;
            model.log.restartReplicas();
          });
    }
    if (model.operatorCommandCount >= MAX_OPERATOR_COMMANDS) {
      return;
    }
    for (String operation :
        List.of("release_halt", "release_resume", "release_back", "release_pause")) {
      add(
          operation,
          () -> {
            model.operatorCommandCount++;
            model.log.submitOperatorCommand(operation, "walk");
          });
    }
  }

  private void addMember(String name) {
    ProxyProcess process = model.processes.get(name);
    if (model.lossCount < MAX_LOSSES && process.running && !model.lostMembers.contains(name)) {
      add("lose " + name, () -> model.loseMember(name));
    }
    if (model.isViewOutdated(name)) {
      add("deliver view to " + name, () -> model.pushView(name));
    }
    if (model.lostMembers.contains(name)) {
      add("restore " + name, () -> model.restoreMember(name));
    }
  }
}
