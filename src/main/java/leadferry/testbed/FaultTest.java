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
 * Replicas and daemons as processes, fake upstreams and load, with faults between them from a seed
 * or a script, while operators drain and give back and releases go on. {@link InvariantChecker} and
 * {@link History} say from outside whether the promises were kept.
 *
 * <pre>
 *   FaultTestTopology     processes and links
 *   RandomFaultSchedule, ScriptedFaults --> InjectedFaults --> RecoveryTracker
 *   OperatorWorkload, ReleaseWorkload   --> History, HistoryChecker --> FaultTestReport
 * </pre>
 */
public final class FaultTest implements AutoCloseable {
  /** The lease of members and drivers (ms). */
  public static final int LEASE_MILLIS = 2_000;

  /** A version whose processes end at once. */
  public static final String BROKEN_VERSION = "broken";

  /** Versions that begin so make upstreams fail three requests in ten. */
  public static final String FAILING_VERSION = "failing";

  /** What runs before any release. */
  static final String FIRST_VERSION = "v1";

  /** The longest time for a start, and for whatever has to come true after a fault (ms). */
  static final int START_MILLIS = 30_000;

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int OPERATORS = 2;
  private static final int MOST_EXECUTIONS = 5_000_000;

  private final FaultTestPlan plan;
  private final Path folder;
  private final ExecutionLog executions = new ExecutionLog(MOST_EXECUTIONS);
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

  /** A test whose processes keep their files and logs in that folder. */
  public FaultTest(FaultTestPlan plan, Path folder) {
    this.plan = plan;
    this.folder = folder;
    this.topology = new FaultTestTopology(plan, folder, executions);
    this.history = new History(plan.proxiesAllowed(), plan.upstreamsAllowed());
  }

  // --- the processes and who asks them

  /** Starts all processes and waits until each proxy serves and all are members. */
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
    await("all proxies are members and available", () -> unavailable() == 0);
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
      throw new IOException("budgets: " + outcome);
    }
  }

  /** How many the agreed state calls unavailable; for waiting only, never for the verdict. */
  private int unavailable() {
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
        throw new IOException("not within " + START_MILLIS + " ms: " + what);
      }
      Thread.sleep(20);
    }
  }

  /** The name by which its replicas are asked. */
  public String fleet() {
    return topology.fleet();
  }

  /** A replica's process. */
  public ManagedProcess replica(String name) {
    return topology.replica(name);
  }

  /** A daemon's process. */
  public ManagedProcess proxy(String name) {
    return topology.proxy(name);
  }

  /** A fake upstream. */
  public FakeUpstream upstream(String name) {
    return topology.upstream(name);
  }

  /** Where members and operators reach the replicas. */
  public List<InetSocketAddress> replicaAddresses() {
    return List.copyOf(topology.replicaAddresses().values());
  }

  /** Where members and operators reach that replica. */
  InetSocketAddress replicaAddress(String replica) {
    return topology.replicaAddresses().get(replica);
  }

  /** Where clients reach a proxy. */
  public InetSocketAddress proxyAddress(String proxy) {
    return topology.proxyAddresses().get(proxy);
  }

  /** The name of the replica that leads, as the replicas tell; waits for one. */
  public String awaitLeader() throws IOException, InterruptedException {
    String[] found = new String[1];
    await(
        "a replica leads",
        () -> {
          topology.replicaNames().stream()
              .filter(name -> replica(name).isRunning() && leads(name))
              .forEach(name -> found[0] = name);
          return found[0] != null;
        });
    return found[0];
  }

  private boolean leads(String replica) {
    ObjectNode question = MAPPER.createObjectNode().put("op", "health");
    JsonNode health = operatorAt(replica).query(question, 0, 500);
    return health != null && health.path("role").asText().equals("leader");
  }

  /** An operator who knows all replicas. */
  public Operator operator() {
    return operator;
  }

  /** An operator who knows this replica only. */
  public Operator operatorAt(String replica) {
    return new Operator(topology.fleet(), List.of(replicaAddress(replica)));
  }

  // --- what is seen from outside

  /** Whether the last probe of that proxy said that it serves. */
  public boolean isServing(String proxy) {
    return checker.lastProbeResult(proxy) == InvariantChecker.ProbeResult.SERVING;
  }

  /** Whether the last probe of that proxy said that it does not serve. */
  public boolean reportsNotServing(String proxy) {
    return checker.lastProbeResult(proxy) == InvariantChecker.ProbeResult.NOT_SERVING;
  }

  /** The most proxies that were seen out at once and that the test had not taken down itself. */
  public int maxProxiesOut() {
    return checker.maxProxiesOut();
  }

  /** What was seen broken so far. */
  public List<String> violations() {
    return checker.violations();
  }

  /** The runs of requests at upstreams. */
  public ExecutionLog executions() {
    return executions;
  }

  // --- links

  /** The link from a source to a destination. */
  public FaultyLink.Link link(String source, String destination) {
    return topology.link(source, destination);
  }

  /** Cuts a replica off from all others, both ways. */
  public void isolate(String replica) {
    topology.isolate(replica);
  }

  /** Makes all links whole. */
  public void healLinks() {
    topology.healLinks();
  }

  /** Makes all links whole and waits until all are available. */
  public void healAndAwaitRecovery() throws IOException, InterruptedException {
    healLinks();
    await("whole again", () -> unavailable() == 0);
  }

  // --- releases

  /** What carries releases out. */
  public ProcessSupervisor supervisor() {
    return supervisor;
  }

  /** The version at a target, by who put it there. */
  public String version(String target) {
    return versions.version(target);
  }

  /** A plan of a release whose steps are of these targets each, one at a time. */
  public ObjectNode releasePlan(
      String name, String of, String from, String version, List<List<String>> steps) {
    return releases.planDocument(name, of, from, version, steps);
  }

  /** Starts a process that drives a release, under that name; its links go through relays. */
  public ManagedProcess startDriver(String name, String release) throws IOException {
    return topology.startDriver(name, release);
  }

  /** How a release stands, as the replicas tell; null where none answers. */
  public JsonNode releaseStatus(String name) {
    return releases.release(name);
  }

  // --- the whole

  /**
   * Runs it all: start, load, faults and workloads, recovery, verdict.
   *
   * @return the result as docs/FLEET.md tells
   * @throws IOException if the test itself could not be carried out
   */
  public ObjectNode run() throws IOException, InterruptedException {
    start();
    load.start();
    long endNanos = System.nanoTime() + (long) (plan.seconds() * 1e9);
    List<Thread> workloads = startWorkloads();
    ScriptedFaults script =
        new ScriptedFaults(topology, checker, faults, recovery, tasks, operators);
    boolean sabotaged = disturb(script, endNanos);
    awaitEnd(workloads);
    recover(script);
    if (!sabotaged) {
      throw new IOException("no moment for the sabotage came");
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

  /** Injects faults until then (ns); false where a sabotage that was asked for found no moment. */
  private boolean disturb(ScriptedFaults script, long endNanos) throws InterruptedException {
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

  /** Makes all whole, gives back what is held, and waits until all are available. */
  private void recover(ScriptedFaults script) throws InterruptedException {
    Random random = new Random(plan.seed());
    healLinks();
    script.undoRemaining(random);
    long healedNanos = System.nanoTime();
    operators.resolveUndecided(random);
    if (plan.sabotage() != Sabotage.NONE) {
      return;
    }
    try {
      await("whole again", () -> unavailable() == 0);
      recovery.recordRecovery(healedNanos);
    } catch (IOException e) {
      checker.addViolation(e.getMessage() + ": " + status());
    }
  }

  private ObjectNode verdict() {
    if (!history.isLinearizable()) {
      checker.addViolation("the operators' calls have no order that explains their outcomes");
    }
    InvariantChecker.UpstreamViolations violations =
        checker.checkUpstreams(executions, load.unsafePrefixes());
    if (plan.releases()) {
      topology.upstreams().stream()
          .filter(FakeUpstream::hasCollapsed)
          .forEach(
              upstream ->
                  checker.addViolation(upstream.name() + " was pushed over while it was cold"));
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
