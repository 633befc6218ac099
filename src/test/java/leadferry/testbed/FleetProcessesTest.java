package leadferry.testbed;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Three replicas and four daemons as processes, one of each kind allowed out, and faults between
 * them.
 */
class FleetProcessesTest {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long PATIENCE_MS = 20_000;
  private static final AtomicInteger IDS = new AtomicInteger();

  @TempDir(factory = MemoryTempDirFactory.class)
  private static Path folder;

  private static FaultTest rig;

  @BeforeAll
  static void start() throws Exception {
    rig = new FaultTest(new FaultTestPlan(3, 4, 4, 60, 1, Sabotage.NONE, 40), folder);
    rig.start();
  }

  @AfterAll
  static void end() throws IOException {
    rig.close();
  }

  /**
   * Links first: a test that failed while one was cut must not leave the next one without replicas.
   */
  @AfterEach
  void giveBack() throws Exception {
    rig.healLinks();
    for (JsonNode p : status().path("permits")) {
      undo(p.path("id").asText());
    }
    rig.healAndAwaitRecovery();
  }

  private static String id() {
    return "call-" + IDS.incrementAndGet();
  }

  private static JsonNode status() {
    return rig.operator().query(MAPPER.createObjectNode().put("op", "status"), 0, PATIENCE_MS);
  }

  private static ObjectNode drainOf(String kind, String name) {
    return Operator.entry("drain").put("kind", kind).put("name", name);
  }

  private static JsonNode drain(String kind, String name) {
    return rig.operator().submit(drainOf(kind, name), id(), 0, PATIENCE_MS);
  }

  /**
   * Asks until it is granted: after a change of leaders a proxy may be lost for a moment, and a
   * refusal is right.
   */
  private static JsonNode granted(String kind, String name) throws InterruptedException {
    JsonNode[] o = new JsonNode[1];
    await(() -> word(o[0] = drain(kind, name)).equals("granted"), () -> "last answer " + o[0]);
    return o[0];
  }

  private static JsonNode undo(String permit) {
    return rig.operator()
        .submit(Operator.entry("undo").put("permit", permit), id(), 0, PATIENCE_MS);
  }

  private static String word(JsonNode o) {
    return o == null ? "nothing" : o.path("status").asText();
  }

  private static void await(BooleanSupplier c) throws InterruptedException {
    await(c, () -> "");
  }

  private static void await(BooleanSupplier c, Supplier<String> seen) throws InterruptedException {
    long until = System.nanoTime() + PATIENCE_MS * 1_000_000L;
    while (!c.getAsBoolean()) {
      assertThat(System.nanoTime())
          .as(() -> "within " + PATIENCE_MS + " ms " + seen.get())
          .isLessThan(until);
      Thread.sleep(20);
    }
  }

  private static String out(String kind, String name) {
    for (JsonNode n : status().path(kind)) {
      if (n.path("name").asText().equals(name)) {
        return n.path("out").asText();
      }
    }
    return "unknown";
  }

  /** The status of a request at a proxy, 0 for none. */
  private static int request(String proxy, String id) {
    try (Socket s = new Socket()) {
      s.connect(rig.proxyAddress(proxy), 2_000);
      s.setSoTimeout(5_000);
      s.getOutputStream()
          .write(
              ("GET /list HTTP/1.1\r\nHost: t\r\nX-Request-ID: "
                      + id
                      + "\r\nConnection: close\r\n\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
      return Integer.parseInt(
          new String(s.getInputStream().readNBytes(12), StandardCharsets.US_ASCII).substring(9));
    } catch (IOException e) {
      return 0;
    }
  }

  @Test
  void oneProxyIsOutAndTheNextIsRefusedAcrossACutLink() throws Exception {
    String leader = rig.awaitLeader();
    String other = leader.equals("k1") ? "k2" : "k1";
    rig.link(leader, other).cut(true, false);
    rig.link(other, leader).cut(false, true);
    JsonNode first = granted("proxy", "p1");
    await(() -> rig.reportsNotServing("p1"));
    JsonNode second = drain("proxy", "p2");
    assertThat(word(second)).isEqualTo("refused");
    assertThat(second.path("why").toString()).contains("p1");
    assertThat(rig.isServing("p2")).isTrue();
    undo(first.path("permit").asText());
    await(() -> rig.isServing("p1"));
  }

  @Test
  void ofTwoDrainsAtTwoKeepersForOnePlaceOneIsGranted() throws Exception {
    List<CompletableFuture<JsonNode>> asked = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      int n = i;
      asked.add(
          CompletableFuture.supplyAsync(
              () -> rig.operator().submit(drainOf("proxy", "p" + (n + 2)), id(), n, PATIENCE_MS)));
    }
    List<String> words = new ArrayList<>();
    for (CompletableFuture<JsonNode> f : asked) {
      words.add(word(f.get()));
    }
    assertThat(words).containsExactlyInAnyOrder("granted", "refused");
  }

  @Test
  void aDrainWhoseLeaderIsKilledHasOneOutcomeWhenAskedAgain() throws Exception {
    String leader = rig.awaitLeader();
    String id = id();
    CompletableFuture<JsonNode> first =
        CompletableFuture.supplyAsync(
            () -> rig.operatorAt(leader).submit(drainOf("host", "h1"), id, 0, 1_000));
    rig.replica(leader).kill();
    first.get();
    JsonNode again = rig.operator().submit(drainOf("host", "h1"), id, 0, PATIENCE_MS);
    JsonNode other = rig.operator().submit(drainOf("host", "h2"), id, 0, PATIENCE_MS);
    rig.replica(leader).start();
    assertThat(word(again)).isEqualTo("granted");
    assertThat(word(other)).as("the id was used for something else").isEqualTo("conflict");
    assertThat(status().path("permits")).hasSize(1);
  }

  @Test
  void aLeaderThatIsCutOffWithAMinorityGrantsNothing() throws Exception {
    String leader = rig.awaitLeader();
    rig.isolate(leader);
    JsonNode alone = rig.operatorAt(leader).submit(drainOf("proxy", "p3"), id(), 0, 3_000);
    assertThat(word(alone)).isEqualTo("nothing");
    granted("proxy", "p4");
    rig.healLinks();
    await(() -> rig.reportsNotServing("p4"));
    // What the cut-off leader had in its log and nobody confirmed is not there afterwards, or was
    // refused.
    assertThat(rig.isServing("p3")).isTrue();
    assertThat(status().path("permits")).hasSize(1);
  }

  /**
   * Asked before they notice that their leader is cut off: what they ask it for then must not hold
   * up the one that leads next.
   */
  @Test
  void whoWasAskedAsAFollowerOfACutOffLeaderAnswersOnceItLeads() throws Exception {
    String cut = rig.awaitLeader();
    List<String> others = List.of("k1", "k2", "k3").stream().filter(k -> !k.equals(cut)).toList();
    rig.isolate(cut);
    List<CompletableFuture<JsonNode>> asked = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      for (String k : others) {
        asked.add(
            CompletableFuture.supplyAsync(
                () ->
                    rig.operatorAt(k).query(MAPPER.createObjectNode().put("op", "status"), 0, 100),
                CROWD));
      }
      Thread.sleep(20);
    }
    asked.forEach(CompletableFuture::join);
    String[] leads = new String[1];
    await(
        () -> {
          for (String k : others) {
            JsonNode h = health(k);
            leads[0] = h != null && h.path("role").asText().equals("leader") ? k : leads[0];
          }
          return leads[0] != null;
        });
    assertThat(
            rig.operatorAt(leads[0])
                .query(MAPPER.createObjectNode().put("op", "status"), 0, PATIENCE_MS))
        .as("%s leads, %s is cut off", leads[0], cut)
        .isNotNull();
    granted("proxy", "p4");
  }

  /** A lease that a follower confirmed would be one that nobody counts. */
  @Test
  void onlyTheKeeperThatLeadsConfirmsAnything() throws Exception {
    String leader = rig.awaitLeader();
    ObjectNode renew =
        MAPPER.createObjectNode().put("op", "renew").put("name", "p1").put("session", 1);
    for (String k : List.of("k1", "k2", "k3")) {
      for (ObjectNode q : List.of(MAPPER.createObjectNode().put("op", "status"), renew)) {
        JsonNode o =
            Operator.queryOnce(rig.replicaAddress(k), q.put("id", 1).put("fleet", rig.fleet()));
        assertThat(o).as("%s, %s leads", k, leader).isNotNull();
        assertThat(o.path("redirect").asText()).isEqualTo(k.equals(leader) ? "" : leader);
      }
    }
  }

  @Test
  void aProxyStoppedForThreeLeasesDoesNotGoOutByAGrantThatHasEnded() throws Exception {
    rig.proxy("p1").suspend();
    JsonNode granted = drain("proxy", "p1");
    assertThat(word(granted)).isEqualTo("granted");
    undo(granted.path("permit").asText());
    await(() -> out("proxies", "p1").startsWith("lost"));
    assertThat(word(drain("proxy", "p2")))
        .as("who is lost uses the budget up")
        .isEqualTo("refused");
    Set<Boolean> seen = new TreeSet<>();
    rig.proxy("p1").resume();
    long until = System.nanoTime() + 3_000_000_000L;
    while (System.nanoTime() < until) {
      seen.add(rig.reportsNotServing("p1"));
      Thread.sleep(10);
    }
    assertThat(seen).containsExactly(false);
    await(() -> rig.isServing("p1"));
  }

  @Test
  void aKilledProxyUsesTheBudgetUpAndItsReturnGivesItBack() throws Exception {
    rig.proxy("p2").kill();
    await(() -> out("proxies", "p2").equals("lost"));
    JsonNode no = drain("proxy", "p3");
    assertThat(word(no)).isEqualTo("refused");
    assertThat(no.path("why").toString()).contains("p2 (lost)");
    rig.proxy("p2").start();
    await(() -> word(drain("proxy", "p3")).equals("granted"));
  }

  @Test
  void aProxyThatIsToldToEndCountsAsOutAndCanBeForgotten() throws Exception {
    assertThat(rig.proxy("p4").terminate(PATIENCE_MS)).isZero();
    await(() -> out("proxies", "p4").equals("left"));
    assertThat(word(drain("proxy", "p3"))).isEqualTo("refused");
    rig.proxy("p4").start();
    await(() -> rig.isServing("p4"));
  }

  @Test
  void allKeepersRestartedForgetNothingAndRequestsGoOnMeanwhile() throws Exception {
    JsonNode granted = drain("proxy", "p1");
    await(() -> rig.reportsNotServing("p1"));
    for (String k : List.of("k1", "k2", "k3")) {
      rig.replica(k).kill();
    }
    for (int i = 0; i < 50; i++) {
      assertThat(request("p" + (2 + i % 3), "gone-" + i)).isEqualTo(200);
    }
    assertThat(rig.reportsNotServing("p1")).isTrue();
    for (String k : List.of("k1", "k2", "k3")) {
      rig.replica(k).start();
    }
    assertThat(word(drain("proxy", "p2"))).isEqualTo("refused");
    assertThat(status().path("permits").path(0).path("id")).isEqualTo(granted.path("permit"));
    undo(granted.path("permit").asText());
    await(() -> rig.isServing("p1"));
  }

  @Test
  void aDrainedHostGetsNothingAlsoFromAProxyThatRestarts() throws Exception {
    JsonNode granted = drain("host", "h1");
    String permit = granted.path("permit").asText();
    await(
        () ->
            rig.operator()
                .query(
                    MAPPER.createObjectNode().put("op", "permit").put("permit", permit),
                    0,
                    PATIENCE_MS)
                .path("carried_out")
                .asBoolean());
    rig.proxy("p3").kill();
    rig.proxy("p3").start();
    await(() -> !rig.isServing("p3"));
    int[] served = {0};
    await(() -> request("p3", "after-" + served[0]) == 200 && ++served[0] >= 100);
    for (int i = 0; i < 100; i++) {
      assertThat(request("p" + (1 + i % 2), "beside-" + i)).isEqualTo(200);
    }
    Set<String> at = new TreeSet<>();
    rig.executions()
        .forEach(
            (id, runs) -> {
              if (id.startsWith("after-") || id.startsWith("beside-")) {
                runs.forEach(r -> at.add(r.upstream()));
              }
            });
    assertThat(at).doesNotContain("h1").hasSize(3);
  }

  @Test
  void ofManyDrainsAtOnceOneIsGranted() throws Exception {
    List<CompletableFuture<String>> asked = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      int n = i;
      asked.add(
          CompletableFuture.supplyAsync(
              () ->
                  word(
                      rig.operator()
                          .submit(drainOf("host", "h" + (1 + n % 4)), id(), n, PATIENCE_MS))));
    }
    int granted = 0;
    for (CompletableFuture<String> f : asked) {
      String w = f.get();
      assertThat(w).isIn("granted", "refused");
      granted += w.equals("granted") ? 1 : 0;
    }
    assertThat(granted).isEqualTo(1);
  }

  @Test
  void aKeeperThatRestartsFromASnapshotKnowsAllThatWasDecided() throws Exception {
    String permit = drain("host", "h1").path("permit").asText();
    for (int i = 0; i < 80; i++) {
      assertThat(word(drain("host", "h2"))).isEqualTo("refused");
    }
    for (String k : List.of("k1", "k2", "k3")) {
      try (var all = Files.walk(folder.resolve(k))) {
        assertThat(
                all.anyMatch(f -> f.getFileName().toString().matches("snapshot\\.[0-9]+_[0-9]+")))
            .as(k)
            .isTrue();
      }
      rig.replica(k).kill();
    }
    for (String k : List.of("k1", "k2", "k3")) {
      rig.replica(k).start();
    }
    assertThat(status().path("permits").path(0).path("id").asText()).isEqualTo(permit);
    assertThat(word(drain("host", "h2"))).isEqualTo("refused");
  }

  @Test
  void aHaltStopsGrantsUntilResumed() {
    assertThat(word(rig.operator().submit(Operator.entry("halt"), id(), 1, PATIENCE_MS)))
        .isEqualTo("done");
    assertThat(word(drain("host", "h3"))).isEqualTo("halted");
    assertThat(word(rig.operator().submit(Operator.entry("resume"), id(), 2, PATIENCE_MS)))
        .isEqualTo("done");
    assertThat(word(drain("host", "h3"))).isEqualTo("granted");
  }

  private static long expired() {
    long n = 0;
    for (JsonNode h :
        rig.operator()
            .query(
                MAPPER.createObjectNode().put("op", "status").put("history", true), 0, PATIENCE_MS)
            .path("history")) {
      n += h.path("op").asText().equals("expire") ? 1 : 0;
    }
    return n;
  }

  @Test
  void keepersStoppedForThreeLeasesAndContinuedTakeNobodyForDead() throws Exception {
    long before = expired();
    for (String k : List.of("k1", "k2", "k3")) {
      rig.replica(k).suspend();
    }
    Thread.sleep(3 * FaultTest.LEASE_MILLIS);
    for (int i = 0; i < 20; i++) {
      assertThat(request("p" + (1 + i % 4), "stopped-" + i)).isEqualTo(200);
    }
    for (String k : List.of("k1", "k2", "k3")) {
      rig.replica(k).resume();
    }
    rig.awaitLeader();
    Thread.sleep(FaultTest.LEASE_MILLIS);
    assertThat(expired()).isEqualTo(before);
    granted("proxy", "p1");
  }

  @Test
  void aLeaderStoppedForThreeLeasesAndContinuedGrantsNothingByItself() throws Exception {
    String leader = rig.awaitLeader();
    rig.replica(leader).suspend();
    granted("proxy", "p1");
    Thread.sleep(3 * FaultTest.LEASE_MILLIS);
    rig.replica(leader).resume();
    JsonNode o = rig.operatorAt(leader).submit(drainOf("proxy", "p2"), id(), 0, 500);
    assertThat(word(o)).isIn("nothing", "refused");
    assertThat(status().path("permits")).hasSize(1);
  }

  @Test
  void aPermitRunsOutWhileItsHolderIsCutOffAndNobodyElseGoesOutMeanwhile() throws Exception {
    JsonNode granted =
        rig.operator().submit(drainOf("proxy", "p1").put("for_ms", 2_000), id(), 0, PATIENCE_MS);
    assertThat(word(granted)).as("%s", granted).isEqualTo("granted");
    await(() -> rig.reportsNotServing("p1"));
    for (String k : List.of("k1", "k2", "k3")) {
      rig.link("p1", k).cut(true, true);
    }
    while (!rig.isServing("p1")) {
      assertThat(word(drain("proxy", "p2"))).isEqualTo("refused");
    }
    assertThat(word(drain("proxy", "p2"))).as("lost now, and counted").isEqualTo("refused");
    rig.healLinks();
    await(() -> word(drain("proxy", "p2")).equals("granted"));
    assertThat(rig.isServing("p1")).isTrue();
  }

  @Test
  void aSecondProcessOfANameDoesNotServeWhileTheFirstLives() throws Exception {
    String file = Files.readString(folder.resolve("p1.toml"));
    Path second =
        Files.writeString(
            folder.resolve("p1-second.toml"),
            file.replaceFirst(
                "(?s)\\[listener.main]\naddress = \"[^\"]*\"",
                "[listener.main]\naddress = \"127.0.0.1:0\""));
    Path log = folder.resolve("p1-second.log");
    List<String> command = ManagedProcess.commandLine(64, "daemon", "--config", second.toString());
    try (ManagedProcess c = new ManagedProcess("p1-second", command, command, log)) {
      c.start();
      await(() -> read(log).contains("in use by a process whose lease is not over"));
      assertThat(read(log)).doesNotContain("ready");
      assertThat(rig.isServing("p1")).isTrue();
      rig.proxy("p1").kill();
      await(() -> read(log).contains("ready"));
    }
    rig.proxy("p1").start();
  }

  @Test
  void aKeeperWithALogTornAtItsLastRecordComesBackAndFollows() throws Exception {
    assertThat(word(drain("host", "h2"))).isEqualTo("granted");
    String torn = rig.awaitLeader().equals("k3") ? "k2" : "k3";
    rig.replica(torn).kill();
    Path log;
    try (var all = Files.walk(folder.resolve(torn))) {
      log =
          all.filter(f -> f.getFileName().toString().startsWith("log_inprogress"))
              .findFirst()
              .orElseThrow();
    }
    byte[] bytes = Files.readAllBytes(log);
    int end = bytes.length;
    while (bytes[end - 1] == 0) {
      end--;
    }
    Files.write(log, java.util.Arrays.copyOf(bytes, end - 3));
    rig.replica(torn).start();
    await(
        () -> {
          JsonNode h =
              rig.operatorAt(torn).query(MAPPER.createObjectNode().put("op", "health"), 0, 500);
          JsonNode l = rig.operator().query(MAPPER.createObjectNode().put("op", "status"), 0, 500);
          return h != null
              && l != null
              && h.path("applied").asLong() > 0
              && !h.path("leader").asText().isEmpty();
        });
    assertThat(status().path("permits")).hasSize(1);
  }

  private static JsonNode permit(String id) {
    return rig.operator()
        .query(MAPPER.createObjectNode().put("op", "permit").put("permit", id), 0, PATIENCE_MS);
  }

  @Test
  void aProxyStoppedBeforeItAcknowledgesIsNamedUntilItHas() throws Exception {
    rig.proxy("p2").suspend();
    String id = drain("host", "h3").path("permit").asText();
    await(() -> permit(id).path("awaited").size() == 1);
    assertThat(permit(id).path("awaited").path("p2").asText()).contains("has not told");
    await(() -> permit(id).path("awaited").path("p2").asText().contains("may go on sending"));
    assertThat(permit(id).path("carried_out").asBoolean()).isFalse();
    rig.proxy("p2").resume();
    await(() -> permit(id).path("carried_out").asBoolean());
    for (int i = 0; i < 40; i++) {
      assertThat(request("p2", "woken-" + i)).isEqualTo(200);
    }
    Set<String> at = new TreeSet<>();
    rig.executions()
        .forEach(
            (request, runs) -> {
              if (request.startsWith("woken-")) {
                runs.forEach(r -> at.add(r.upstream()));
              }
            });
    assertThat(at).doesNotContain("h3").hasSize(3);
  }

  @Test
  void aHostThatHalfOfTheProxiesCannotReachUsesTheBudgetUp() throws Exception {
    List<String> half = List.of("p1", "p2");
    half.forEach(p -> rig.link(p, "h4").setRefusing(true));
    AtomicInteger n = new AtomicInteger();
    await(
        () -> {
          crowd(half, "half-" + n.incrementAndGet());
          return out("hosts", "h4").startsWith("ejected by 2");
        });
    JsonNode no = drain("host", "h1");
    assertThat(word(no)).isEqualTo("refused");
    assertThat(no.path("why").toString()).contains("h4 (ejected by 2)");
    rig.healLinks();
    await(
        () -> {
          crowd(half, "whole-" + n.incrementAndGet());
          return out("hosts", "h4").equals("null") || out("hosts", "h4").isEmpty();
        });
    assertThat(word(drain("host", "h1"))).isEqualTo("granted");
  }

  /**
   * Eight requests at once at each: while others have some in flight, a host without any is chosen.
   */
  private static void crowd(List<String> proxies, String id) {
    List<CompletableFuture<Integer>> all = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      int n = i;
      proxies.forEach(
          p ->
              all.add(
                  CompletableFuture.supplyAsync(() -> request(p, id + "-" + p + "-" + n), CROWD)));
    }
    all.forEach(CompletableFuture::join);
  }

  private static final java.util.concurrent.ExecutorService CROWD =
      java.util.concurrent.Executors.newFixedThreadPool(
          16,
          r -> {
            Thread t = new Thread(r, "crowd");
            t.setDaemon(true);
            return t;
          });

  private static JsonNode health(String replica) {
    return rig.operatorAt(replica).query(MAPPER.createObjectNode().put("op", "health"), 0, 500);
  }

  @Test
  void aKeeperOnAFullDiskHoldsNobodyUpAndFollowsOnceThereIsRoom() throws Exception {
    String full = rig.awaitLeader().equals("k3") ? "k2" : "k3";
    rig.replica(full).kill();
    rig.replica(full).startWithFileSizeLimit(300);
    await(() -> health(full) != null && health(full).path("applied").asLong() > 0);
    String much = "x".repeat(60_000);
    for (int i = 0; i < 12; i++) {
      JsonNode o =
          rig.operator()
              .submit(drainOf("host", "none-" + i).put("pad", much), id(), i, PATIENCE_MS);
      assertThat(word(o)).isEqualTo("unknown");
    }
    granted("host", "h1");
    assertThat(read(folder.resolve(full + ".log")))
        .as("its log tells of it")
        .contains("File too large");
    rig.replica(full).kill();
    rig.replica(full).start();
    long applied = health(rig.awaitLeader()).path("applied").asLong();
    await(() -> health(full) != null && health(full).path("applied").asLong() >= applied);
    assertThat(status().path("permits")).hasSize(1);
  }

  @Test
  void anAcknowledgementCutInTheMiddleIsTakenForNone() throws Exception {
    for (String k : List.of("k1", "k2", "k3")) {
      rig.link("p2", k).truncateNextChunk();
    }
    String permit = granted("host", "h1").path("permit").asText();
    await(() -> permit(permit).path("carried_out").asBoolean());
    for (int i = 0; i < 60; i++) {
      assertThat(request("p2", "middle-" + i)).isEqualTo(200);
    }
    Set<String> at = new TreeSet<>();
    rig.executions()
        .forEach(
            (request, runs) -> {
              if (request.startsWith("middle-")) {
                runs.forEach(r -> at.add(r.upstream()));
              }
            });
    assertThat(at).doesNotContain("h1").isNotEmpty();
  }

  @Test
  void aHostThatWasStartedAnewWhileItWasOutIsNotPushedOverWhenItIsGivenBack() throws Exception {
    String permit = granted("host", "h1").path("permit").asText();
    await(() -> permit(permit).path("carried_out").asBoolean());
    rig.upstream("h1").restart();
    List<LoadGenerator> loads = new ArrayList<>();
    for (int i = 1; i <= 4; i++) {
      loads.add(
          new LoadGenerator(
              new LoadGenerator.Plan(
                  rig.proxyAddress("p" + i),
                  120,
                  0,
                  3,
                  16,
                  1,
                  List.of(new LoadGenerator.RequestKind("all", 1, "GET", "/list", "", 0, 3_000)),
                  "cold" + i + "-"),
              d -> {}));
    }
    loads.forEach(LoadGenerator::start);
    undo(permit);
    for (LoadGenerator l : loads) {
      l.await();
    }
    long served = rig.upstream("h1").served();
    loads.forEach(LoadGenerator::close);
    assertThat(rig.upstream("h1").hasCollapsed()).isFalse();
    assertThat(served).isPositive();
  }

  private static String read(Path file) {
    try {
      return Files.exists(file) ? Files.readString(file) : "";
    } catch (IOException e) {
      return "";
    }
  }
}
