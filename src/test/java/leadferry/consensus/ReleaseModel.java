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
 * Model of a release of two of three proxies with two drivers, where one proxy may be out of
 * service. Uses the real state machine, member views and controllers. Tracks which proxies serve
 * and which commands ran, and compares that with the state machine. {@link ReleaseModelSteps} lists
 * the possible steps.
 */
final class ReleaseModel implements StateSpaceExplorer.SystemModel {
  static final List<String> PROXIES = List.of("a", "b", "c");
  static final String OLD_VERSION = "v1";

  private static final String NEW_VERSION = "v2";
  private static final int LEASE_MILLIS = 1_000;

  /** Time between two polls of a driver, which is longer than its renewal interval. */
  private static final long POLL_INTERVAL_NANOS = 600_000_000L;

  /** A proxy's process, and the highest fence that its supervisor has seen. */
  static final class ProxyProcess {
    String version = OLD_VERSION;
    long session;
    int incarnation;
    long reportNumber;
    ProxyMemberView view;
    boolean running = true;
    long fence;

    boolean isServing() {
      return running && !view.isOutOfService();
    }
  }

  /** A driver's process: its controller and the controller's pending actions. */
  static final class Driver {
    ReleaseController controller;
    int incarnation;
    boolean stalled;
    final List<DriverAction> pending = new ArrayList<>();
  }

  /** A command in transit, which is delivered whatever happens to its driver. */
  record InFlightCommand(ReleaseController sender, DriverAction command) {}

  final Map<String, ProxyProcess> processes = new TreeMap<>();
  final Map<String, Driver> drivers = new TreeMap<>();
  final List<InFlightCommand> inFlightCommands = new ArrayList<>();
  final Set<String> executed = new HashSet<>();
  final Set<String> lostMembers = new TreeSet<>();
  final ReleaseModelLog log = new ReleaseModelLog(this::proxiesOutOfService);
  int crashCount;
  int stallCount;
  int lossCount;
  int operatorCommandCount;
  int restartCount;
  private long nowNanos;

  /**
   * Creates a model with a release in progress.
   *
   * @param checks whether the plan has a check command
   * @param undisturbedSteps number of steps that driver X has already taken without disturbance
   */
  ReleaseModel(boolean checks, int undisturbedSteps) {
    for (String name : PROXIES) {
      processes.put(name, new ProxyProcess());
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

  private Set<String> proxiesOutOfService() {
    Set<String> out = new TreeSet<>();
    processes.forEach(
        (name, process) -> {
          if (!process.isServing() && !lostMembers.contains(name)) {
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
    ProxyProcess process = processes.get(name);
    process.running = true;
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
    ProxyProcess process = processes.get(name);
    process.reportNumber++;
    log.apply(
        Json.object()
            .put("op", "tell")
            .put("name", name)
            .put("session", process.session)
            .put("number", process.reportNumber)
            .put("seen", process.view.version())
            .put("serving", process.isServing()));
  }

  /** Delivers the view to a proxy, which applies it and reports its state. */
  void pushView(String name) {
    ProxyProcess process = processes.get(name);
    if (process.running
        && hasSession(name)
        && process.view.applyView(log.stateMachine().view(), true, nowNanos)) {
      report(name);
    }
  }

  boolean isViewOutdated(String name) {
    ProxyProcess process = processes.get(name);
    return process.running
        && hasSession(name)
        && process.view.version() < log.stateMachine().version();
  }

  /** Restarts a process with another version. */
  private void restart(String name, String version) {
    ProxyProcess process = processes.get(name);
    process.running = false;
    if (hasSession(name)) {
      log.apply(Json.object().put("op", "leave").put("name", name).put("session", process.session));
    }
    process.version = version;
    join(name);
  }

  void loseMember(String name) {
    lossCount++;
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
    nowNanos += POLL_INTERVAL_NANOS;
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

  void deliver(InFlightCommand inFlight) {
    inFlightCommands.remove(inFlight);
    if (inFlight.command() instanceof DriverAction.RunChange change) {
      deliver(change, inFlight.sender());
    } else if (inFlight.command() instanceof DriverAction.CheckVersion check) {
      ProxyProcess process = processes.get(check.target());
      process.fence = Math.max(process.fence, check.fence());
      Optional<String> version =
          check.fence() < process.fence ? Optional.empty() : Optional.of(process.version);
      inFlight.sender().onVersionChecked(check, version);
    }
  }

  private void deliver(DriverAction.RunChange change, ReleaseController sender) {
    ProxyProcess process = processes.get(change.target());
    if (change.fence() < process.fence) {
      sender.onChangeEnded(change, new CommandResult(false, "fence"));
      return;
    }
    process.fence = change.fence();
    if (process.isServing()) {
      log.recordViolation(change + " arrived while its target was in service");
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
                .append(process.running)
                .append(process.view.isOutOfService())
                .append(process.fence));
    drivers.forEach(
        (name, driver) -> text.append(name).append(driver.stalled).append(driver.pending));
    inFlightCommands.forEach(inFlight -> text.append(inFlight.command()));
    return text.append(crashCount)
        .append(stallCount)
        .append(lossCount)
        .append(operatorCommandCount)
        .append(lostMembers)
        .toString();
  }

  @Override
  public boolean isLikely(String step) {
    return step.contains("acts")
        || step.contains("polls")
        || step.contains("command arrives")
        || step.startsWith("expire timer settle")
        || step.startsWith("deliver view");
  }

  @Override
  public String violation() {
    return log.violation();
  }
}
