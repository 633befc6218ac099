package leadferry.testbed;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs releases over three replicas and four daemons as processes, with budgets of one proxy and
 * one upstream, drivers as processes, and faults between them. Guards against commands that are
 * executed twice or by a driver without the lease, and against more targets out of service than
 * allowed. The supervisor's record shows what was executed; probes show which proxies were out of
 * service.
 *
 * <p>The tests share these processes, so their order is fixed.
 */
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class ReleaseProcessesTest {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long TIMEOUT_MILLIS = 40_000;
  private static final AtomicInteger IDS = new AtomicInteger();

  @TempDir(factory = MemoryTempDirFactory.class)
  private static Path folder;

  private static FaultTest faultTest;
  private final List<ManagedProcess> drivers = new ArrayList<>();

  @BeforeAll
  static void start() throws Exception {
    faultTest = new FaultTest(new FaultTestPlan(3, 4, 4, 60, 1, Sabotage.NONE, 40), folder);
    faultTest.start();
  }

  @AfterAll
  static void end() throws IOException {
    faultTest.close();
  }

  /**
   * Ends the releases that a test left open, either way, and waits until all targets are available.
   */
  @AfterEach
  void settle() throws Exception {
    if (earlierTestFailed) {
      return; // further tests would only report what the first failure left behind
    }
    earlierTestFailed = true;
    faultTest.supervisor().setHook((before, invocation) -> {});
    faultTest.healLinks();
    drivers.forEach(ManagedProcess::close);
    for (JsonNode release : faultTest.releaseStatus("").path("releases")) {
      if (!List.of("done", "returned", "ended").contains(release.path("state").asText())) {
        String name = release.path("name").asText();
        submit("release_back", name);
        drive(name);
        await("returned", () -> state(name).equals("returned"));
      }
    }
    drivers.forEach(ManagedProcess::close);
    faultTest.healAndAwaitRecovery();
    assertThat(faultTest.violations()).isEmpty();
    assertThat(faultTest.maxProxiesOut())
        .as("proxies out of service at once")
        .isLessThanOrEqualTo(1);
    earlierTestFailed = false;
  }

  @org.junit.jupiter.api.BeforeEach
  void skipAfterFailure() {
    org.junit.jupiter.api.Assumptions.assumeFalse(
        earlierTestFailed, "an earlier test failed and left targets out of service");
  }

  private static boolean earlierTestFailed;

  private static void await(String what, BooleanSupplier condition) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000L;
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime())
          .as("within " + TIMEOUT_MILLIS + " ms: " + what + "; " + driverLogTails())
          .isLessThan(deadlineNanos);
      Thread.sleep(20);
    }
  }

  private static String driverLogTails() {
    try (var logs = Files.list(folder)) {
      StringBuilder text = new StringBuilder();
      for (Path log :
          logs.filter(f -> f.getFileName().toString().matches("d[0-9]+\\.log")).sorted().toList()) {
        List<String> lines = Files.readAllLines(log);
        text.append('\n')
            .append(log.getFileName())
            .append(": ")
            .append(lines.subList(Math.max(0, lines.size() - 8), lines.size()));
      }
      return text.toString();
    } catch (IOException e) {
      return e.toString();
    }
  }

  private static JsonNode submit(String operation, String release) {
    return faultTest
        .operator()
        .submit(
            Operator.entry(operation).put("release", release),
            "r-call-" + IDS.incrementAndGet(),
            0,
            20_000);
  }

  private static String statusOf(JsonNode outcome) {
    return outcome == null ? "nothing" : outcome.path("status").asText();
  }

  private static String state(String release) {
    return faultTest.releaseStatus(release).path("state").asText();
  }

  /**
   * Begins a release of the targets, which must all have the same version, to a new version.
   * Returns the name of the release.
   */
  private static String begin(String kind, String... targets) {
    String name = "r" + IDS.incrementAndGet();
    ObjectNode plan =
        faultTest.releasePlan(
            name,
            kind,
            faultTest.version(targets[0]),
            "v" + IDS.incrementAndGet(),
            List.of(List.of(targets)));
    begin(plan);
    return name;
  }

  private static void begin(ObjectNode plan) {
    JsonNode outcome =
        faultTest
            .operator()
            .submit(
                Operator.entry("release_start").set("plan", plan),
                "r-call-" + IDS.incrementAndGet(),
                0,
                20_000);
    assertThat(statusOf(outcome)).as(String.valueOf(outcome)).isEqualTo("done");
  }

  private ManagedProcess drive(String release) throws IOException {
    ManagedProcess driver = faultTest.startDriver("d" + IDS.incrementAndGet(), release);
    drivers.add(driver);
    return driver;
  }

  /**
   * Asserts that each action on the targets was executed at most once. Returns the number of
   * executed actions.
   */
  private static int assertExecutedOnce(int firstInvocation, String... targets) {
    Set<String> executed = new HashSet<>();
    int count = 0;
    List<ProcessSupervisor.Invocation> invocations = faultTest.supervisor().invocations();
    for (ProcessSupervisor.Invocation invocation :
        invocations.subList(firstInvocation, invocations.size())) {
      if (invocation.verb().equals("command")
          && !invocation.rejected()
          && List.of(targets).contains(invocation.target())) {
        count++;
        assertThat(executed.add(invocation.actionId() + "/" + invocation.version()))
            .as("action " + invocation + " was executed twice; all invocations: " + invocations)
            .isTrue();
      }
    }
    return count;
  }

  private static int invocationCount() {
    return faultTest.supervisor().invocations().size();
  }

  private static Map<String, String> versions(String... targets) {
    Map<String, String> versions = new TreeMap<>();
    for (String target : targets) {
      versions.put(target, faultTest.version(target));
    }
    return versions;
  }

  @Test
  @Order(11)
  void releaseRestartsEachProxyOnceWithinBudget() throws Exception {
    int from = invocationCount();
    String release = begin("proxy", "p1", "p2", "p3", "p4");
    String version = faultTest.releaseStatus(release).path("version").asText();
    ManagedProcess invocation = drive(release);
    await("done", () -> state(release).equals("done"));
    await("the driver ends", () -> !invocation.isRunning());
    assertThat(versions("p1", "p2", "p3", "p4").values()).containsOnly(version);
    assertThat(assertExecutedOnce(from, "p1", "p2", "p3", "p4")).isEqualTo(4);
  }

  @Test
  @Order(2)
  void killedDriversAreReplacedWithoutRepeatingActions() throws Exception {
    int from = invocationCount();
    String release = begin("host", "h1", "h2");
    AtomicInteger killed = new AtomicInteger();
    ManagedProcess[] now = {drive(release)};
    faultTest
        .supervisor()
        .setHook(
            (before, invocation) -> {
              // Kills the driver before its first command is executed, and after the second one is
              // executed but before the response is sent.
              if (invocation.verb().equals("command")
                  && ((before && killed.get() == 0)
                      || (!before && killed.get() == 1 && invocation.target().equals("h2")))) {
                killed.incrementAndGet();
                now[0].kill();
                CompletableFuture.runAsync(
                    () -> {
                      try {
                        now[0] = drive(release);
                      } catch (IOException e) {
                        throw new java.io.UncheckedIOException(e);
                      }
                    });
              }
            });
    await("done", () -> state(release).equals("done"));
    assertThat(killed.get()).isEqualTo(2);
    assertThat(assertExecutedOnce(from, "h1", "h2")).isBetween(2, 3);
    assertThat(faultTest.version("h1")).isEqualTo(faultTest.version("h2"));
  }

  @Test
  @Order(4)
  void commandOfDriverWithExpiredLeaseIsRejectedByFence() throws Exception {
    String release = begin("host", "h3", "h4");
    ManagedProcess slow = drive(release);
    CompletableFuture<ProcessSupervisor.Invocation> held = new CompletableFuture<>();
    CompletableFuture<Void> go = new CompletableFuture<>();
    faultTest
        .supervisor()
        .setHook(
            (before, invocation) -> {
              // Holds up the command on its way and suspends the driver until another driver has
              // the lease.
              if (before && invocation.verb().equals("command") && held.complete(invocation)) {
                slow.suspend();
                go.join();
              }
            });
    long fence = held.get().fence();
    drive(release);
    await("another drives", () -> faultTest.releaseStatus(release).path("fence").asLong() > fence);
    await(
        "and goes on",
        () ->
            faultTest.supervisor().invocations().stream()
                .anyMatch(invocation -> invocation.fence() > fence));
    go.complete(null);
    slow.resume();
    await("done", () -> state(release).equals("done"));
    assertThat(
            faultTest.supervisor().invocations().stream()
                .filter(
                    invocation ->
                        invocation.fence() == fence
                            && invocation.target().equals(held.join().target())
                            && invocation.verb().equals("command")))
        .isNotEmpty()
        .allMatch(ProcessSupervisor.Invocation::rejected);
  }

  @Test
  @Order(7)
  void haltedReleaseTakesNoTargetOutAndRollsBack() throws Exception {
    String before = faultTest.version("p1");
    String release = begin("proxy", "p1", "p2", "p3");
    CompletableFuture<Void> second = new CompletableFuture<>();
    faultTest
        .supervisor()
        .setHook(
            (beforeExecution, invocation) -> {
              if (beforeExecution
                  && invocation.verb().equals("command")
                  && !invocation.target().equals("p1")) {
                second.complete(null);
              }
            });
    drive(release);
    second.join();
    assertThat(statusOf(submit("release_halt", release))).isEqualTo("done");
    int then = invocationCount();
    await(
        "what was under way has ended",
        () -> {
          for (JsonNode target : faultTest.releaseStatus(release).path("targets")) {
            if (!target.path("phase").asText().equals("in")) {
              return false;
            }
          }
          return true;
        });
    Thread.sleep(1_000);
    assertThat(
            faultTest.supervisor().invocations().subList(then, invocationCount()).stream()
                .filter(invocation -> invocation.verb().equals("command"))
                .map(ProcessSupervisor.Invocation::target))
        .doesNotContain("p3");
    assertThat(state(release)).isEqualTo("halted");
    assertThat(statusOf(submit("release_back", release))).isEqualTo("done");
    await("returned", () -> state(release).equals("returned"));
    assertThat(versions("p1", "p2", "p3").values()).containsOnly(before);
  }

  @Test
  @Order(3)
  void versionThatFailsToStartHaltsReleaseAndRollbackRecovers() throws Exception {
    String before = faultTest.version("p1");
    String release = "r" + IDS.incrementAndGet();
    begin(
        faultTest
            .releasePlan(
                release, "proxy", before, FaultTest.BROKEN_VERSION, List.of(List.of("p1", "p2")))
            .put("action_ms", 9_000));
    drive(release);
    await("halted", () -> state(release).equals("halted"));
    assertThat(faultTest.releaseStatus(release).path("state_why").asText()).contains("p1");
    assertThat(faultTest.version("p2")).isEqualTo(before);
    submit("release_back", release);
    await("returned", () -> state(release).equals("returned"));
    assertThat(faultTest.version("p1")).isEqualTo(before);
    await("serves", () -> faultTest.isServing("p1"));
  }

  @Test
  @Order(9)
  void leaderChangesAndLostMajorityRepeatNoAction() throws Exception {
    int from = invocationCount();
    String release = begin("proxy", "p1", "p2", "p3", "p4");
    AtomicInteger commands = new AtomicInteger();
    faultTest
        .supervisor()
        .setHook(
            (before, invocation) -> {
              if (before && invocation.verb().equals("command")) {
                CompletableFuture.runAsync(() -> disturbReplicas(commands.incrementAndGet()));
              }
            });
    drive(release);
    await("done", () -> state(release).equals("done"));
    assertThat(commands.get()).isGreaterThanOrEqualTo(4);
    assertExecutedOnce(from, "p1", "p2", "p3", "p4");
  }

  private static void disturbReplicas(int commandNumber) {
    try {
      String leader = faultTest.awaitLeader();
      if (commandNumber == 2) {
        List<String> majority = List.of("k1", "k2");
        majority.forEach(replica -> faultTest.replica(replica).suspend());
        Thread.sleep(2L * FaultTest.LEASE_MILLIS);
        majority.forEach(replica -> faultTest.replica(replica).resume());
      } else {
        faultTest.replica(leader).kill();
        Thread.sleep(500);
        faultTest.replica(leader).start();
      }
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  @Order(1)
  void upstreamsAreReplacedUnderLoadWithoutLossOrCollapse() throws Exception {
    List<LoadGenerator> loads = new ArrayList<>();
    Set<String> failedRequests = java.util.concurrent.ConcurrentHashMap.newKeySet();
    for (int i = 1; i <= 4; i++) {
      loads.add(
          new LoadGenerator(
              new LoadGenerator.Plan(
                  faultTest.proxyAddress("p" + i),
                  30,
                  0,
                  15,
                  8,
                  1,
                  List.of(new LoadGenerator.RequestKind("all", 1, "POST", "/claim", "", 0, 3_000)),
                  "rel" + i + "-"),
              invocation -> {
                if (invocation.outcome() != LoadGenerator.Outcome.SERVED
                    && invocation.outcome() != LoadGenerator.Outcome.REFUSED) {
                  failedRequests.add(invocation.id() + " " + invocation.outcome());
                }
              }));
    }
    loads.forEach(LoadGenerator::start);
    int firstInvocation = invocationCount();
    String release = begin("host", "h1", "h2", "h3");
    drive(release);
    await("done", () -> state(release).equals("done"));
    for (LoadGenerator load : loads) {
      load.await();
    }
    loads.forEach(LoadGenerator::close);
    assertThat(failedRequests).isEmpty();
    assertThat(assertExecutedOnce(firstInvocation, "h1", "h2", "h3")).isEqualTo(3);
    for (String upstream : List.of("h1", "h2", "h3")) {
      assertThat(faultTest.upstream(upstream).hasCollapsed()).as(upstream).isFalse();
    }
  }

  @Test
  @Order(8)
  void onlyOneOfTwoReleasesOfSameTargetBegins() throws Exception {
    List<CompletableFuture<String>> responses = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      ObjectNode plan =
          faultTest.releasePlan(
              "twin" + IDS.incrementAndGet(),
              "host",
              faultTest.version("h1"),
              "v" + IDS.incrementAndGet(),
              List.of(List.of("h1", "h" + (2 + i))));
      int number = i;
      responses.add(
          CompletableFuture.supplyAsync(
              () ->
                  statusOf(
                      faultTest
                          .operator()
                          .submit(
                              Operator.entry("release_start").set("plan", plan),
                              "r-call-" + IDS.incrementAndGet(),
                              number,
                              20_000))));
    }
    assertThat(List.of(responses.get(0).get(), responses.get(1).get()))
        .containsExactlyInAnyOrder("done", "refused");
  }

  @Test
  @Order(10)
  void skippedMemberIsReleasedAfterItsReturn() throws Exception {
    String release = "r" + IDS.incrementAndGet();
    String version = "v" + IDS.incrementAndGet();
    faultTest.proxy("p4").kill();
    await(
        "p4 is lost",
        () ->
            faultTest
                .operator()
                .query(
                    MAPPER
                        .createObjectNode()
                        .put("op", "explain")
                        .put("kind", "proxy")
                        .put("name", "p4"),
                    0,
                    5_000)
                .path("out")
                .asText()
                .equals("lost"));
    begin(
        faultTest
            .releasePlan(
                release, "proxy", faultTest.version("p1"), version, List.of(List.of("p1", "p4")))
            .put("halt_lost", 0)
            .put("on_missing", "skip"));
    drive(release);
    Thread.sleep(1_500);
    assertThat(state(release)).as("p4 uses up the budget").isEqualTo("running");
    assertThat(faultTest.version("p1")).isNotEqualTo(version);
    faultTest.proxy("p4").start();
    await("done", () -> state(release).equals("done"));
    assertThat(versions("p1", "p4").values()).containsOnly(version);
  }

  @Test
  @Order(5)
  void versionFailingUnderLoadIsRolledBackAutomatically() throws Exception {
    List<LoadGenerator> loads = new ArrayList<>();
    for (int i = 1; i <= 4; i++) {
      loads.add(
          new LoadGenerator(
              new LoadGenerator.Plan(
                  faultTest.proxyAddress("p" + i),
                  40,
                  0,
                  40,
                  8,
                  1,
                  List.of(new LoadGenerator.RequestKind("all", 1, "GET", "/list", "", 0, 3_000)),
                  "bad" + IDS.incrementAndGet() + "-"),
              invocation -> {}));
    }
    loads.forEach(LoadGenerator::start);
    try {
      String release = "r" + IDS.incrementAndGet();
      String before = faultTest.version("h1");
      ObjectNode plan =
          faultTest
              .releasePlan(
                  release,
                  "host",
                  before,
                  FAILING_PREFIX + IDS.incrementAndGet(),
                  List.of(List.of("h1"), List.of("h2")))
              .put("on_verdict", "back")
              .put("halt_lost", 0);
      plan.putObject("guard").put("least_requests", 300).put("wait_ms", 20_000);
      begin(plan);
      drive(release);
      // Either the guard rolls the release back, or so many proxies have ejected the upstream that
      // it counts as lost.
      await(
          "found",
          () ->
              List.of("halted", "returned").contains(state(release))
                  || faultTest.releaseStatus(release).path("direction").asText().equals("back"));
      assertThat(faultTest.releaseStatus(release).path("state_why").asText())
          .containsAnyOf("bad (", "h1 is new, and lost");
      assertThat(faultTest.version("h2")).isEqualTo(before);
      submit("release_back", release);
      await("returned", () -> state(release).equals("returned"));
      assertThat(faultTest.version("h1")).isEqualTo(before);
    } finally {
      loads.forEach(LoadGenerator::close);
    }
  }

  private static final String FAILING_PREFIX = FaultTest.FAILING_VERSION;

  @Test
  @Order(6)
  void failingCommandsAreTriedThreeTimesAndHaltRelease() throws Exception {
    for (String command :
        List.of("sleep 1000", "while :; do echo without end; done", "kill -9 $$")) {
      String release = "r" + IDS.incrementAndGet();
      ObjectNode plan =
          faultTest.releasePlan(
              release,
              "host",
              faultTest.version("h4"),
              "v" + IDS.incrementAndGet(),
              List.of(List.of("h4")));
      ((ObjectNode) plan.path("carry"))
          .put("timeout_ms", 1_000)
          .putArray("command")
          .add("bash")
          .add("-c")
          .add(command);
      begin(plan);
      drive(release);
      await("halted: " + command, () -> state(release).equals("halted"));
      assertThat(faultTest.releaseStatus(release).path("state_why").asText())
          .contains("h4 after 3 tries");
      await(
          "h4 was given back as it was",
          () ->
              faultTest
                  .releaseStatus(release)
                  .path("targets")
                  .path(0)
                  .path("phase")
                  .asText()
                  .equals("in"));
      assertThat(faultTest.releaseStatus(release).path("targets").path(0).path("at").asText())
          .isEqualTo("old");
      assertThat(statusOf(submit("release_end", release))).isEqualTo("done");
    }
  }
}
