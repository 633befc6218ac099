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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Releases over three replicas and four daemons as processes, one of each kind allowed out, driven
 * by processes, with faults between them. What was done is told by the supervisor that did it, who
 * was out by probes.
 */
class ReleaseProcessesTest {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long PATIENCE_MS = 40_000;
  private static final AtomicInteger IDS = new AtomicInteger();

  @TempDir(factory = MemoryTempDirFactory.class)
  private static Path folder;

  private static FaultTest rig;
  private final List<ManagedProcess> drivers = new ArrayList<>();

  @BeforeAll
  static void start() throws Exception {
    rig = new FaultTest(new FaultTestPlan(3, 4, 4, 60, 1, Sabotage.NONE, 40), folder);
    rig.start();
  }

  @AfterAll
  static void end() throws IOException {
    rig.close();
  }

  /** Whatever a test left is brought to its end, forward or not, and all serve. */
  @AfterEach
  void settle() throws Exception {
    if (failed) {
      return; // one find is enough: what it left would only hide others
    }
    failed = true;
    rig.supervisor().setHook((before, deed) -> {});
    rig.healLinks();
    drivers.forEach(ManagedProcess::close);
    for (JsonNode r : rig.releaseStatus("").path("releases")) {
      if (!List.of("done", "returned", "ended").contains(r.path("state").asText())) {
        String name = r.path("name").asText();
        change("release_back", name);
        drive(name);
        await("returned", () -> state(name).equals("returned"));
      }
    }
    drivers.forEach(ManagedProcess::close);
    rig.healAndAwaitRecovery();
    assertThat(rig.violations()).isEmpty();
    assertThat(rig.maxProxiesOut()).as("out at once").isLessThanOrEqualTo(1);
    failed = false;
  }

  @org.junit.jupiter.api.BeforeEach
  void sound() {
    org.junit.jupiter.api.Assumptions.assumeFalse(failed, "a test before it left the rig unsound");
  }

  private static boolean failed;

  private static void await(String what, BooleanSupplier c) throws InterruptedException {
    long until = System.nanoTime() + PATIENCE_MS * 1_000_000L;
    while (!c.getAsBoolean()) {
      assertThat(System.nanoTime())
          .as("within " + PATIENCE_MS + " ms: " + what + "; " + said())
          .isLessThan(until);
      Thread.sleep(20);
    }
  }

  private static String said() {
    try (var logs = Files.list(folder)) {
      StringBuilder s = new StringBuilder();
      for (Path log :
          logs.filter(f -> f.getFileName().toString().matches("d[0-9]+\\.log")).sorted().toList()) {
        List<String> lines = Files.readAllLines(log);
        s.append('\n')
            .append(log.getFileName())
            .append(": ")
            .append(lines.subList(Math.max(0, lines.size() - 8), lines.size()));
      }
      return s.toString();
    } catch (IOException e) {
      return e.toString();
    }
  }

  private static JsonNode change(String op, String release) {
    return rig.operator()
        .submit(
            Operator.entry(op).put("release", release),
            "r-call-" + IDS.incrementAndGet(),
            0,
            20_000);
  }

  private static String word(JsonNode o) {
    return o == null ? "nothing" : o.path("status").asText();
  }

  private static String state(String release) {
    return rig.releaseStatus(release).path("state").asText();
  }

  /** A release of these, which all must be of one version, to the next; its name. */
  private static String begin(String of, String... targets) {
    String name = "r" + IDS.incrementAndGet();
    ObjectNode plan =
        rig.releasePlan(
            name,
            of,
            rig.version(targets[0]),
            "v" + IDS.incrementAndGet(),
            List.of(List.of(targets)));
    begin(plan);
    return name;
  }

  private static void begin(ObjectNode plan) {
    JsonNode o =
        rig.operator()
            .submit(
                Operator.entry("release_start").set("plan", plan),
                "r-call-" + IDS.incrementAndGet(),
                0,
                20_000);
    assertThat(word(o)).as(String.valueOf(o)).isEqualTo("done");
  }

  private ManagedProcess drive(String release) throws IOException {
    ManagedProcess c = rig.startDriver("d" + IDS.incrementAndGet(), release);
    drivers.add(c);
    return c;
  }

  /** That each action of these targets was carried out once, and how many there were. */
  private static int onceEach(int from, String... targets) {
    Set<String> seen = new HashSet<>();
    int n = 0;
    List<ProcessSupervisor.Invocation> deeds = rig.supervisor().invocations();
    for (ProcessSupervisor.Invocation d : deeds.subList(from, deeds.size())) {
      if (d.verb().equals("command") && !d.rejected() && List.of(targets).contains(d.target())) {
        n++;
        assertThat(seen.add(d.actionId() + "/" + d.version()))
            .as("action " + d + " a second time, of " + deeds)
            .isTrue();
      }
    }
    return n;
  }

  private static int deeds() {
    return rig.supervisor().invocations().size();
  }

  private static Map<String, String> versions(String... targets) {
    Map<String, String> out = new TreeMap<>();
    for (String t : targets) {
      out.put(t, rig.version(t));
    }
    return out;
  }

  @Test
  void eachProxyIsRestartedOnceAndNeverMoreAreOutThanAllowed() throws Exception {
    int from = deeds();
    String r = begin("proxy", "p1", "p2", "p3", "p4");
    String version = rig.releaseStatus(r).path("version").asText();
    ManagedProcess d = drive(r);
    await("done", () -> state(r).equals("done"));
    await("the driver ends", () -> !d.isRunning());
    assertThat(versions("p1", "p2", "p3", "p4").values()).containsOnly(version);
    assertThat(onceEach(from, "p1", "p2", "p3", "p4")).isEqualTo(4);
  }

  @Test
  void aDriverKilledBeforeAndAfterEachCommandIsFollowedAndNothingIsDoneTwice() throws Exception {
    int from = deeds();
    String r = begin("host", "h1", "h2");
    AtomicInteger killed = new AtomicInteger();
    ManagedProcess[] now = {drive(r)};
    rig.supervisor()
        .setHook(
            (before, deed) -> {
              // Before the first command is carried out, and right after the second one, with no
              // answer given.
              if (deed.verb().equals("command")
                  && ((before && killed.get() == 0)
                      || (!before && killed.get() == 1 && deed.target().equals("h2")))) {
                killed.incrementAndGet();
                now[0].kill();
                CompletableFuture.runAsync(
                    () -> {
                      try {
                        now[0] = drive(r);
                      } catch (IOException e) {
                        throw new java.io.UncheckedIOException(e);
                      }
                    });
              }
            });
    await("done", () -> state(r).equals("done"));
    assertThat(killed.get()).isEqualTo(2);
    assertThat(onceEach(from, "h1", "h2")).isBetween(2, 3);
    assertThat(rig.version("h1")).isEqualTo(rig.version("h2"));
  }

  @Test
  void aDriverStoppedInTheMiddleOfAnActionForLongerThanItsLeaseIsTurnedAwayByItsFence()
      throws Exception {
    String r = begin("host", "h3", "h4");
    ManagedProcess slow = drive(r);
    CompletableFuture<ProcessSupervisor.Invocation> held = new CompletableFuture<>();
    CompletableFuture<Void> go = new CompletableFuture<>();
    rig.supervisor()
        .setHook(
            (before, deed) -> {
              // Its command is on its way and is held up, and the driver stands still, until
              // another one has the lead.
              if (before && deed.verb().equals("command") && held.complete(deed)) {
                slow.suspend();
                go.join();
              }
            });
    long fence = held.get().fence();
    drive(r);
    await("another drives", () -> rig.releaseStatus(r).path("fence").asLong() > fence);
    await(
        "and goes on",
        () -> rig.supervisor().invocations().stream().anyMatch(d -> d.fence() > fence));
    go.complete(null);
    slow.resume();
    await("done", () -> state(r).equals("done"));
    assertThat(
            rig.supervisor().invocations().stream()
                .filter(
                    d ->
                        d.fence() == fence
                            && d.target().equals(held.join().target())
                            && d.verb().equals("command")))
        .isNotEmpty()
        .allMatch(ProcessSupervisor.Invocation::rejected);
  }

  @Test
  void afterAHaltNobodyNewGoesOutAndTheWayBackBringsAllBack() throws Exception {
    String before = rig.version("p1");
    String r = begin("proxy", "p1", "p2", "p3");
    CompletableFuture<Void> second = new CompletableFuture<>();
    rig.supervisor()
        .setHook(
            (b, deed) -> {
              if (b && deed.verb().equals("command") && !deed.target().equals("p1")) {
                second.complete(null);
              }
            });
    drive(r);
    second.join();
    assertThat(word(change("release_halt", r))).isEqualTo("done");
    int then = deeds();
    await(
        "what was under way has ended",
        () -> {
          for (JsonNode t : rig.releaseStatus(r).path("targets")) {
            if (!t.path("phase").asText().equals("in")) {
              return false;
            }
          }
          return true;
        });
    Thread.sleep(1_000);
    assertThat(
            rig.supervisor().invocations().subList(then, deeds()).stream()
                .filter(d -> d.verb().equals("command"))
                .map(ProcessSupervisor.Invocation::target))
        .doesNotContain("p3");
    assertThat(state(r)).isEqualTo("halted");
    assertThat(word(change("release_back", r))).isEqualTo("done");
    await("returned", () -> state(r).equals("returned"));
    assertThat(versions("p1", "p2", "p3").values()).containsOnly(before);
  }

  @Test
  void aVersionThatDoesNotComeUpHaltsTheReleaseAtTheFirstAndTheWayBackMendsIt() throws Exception {
    String before = rig.version("p1");
    String r = "r" + IDS.incrementAndGet();
    begin(
        rig.releasePlan(r, "proxy", before, FaultTest.BROKEN_VERSION, List.of(List.of("p1", "p2")))
            .put("action_ms", 9_000));
    drive(r);
    await("halted", () -> state(r).equals("halted"));
    assertThat(rig.releaseStatus(r).path("state_why").asText()).contains("p1");
    assertThat(rig.version("p2")).isEqualTo(before);
    change("release_back", r);
    await("returned", () -> state(r).equals("returned"));
    assertThat(rig.version("p1")).isEqualTo(before);
    await("serves", () -> rig.isServing("p1"));
  }

  @Test
  void theLeadersChangeInEveryStepAndAMajorityLostInTheMiddleLoseAndRepeatNothing()
      throws Exception {
    int from = deeds();
    String r = begin("proxy", "p1", "p2", "p3", "p4");
    AtomicInteger commands = new AtomicInteger();
    rig.supervisor()
        .setHook(
            (before, deed) -> {
              if (before && deed.verb().equals("command")) {
                CompletableFuture.runAsync(() -> disturb(commands.incrementAndGet()));
              }
            });
    drive(r);
    await("done", () -> state(r).equals("done"));
    assertThat(commands.get()).isGreaterThanOrEqualTo(4);
    onceEach(from, "p1", "p2", "p3", "p4");
  }

  private static void disturb(int n) {
    try {
      String leader = rig.awaitLeader();
      if (n == 2) {
        List<String> two = List.of("k1", "k2");
        two.forEach(k -> rig.replica(k).suspend());
        Thread.sleep(2L * FaultTest.LEASE_MILLIS);
        two.forEach(k -> rig.replica(k).resume());
      } else {
        rig.replica(leader).kill();
        Thread.sleep(500);
        rig.replica(leader).start();
      }
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  void hostsAreReplacedUnderLoadWithNoRequestLostAndNoneColdPushedOver() throws Exception {
    List<LoadGenerator> loads = new ArrayList<>();
    Set<String> bad = java.util.concurrent.ConcurrentHashMap.newKeySet();
    for (int i = 1; i <= 4; i++) {
      loads.add(
          new LoadGenerator(
              new LoadGenerator.Plan(
                  rig.proxyAddress("p" + i),
                  30,
                  0,
                  15,
                  8,
                  1,
                  List.of(new LoadGenerator.RequestKind("all", 1, "POST", "/claim", "", 0, 3_000)),
                  "rel" + i + "-"),
              d -> {
                if (d.outcome() != LoadGenerator.Outcome.SERVED
                    && d.outcome() != LoadGenerator.Outcome.REFUSED) {
                  bad.add(d.id() + " " + d.outcome());
                }
              }));
    }
    loads.forEach(LoadGenerator::start);
    int from = deeds();
    String r = begin("host", "h1", "h2", "h3");
    drive(r);
    await("done", () -> state(r).equals("done"));
    for (LoadGenerator l : loads) {
      l.await();
    }
    loads.forEach(LoadGenerator::close);
    assertThat(bad).isEmpty();
    assertThat(onceEach(from, "h1", "h2", "h3")).isEqualTo(3);
    for (String h : List.of("h1", "h2", "h3")) {
      assertThat(rig.upstream(h).hasCollapsed()).as(h).isFalse();
    }
  }

  @Test
  void ofTwoReleasesThatWantOneTargetOneBegins() throws Exception {
    List<CompletableFuture<String>> asked = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      ObjectNode plan =
          rig.releasePlan(
              "twin" + IDS.incrementAndGet(),
              "host",
              rig.version("h1"),
              "v" + IDS.incrementAndGet(),
              List.of(List.of("h1", "h" + (2 + i))));
      int n = i;
      asked.add(
          CompletableFuture.supplyAsync(
              () ->
                  word(
                      rig.operator()
                          .submit(
                              Operator.entry("release_start").set("plan", plan),
                              "r-call-" + IDS.incrementAndGet(),
                              n,
                              20_000))));
    }
    assertThat(List.of(asked.get(0).get(), asked.get(1).get()))
        .containsExactlyInAnyOrder("done", "refused");
  }

  @Test
  void aMemberThatWasDownAndComesBackWithTheOldVersionIsChangedThen() throws Exception {
    String r = "r" + IDS.incrementAndGet();
    String version = "v" + IDS.incrementAndGet();
    rig.proxy("p4").kill();
    await(
        "p4 is lost",
        () ->
            rig.operator()
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
        rig.releasePlan(r, "proxy", rig.version("p1"), version, List.of(List.of("p1", "p4")))
            .put("halt_lost", 0)
            .put("on_missing", "skip"));
    drive(r);
    Thread.sleep(1_500);
    assertThat(state(r)).as("p4 uses the budget up").isEqualTo("running");
    assertThat(rig.version("p1")).isNotEqualTo(version);
    rig.proxy("p4").start();
    await("done", () -> state(r).equals("done"));
    assertThat(versions("p1", "p4").values()).containsOnly(version);
  }

  @Test
  void whatFailsUnderLoadOnlyIsHaltedAtTheFirstAndTakenBackByItself() throws Exception {
    List<LoadGenerator> loads = new ArrayList<>();
    for (int i = 1; i <= 4; i++) {
      loads.add(
          new LoadGenerator(
              new LoadGenerator.Plan(
                  rig.proxyAddress("p" + i),
                  40,
                  0,
                  40,
                  8,
                  1,
                  List.of(new LoadGenerator.RequestKind("all", 1, "GET", "/list", "", 0, 3_000)),
                  "bad" + IDS.incrementAndGet() + "-"),
              d -> {}));
    }
    loads.forEach(LoadGenerator::start);
    try {
      String r = "r" + IDS.incrementAndGet();
      String before = rig.version("h1");
      ObjectNode plan =
          rig.releasePlan(
                  r,
                  "host",
                  before,
                  FAILING + IDS.incrementAndGet(),
                  List.of(List.of("h1"), List.of("h2")))
              .put("on_verdict", "back")
              .put("halt_lost", 0);
      plan.putObject("guard").put("least_requests", 300).put("wait_ms", 20_000);
      begin(plan);
      drive(r);
      // By the guard, which takes it back; or since so many proxies have ejected it that it counts
      // as lost.
      await(
          "found",
          () ->
              List.of("halted", "returned").contains(state(r))
                  || rig.releaseStatus(r).path("direction").asText().equals("back"));
      assertThat(rig.releaseStatus(r).path("state_why").asText())
          .containsAnyOf("bad (", "h1 is new, and lost");
      assertThat(rig.version("h2")).isEqualTo(before);
      change("release_back", r);
      await("returned", () -> state(r).equals("returned"));
      assertThat(rig.version("h1")).isEqualTo(before);
    } finally {
      loads.forEach(LoadGenerator::close);
    }
  }

  private static final String FAILING = FaultTest.FAILING_VERSION;

  @Test
  void commandsThatHangWriteWithoutEndOrDieAreTriedThreeTimesAndHaltIt() throws Exception {
    for (String command :
        List.of("sleep 1000", "while :; do echo without end; done", "kill -9 $$")) {
      String r = "r" + IDS.incrementAndGet();
      ObjectNode plan =
          rig.releasePlan(
              r, "host", rig.version("h4"), "v" + IDS.incrementAndGet(), List.of(List.of("h4")));
      ((ObjectNode) plan.path("carry"))
          .put("timeout_ms", 1_000)
          .putArray("command")
          .add("bash")
          .add("-c")
          .add(command);
      begin(plan);
      drive(r);
      await("halted: " + command, () -> state(r).equals("halted"));
      assertThat(rig.releaseStatus(r).path("state_why").asText()).contains("h4 after 3 tries");
      await(
          "h4 was given back as it was",
          () -> rig.releaseStatus(r).path("targets").path(0).path("phase").asText().equals("in"));
      assertThat(rig.releaseStatus(r).path("targets").path(0).path("at").asText()).isEqualTo("old");
      assertThat(word(change("release_end", r))).isEqualTo("done");
    }
  }
}
