package leadferry.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;

/**
 * Runs replicas and daemons as processes with fake upstreams and load, and injects faults between
 * them from a seed or a script, while operators drain and return targets and releases are carried
 * out. {@link InvariantChecker} and {@link History} decide from outside observation whether the
 * guarantees held.
 *
 * <pre>
 *   FaultTestTopology     processes and links
 *   RandomFaultSchedule, ScriptedFaults --> InjectedFaults --> RecoveryTracker
 *   OperatorWorkload, ReleaseWorkload   --> History, InvariantChecker --> FaultTestReport
 * </pre>
 */
public final class FaultTest implements AutoCloseable {
  /** Lease duration of members and release drivers, in milliseconds. */
  public static final int LEASE_MILLIS = 2_000;

  /** A version whose processes exit immediately after their start. */
  public static final String BROKEN_VERSION = "broken";

  /** Prefix of the versions whose upstreams fail 30% of their requests. */
  public static final String FAILING_VERSION = "failing";

  /** Version that all targets run before the first release. */
  static final String FIRST_VERSION = "v1";

  /**
   * Longest time, in milliseconds, for a process to start and for a condition awaited after a fault
   * to become true.
   */
  static final int START_MILLIS = 30_000;

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int OPERATORS = 2;
  private static final int MAX_EXECUTION_IDS = 5_000_000;

  private final FaultTestPlan plan;
  private final Path folder;
  private final ExecutionLog executions = new ExecutionLog(MAX_EXECUTION_IDS);
  private final FaultTestTopology topology;
  private final BackgroundTasks tasks = new BackgroundTasks();
  private final History history;
  private InvariantChecker checker;
  private FaultTestLoad load;
  private RecoveryTracker recovery;
  private InjectedFaults faults;
  private Operator operator;
  private OperatorWorkload operators;
  private ReleasedVersions versions;
  private ProcessSupervisor supervisor;
  private ReleaseWorkload releases;

  /** Creates a fault test whose processes keep their files and logs in {@code folder}. */
  public FaultTest(FaultTestPlan plan, Path folder) {
    this.plan = plan;
    this.folder = folder;
    this.topology = new FaultTestTopology(plan, folder, executions);
    this.history = new History(plan.proxiesAllowed(), plan.upstreamsAllowed());
  }

  // --- processes and operators

  /**
   * Starts all processes and waits until every proxy serves and is a member.
   *
   * @throws IOException if a process could not be started, a condition was not met within {@link
   *     #START_MILLIS}, or the budgets were not accepted
   */
  public void start() throws IOException, InterruptedException {
    topology.start();
    operator = new Operator(topology.fleet(), replicaAddresses());
    checker =
        new InvariantChecker(
            topology.proxyAddresses(), plan.proxiesAllowed(), plan.upstreamsAllowed());
    load = new FaultTestLoad(plan, topology, checker);
    recovery = new RecoveryTracker(checker);
    faults = new InjectedFaults(checker, recovery, tasks);
    operators = new OperatorWorkload(plan, operator, checker, history);
    versions = new ReleasedVersions(topology, checker, recovery, tasks);
    supervisor = new ProcessSupervisor(versions);
    releases =
        new ReleaseWorkload(
            plan, topology, operator, checker, versions, supervisor.writeScript(folder));
    await("all proxies serve", () -> topology.proxyNames().stream().allMatch(this::isServing));
    submitBudgets();
    await("all proxies are members and available", () -> unavailableTargets() == 0);
    topology.proxyNames().forEach(checker::onRecovered);
  }

  private void submitBudgets() throws IOException {
    ObjectNode entry = Operator.entry("budgets").put("against", 0);
    ArrayNode budgets = entry.putArray("budgets");
    budgets
        .addObject()
        .put("name", "proxies")
        .put("of", DrainTarget.PROXY)
        .put("max_out", plan.proxiesAllowed());
    budgets
        .addObject()
        .put("name", "hosts")
        .put("of", DrainTarget.HOST)
        .put("max_out", plan.upstreamsAllowed());
    JsonNode outcome = operator.submit(entry, "budgets", 0, START_MILLIS);
    if (outcome == null || !outcome.path("status").asText().equals("done")) {
      throw new IOException("budgets: not accepted: " + outcome);
    }
  }

  /**
   * Returns how many targets the replicated state reports as unavailable, or {@link
   * Integer#MAX_VALUE} while the state is incomplete. Used for waiting only: the verdict must not
   * depend on what the tested processes report about themselves.
   */
  private int unavailableTargets() {
    JsonNode status = status();
    if (status == null || status.path("proxies").size() < plan.proxies()) {
      return Integer.MAX_VALUE;
    }
    int count = 0;
    for (String kind : List.of("proxies", "hosts")) {
      for (JsonNode target : status.path(kind)) {
        count += target.path("out").isNull() ? 0 : 1;
      }
    }
    return count;
  }

  private JsonNode status() {
    return operator.query(MAPPER.createObjectNode().put("op", "status"), 0, 2_000);
  }

  private static void await(String what, BooleanSupplier condition)
      throws IOException, InterruptedException {
    long deadlineNanos = System.nanoTime() + START_MILLIS * 1_000_000L;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - deadlineNanos > 0) {
        throw new IOException("condition not met within " + START_MILLIS + " ms: " + what);
      }
      Thread.sleep(20);
    }
  }

  /** Returns the fleet name, which every request to a replica carries. */
  public String fleet() {
    return topology.fleet();
  }

  /** Returns the process of a replica. */
  public ManagedProcess replica(String name) {
    return topology.replica(name);
  }

  /** Returns the process of a daemon. */
  public ManagedProcess proxy(String name) {
    return topology.proxy(name);
  }

  /** Returns a fake upstream by its name. */
  public FakeUpstream upstream(String name) {
    return topology.upstream(name);
  }

  /** Returns the addresses at which members and operators reach the replicas. */
  public List<InetSocketAddress> replicaAddresses() {
    return List.copyOf(topology.replicaAddresses().values());
  }

  /** Returns the address at which members and operators reach {@code replica}. */
  InetSocketAddress replicaAddress(String replica) {
    return topology.replicaAddresses().get(replica);
  }

  /** Returns the address at which clients reach {@code proxy}. */
  public InetSocketAddress proxyAddress(String proxy) {
    return topology.proxyAddresses().get(proxy);
  }

  /** Waits until a replica reports that it is the leader, and returns the name of that replica. */
  public String awaitLeader() throws IOException, InterruptedException {
    String[] leader = new String[1];
    await(
        "a replica leads",
        () -> {
          topology.replicaNames().stream()
              .filter(name -> replica(name).isRunning() && isLeader(name))
              .forEach(name -> leader[0] = name);
          return leader[0] != null;
        });
    return leader[0];
  }

  private boolean isLeader(String replica) {
    ObjectNode request = MAPPER.createObjectNode().put("op", "health");
    JsonNode health = operatorAt(replica).query(request, 0, 500);
    return health != null && health.path("role").asText().equals("leader");
  }

  /** Returns an operator that knows all replicas. */
  public Operator operator() {
    return operator;
  }

  /** Returns an operator that knows only {@code replica}. */
  public Operator operatorAt(String replica) {
    return new Operator(topology.fleet(), List.of(replicaAddress(replica)));
  }

  // --- observations from outside

  /** Returns whether the latest probe of {@code proxy} got status 200. */
  public boolean isServing(String proxy) {
    return checker.lastProbeResult(proxy) == InvariantChecker.ProbeResult.SERVING;
  }

  /** Returns whether the latest probe of {@code proxy} got status 503. */
  public boolean reportsNotServing(String proxy) {
    return checker.lastProbeResult(proxy) == InvariantChecker.ProbeResult.NOT_SERVING;
  }

  /**
   * Returns the largest number of proxies observed out of service at once, without those that the
   * test took down itself.
   */
  public int maxProxiesOut() {
    return checker.maxProxiesOut();
  }

  /** Returns the violations found so far. */
  public List<String> violations() {
    return checker.violations();
  }

  /** Returns the log of the requests executed at upstreams. */
  public ExecutionLog executions() {
    return executions;
  }

  // --- links

  /** Returns the link from {@code source} to {@code destination}. */
  public FaultyLink.Link link(String source, String destination) {
    return topology.link(source, destination);
  }

  /** Cuts the links between {@code replica} and all other replicas in both directions. */
  public void isolate(String replica) {
    topology.isolate(replica);
  }

  /** Removes the faults of all links. */
  public void healLinks() {
    topology.healLinks();
  }

  /** Removes the faults of all links and waits until every target is available. */
  public void healAndAwaitRecovery() throws IOException, InterruptedException {
    healLinks();
    await("all targets are available", () -> unavailableTargets() == 0);
  }

  // --- releases

  /** Returns the supervisor that executes the commands of releases. */
  public ProcessSupervisor supervisor() {
    return supervisor;
  }

  /** Returns the version that the supervisor installed last at {@code target}. */
  public String version(String target) {
    return versions.version(target);
  }

  /** Returns the plan of a release with one step for each list of targets. */
  public ObjectNode releasePlan(
      String name, String kind, String fromVersion, String version, List<List<String>> steps) {
    return releases.planDocument(name, kind, fromVersion, version, steps);
  }

  /**
   * Starts a process called {@code name} that drives a release. Its connections go through faulty
   * links.
   */
  public ManagedProcess startDriver(String name, String release) throws IOException {
    return topology.startDriver(name, release);
  }

  /**
   * Returns the status of a release as the replicas report it, or null if no replica responded in
   * time.
   */
  public JsonNode releaseStatus(String name) {
    return releases.releaseStatus(name);
  }

  // --- complete run

  /**
   * Runs the complete test: start, load, faults and workloads, recovery, verdict.
   *
   * @return the report described in docs/FLEET.md
   * @throws IOException if the test itself could not be carried out
   */
  public ObjectNode run() throws IOException, InterruptedException {
    start();
    load.start();
    long endNanos = System.nanoTime() + (long) (plan.seconds() * 1e9);
    List<Thread> workloads = startWorkloads();
    ScriptedFaults script =
        new ScriptedFaults(topology, checker, faults, recovery, tasks, operators);
    boolean sabotaged = injectFaults(script, endNanos);
    awaitEnd(workloads);
    awaitRecovery(script);
    if (!sabotaged) {
      throw new IOException("the test ended without an opportunity for the sabotage");
    }
    return verdict();
  }

  private List<Thread> startWorkloads() {
    List<Thread> workloads = new ArrayList<>();
    for (int i = 0; i < (plan.isScripted() ? 0 : OPERATORS); i++) {
      int number = i;
      workloads.add(Threads.startDaemon("operator-" + i, () -> operators.run(number)));
    }
    if (plan.releases()) {
      workloads.add(Threads.startDaemon("releases", releases::run));
    }
    return workloads;
  }

  /**
   * Injects faults until {@code endNanos}. Returns false if the plan asks for a sabotage and there
   * was no opportunity for it.
   */
  private boolean injectFaults(ScriptedFaults script, long endNanos) throws InterruptedException {
    if (plan.isScripted()) {
      script.perform(plan.script());
      Threads.sleepMillis((endNanos - System.nanoTime()) / 1_000_000);
    }
    RandomFaultSchedule schedule = new RandomFaultSchedule(plan, topology, checker, faults, tasks);
    Saboteur saboteur = new Saboteur(plan, topology, checker, versions, executions);
    boolean sabotaged = plan.sabotage() == Sabotage.NONE;
    while (System.nanoTime() < endNanos) {
      Thread.sleep(schedule.nextPauseMillis());
      if (plan.sabotage() == Sabotage.NONE) {
        schedule.injectNext();
      } else if (!sabotaged) {
        sabotaged = saboteur.tryOnce();
      }
    }
    return sabotaged;
  }

  private void awaitEnd(List<Thread> workloads) throws InterruptedException {
    operators.stop();
    releases.stop();
    load.await();
    tasks.await(START_MILLIS);
    for (Thread workload : workloads) {
      workload.join(8L * START_MILLIS);
    }
  }

  /**
   * Removes all faults, returns all drained targets to service, and waits until every target is
   * available.
   */
  private void awaitRecovery(ScriptedFaults script) throws InterruptedException {
    Random random = new Random(plan.seed());
    healLinks();
    script.undoRemaining(random);
    long healedNanos = System.nanoTime();
    operators.resolveUndecided(random);
    if (plan.sabotage() != Sabotage.NONE) {
      return;
    }
    try {
      await("all targets are available", () -> unavailableTargets() == 0);
      recovery.recordRecovery(healedNanos);
    } catch (IOException e) {
      checker.addViolation(e.getMessage() + ": " + status());
    }
  }

  private ObjectNode verdict() {
    if (!history.isLinearizable()) {
      checker.addViolation(
          "the operators' calls are not linearizable: no order explains their outcomes");
    }
    InvariantChecker.UpstreamViolations violations =
        checker.checkUpstreams(executions, load.unsafePrefixes());
    if (plan.releases()) {
      topology.upstreams().stream()
          .filter(FakeUpstream::hasCollapsed)
          .forEach(
              upstream ->
                  checker.addViolation(
                      upstream.name() + " collapsed under load during its warm-up"));
    }
    FaultTestReport report = new FaultTestReport(plan);
    report.addFaults(faults);
    report.addDrains(history);
    report.addUnavailable(checker, plan);
    report.addRequests(load, checker, violations);
    report.addRecovery(recovery);
    report.addViolations(checker);
    if (plan.releases()) {
      report.addReleases(releases, supervisor);
    }
    return report.toJson();
  }

  @Override
  public void close() throws IOException {
    if (operators != null) {
      operators.stop();
      releases.stop();
    }
    if (checker != null) {
      checker.close();
    }
    if (load != null) {
      load.close();
    }
    if (supervisor != null) {
      supervisor.close();
    }
    topology.close();
  }
}
