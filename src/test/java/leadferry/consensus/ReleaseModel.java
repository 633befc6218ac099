package leadferry.consensus;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import leadferry.consensus.StateSpaceExplorer.Step;
import leadferry.disruption.ProxyMemberView;
import leadferry.release.CommandResult;
import leadferry.release.DriverAction;
import leadferry.release.ReleaseCommandCodec;
import leadferry.release.ReleaseController;
import leadferry.release.ReleaseView;
import leadferry.release.ReleaseViewCodec;

/**
 * A release of two proxies of three, one allowed out, with two drivers: the real state machine,
 * members' views and controllers. Who serves, and what was run, is kept beside them and compared.
 * {@link ReleaseModelSteps} tells what can happen next.
 */
final class ReleaseModel implements StateSpaceExplorer.SystemModel {
  static final List<String> PROXIES = List.of("a", "b", "c");
  static final String OLD_VERSION = "v1";

  private static final String NEW_VERSION = "v2";
  private static final int LEASE_MILLIS = 1_000;

  /** How much later a driver looks again: longer than its renewal interval. */
  private static final long LOOK_NANOS = 600_000_000L;

  /** A proxy's process, and the supervisor's memory of its fence. */
  static final class Process {
    String version = OLD_VERSION;
    long session;
    int incarnation;
    long reportNumber;
    ProxyMemberView view;
    boolean runs = true;
    long fence;

    boolean serves() {
      return runs && !view.isOutOfService();
    }
  }

  /** A driver's process: its controller, and what that wants done. */
  static final class Driver {
    ReleaseController controller;
    int incarnation;
    boolean stalled;
    final List<DriverAction> pending = new ArrayList<>();
  }

  /** A command on its way: it lands whatever becomes of its driver. */
  record InFlightCommand(ReleaseController sender, DriverAction command) {}

  final Map<String, Process> processes = new TreeMap<>();
  final Map<String, Driver> drivers = new TreeMap<>();
  final List<InFlightCommand> inFlightCommands = new ArrayList<>();
  final Set<String> executed = new HashSet<>();
  final Set<String> lostMembers = new TreeSet<>();
  final ReleaseModelLog log = new ReleaseModelLog(this::out);
  int crashes;
  int stalls;
  int losses;
  int operatorCommands;
  int restarts;
  private long nowNanos;

  /**
   * A release under way.
   *
   * @param checks whether the plan has a check command
   * @param undisturbedSteps so many steps of an undisturbed release by X have been taken
   */
  ReleaseModel(boolean checks, int undisturbedSteps) {
    for (String name : PROXIES) {
      processes.put(name, new Process());
      join(name);
    }
    log.memberTimers().forEach(log::expire);
    ObjectNode start = Json.object().put("op", "release_start").set("plan", plan(checks));
    if (!log.apply(start).path("status").asText().equals("done")) {
      throw new IllegalStateException();
    }
    for (String name : List.of("X", "Y")) {
      drivers.put(name, new Driver());
      startDriver(name);
    }
    Driver undisturbed = drivers.get("X");
    for (int i = 0; i < undisturbedSteps; i++) {
      pollController(undisturbed);
      while (!undisturbed.pending.isEmpty()) {
        performNextAction(undisturbed);
      }
      processes.keySet().forEach(this::pushView);
    }
  }

  private static ObjectNode plan(boolean checks) {
    ObjectNode plan =
        Json.object()
            .put("name", ReleaseModelLog.RELEASE)
            .put("of", "proxy")
            .put("version", NEW_VERSION)
            .put("from", OLD_VERSION)
            .put("halt_lost", 0);
    plan.putArray("steps")
        .addObject()
        .put("name", "all")
        .put("at_once", 2)
        .putArray("targets")
        .add("a")
        .add("b");
    ObjectNode carry = plan.putObject("carry").put("by", "command");
    carry.putArray("command").add("restart");
    if (checks) {
      carry.putArray("check").add("check");
    }
    return plan;
  }

  private Set<String> out() {
    Set<String> out = new TreeSet<>();
    processes.forEach(
        (name, process) -> {
          if (!process.serves() && !lostMembers.contains(name)) {
            out.add(name);
          }
        });
    return out;
  }

  // --- members

  boolean hasSession(String name) {
    return log.stateMachine().isSessionLive(name, processes.get(name).session);
  }

  void join(String name) {
    Process process = processes.get(name);
    process.runs = true;
    process.view = new ProxyMemberView(name);
    process.reportNumber = 0;
    process.incarnation++;
    ObjectNode outcome =
        log.applyUnchecked(
            Json.object()
                .put("op", "join")
                .put("name", name)
                .put("incarnation", name + process.incarnation)
                .put("lease_ms", LEASE_MILLIS)
                .put("runs", process.version));
    process.session = outcome.path("session").asLong();
    process.view.applyView(outcome.path("view"), true, nowNanos);
    report(name);
  }

  private void report(String name) {
    Process process = processes.get(name);
    process.reportNumber++;
    log.apply(
        Json.object()
            .put("op", "tell")
            .put("name", name)
            .put("session", process.session)
            .put("number", process.reportNumber)
            .put("seen", process.view.version())
            .put("serving", process.serves()));
  }

  /** The view reaches a proxy, which goes by it and reports so. */
  void pushView(String name) {
    Process process = processes.get(name);
    if (process.runs
        && hasSession(name)
        && process.view.applyView(log.stateMachine().view(), true, nowNanos)) {
      report(name);
    }
  }

  boolean isViewOutdated(String name) {
    Process process = processes.get(name);
    return process.runs
        && hasSession(name)
        && process.view.version() < log.stateMachine().version();
  }

  /** A process ends and comes back with that version. */
  private void restart(String name, String version) {
    Process process = processes.get(name);
    process.runs = false;
    if (hasSession(name)) {
      log.apply(Json.object().put("op", "leave").put("name", name).put("session", process.session));
    }
    process.version = version;
    join(name);
  }

  void loseMember(String name) {
    losses++;
    lostMembers.add(name);
    log.expire(SessionTable.timerName(name, processes.get(name).session));
  }

  void restoreMember(String name) {
    lostMembers.remove(name);
    if (!hasSession(name)) {
      join(name);
    }
  }

  // --- drivers

  void startDriver(String name) {
    Driver driver = drivers.get(name);
    driver.incarnation++;
    driver.controller = new ReleaseController(name + driver.incarnation, LEASE_MILLIS);
    driver.pending.clear();
  }

  private ReleaseView view() {
    return ReleaseViewCodec.read(log.release());
  }

  boolean holdsLease(Driver driver) {
    return driver.controller.isDriverOf(view());
  }

  void pollController(Driver driver) {
    nowNanos += LOOK_NANOS;
    driver.pending.addAll(
        driver.controller.nextActions(view(), Optional.empty(), !driver.stalled, nowNanos));
  }

  void performNextAction(Driver driver) {
    DriverAction next = driver.pending.remove(0);
    if (next instanceof DriverAction.SubmitCommand submission) {
      log.apply(ReleaseCommandCodec.encode(submission.command()));
    } else {
      inFlightCommands.add(new InFlightCommand(driver.controller, next));
    }
  }

  void deliver(InFlightCommand flight) {
    inFlightCommands.remove(flight);
    if (flight.command() instanceof DriverAction.RunChange change) {
      deliver(change, flight.sender());
    } else if (flight.command() instanceof DriverAction.CheckVersion check) {
      Process process = processes.get(check.target());
      process.fence = Math.max(process.fence, check.fence());
      Optional<String> version =
          check.fence() < process.fence ? Optional.empty() : Optional.of(process.version);
      flight.sender().onVersionChecked(check, version);
    }
  }

  private void deliver(DriverAction.RunChange change, ReleaseController sender) {
    Process process = processes.get(change.target());
    if (change.fence() < process.fence) {
      sender.onChangeEnded(change, new CommandResult(false, "fence"));
      return;
    }
    process.fence = change.fence();
    if (process.serves()) {
      log.recordViolation(change + " landed while its target was in service");
    } else if (!executed.add(change.action() + "/" + change.attempt())) {
      log.recordViolation(change + " ran twice");
    }
    restart(change.target(), change.version());
    sender.onChangeEnded(change, new CommandResult(true, ""));
  }

  // --- for the explorer

  @Override
  public List<Step> possibleSteps() {
    return ReleaseModelSteps.of(this);
  }

  @Override
  public String stateKey() {
    ObjectNode snapshot = Json.parse(log.stateMachine().snapshot());
    snapshot.remove(List.of("audit", "calls", "entries"));
    StringBuilder text =
        new StringBuilder(DrainStateSpaceTest.replaceCountersByRanks(Json.text(snapshot)));
    processes.forEach(
        (name, process) ->
            text.append(name)
                .append(process.version)
                .append(process.runs)
                .append(process.view.isOutOfService())
                .append(process.fence));
    drivers.forEach(
        (name, driver) -> text.append(name).append(driver.stalled).append(driver.pending));
    inFlightCommands.forEach(flight -> text.append(flight.command()));
    return text.append(crashes)
        .append(stalls)
        .append(losses)
        .append(operatorCommands)
        .append(lostMembers)
        .toString();
  }

  @Override
  public boolean isLikely(String step) {
    return step.contains("does")
        || step.contains("looks")
        || step.contains("lands")
        || step.startsWith("time settle")
        || step.startsWith("news");
  }

  @Override
  public String violation() {
    return log.violation();
  }
}
