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
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs three replicas and four daemons as processes, with budgets of one proxy and one upstream,
 * and faults between them. Guards against grants beyond a budget and against requests to drained
 * upstreams when links are cut or processes are killed, suspended or restarted.
 *
 * <p>The tests share these processes, so their order is fixed.
 */
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class FleetProcessesTest {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long TIMEOUT_MILLIS = 20_000;
  private static final AtomicInteger CALL_IDS = new AtomicInteger();

  @TempDir(factory = MemoryTempDirFactory.class)
  private static Path folder;

  private static FaultTest faultTest;

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
   * Removes the faults of links first: a test that fails while a link is cut must not leave the
   * next one without replicas.
   */
  @AfterEach
  void returnAllTargets() throws Exception {
    faultTest.healLinks();
    for (JsonNode permit : status().path("permits")) {
      undo(permit.path("id").asText());
    }
    faultTest.healAndAwaitRecovery();
  }

  private static String nextCallId() {
    return "call-" + CALL_IDS.incrementAndGet();
  }

  private static JsonNode status() {
    return faultTest
        .operator()
        .query(MAPPER.createObjectNode().put("op", "status"), 0, TIMEOUT_MILLIS);
  }

  private static ObjectNode drainEntry(String kind, String name) {
    return Operator.entry("drain").put("kind", kind).put("name", name);
  }

  private static JsonNode drain(String kind, String name) {
    return faultTest.operator().submit(drainEntry(kind, name), nextCallId(), 0, TIMEOUT_MILLIS);
  }

  /**
   * Drains a target, repeating the call until it is granted. After a change of leaders a proxy may
   * count as lost for a moment, and a refusal is then correct.
   */
  private static JsonNode awaitGranted(String kind, String name) throws InterruptedException {
    JsonNode[] outcome = new JsonNode[1];
    await(
        () -> statusOf(outcome[0] = drain(kind, name)).equals("granted"),
        () -> "last response " + outcome[0]);
    return outcome[0];
  }

  private static JsonNode undo(String permit) {
    return faultTest
        .operator()
        .submit(Operator.entry("undo").put("permit", permit), nextCallId(), 0, TIMEOUT_MILLIS);
  }

  private static String statusOf(JsonNode outcome) {
    return outcome == null ? "nothing" : outcome.path("status").asText();
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    await(condition, () -> "");
  }

  private static void await(BooleanSupplier condition, Supplier<String> lastSeen)
      throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000L;
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime())
          .as(() -> "within " + TIMEOUT_MILLIS + " ms " + lastSeen.get())
          .isLessThan(deadlineNanos);
      Thread.sleep(20);
    }
  }

  private static String outReason(String kind, String name) {
    for (JsonNode target : status().path(kind)) {
      if (target.path("name").asText().equals(name)) {
        return target.path("out").asText();
      }
    }
    return "unknown";
  }

  /** Returns the response status of a request at a proxy, or 0 if there was no response. */
  private static int request(String proxy, String id) {
    try (Socket socket = new Socket()) {
      socket.connect(faultTest.proxyAddress(proxy), 2_000);
      socket.setSoTimeout(5_000);
      socket
          .getOutputStream()
          .write(
              ("GET /list HTTP/1.1\r\nHost: t\r\nX-Request-ID: "
                      + id
                      + "\r\nConnection: close\r\n\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
      return Integer.parseInt(
          new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII)
              .substring(9));
    } catch (IOException e) {
      return 0;
    }
  }

  @Test
  @Order(8)
  void secondProxyDrainIsRefusedWhenLeaderLinkIsCut() throws Exception {
    String leader = faultTest.awaitLeader();
    String other = leader.equals("k1") ? "k2" : "k1";
    faultTest.link(leader, other).cut(true, false);
    faultTest.link(other, leader).cut(false, true);
    JsonNode first = awaitGranted("proxy", "p1");
    await(() -> faultTest.reportsNotServing("p1"));
    JsonNode second = drain("proxy", "p2");
    assertThat(statusOf(second)).isEqualTo("refused");
    assertThat(second.path("why").toString()).contains("p1");
    assertThat(faultTest.isServing("p2")).isTrue();
    undo(first.path("permit").asText());
    await(() -> faultTest.isServing("p1"));
  }

  @Test
  @Order(16)
  void concurrentDrainsAtTwoReplicasGrantOnlyOne() throws Exception {
    List<CompletableFuture<JsonNode>> responses = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      int number = i;
      responses.add(
          CompletableFuture.supplyAsync(
              () ->
                  faultTest
                      .operator()
                      .submit(
                          drainEntry("proxy", "p" + (number + 2)),
                          nextCallId(),
                          number,
                          TIMEOUT_MILLIS)));
    }
    List<String> words = new ArrayList<>();
    for (CompletableFuture<JsonNode> response : responses) {
      words.add(statusOf(response.get()));
    }
    assertThat(words).containsExactlyInAnyOrder("granted", "refused");
  }

  @Test
  @Order(2)
  void repeatedDrainHasOneOutcomeAfterLeaderIsKilled() throws Exception {
    String leader = faultTest.awaitLeader();
    String id = nextCallId();
    CompletableFuture<JsonNode> first =
        CompletableFuture.supplyAsync(
            () -> faultTest.operatorAt(leader).submit(drainEntry("host", "h1"), id, 0, 1_000));
    faultTest.replica(leader).kill();
    first.get();
    JsonNode again = faultTest.operator().submit(drainEntry("host", "h1"), id, 0, TIMEOUT_MILLIS);
    JsonNode other = faultTest.operator().submit(drainEntry("host", "h2"), id, 0, TIMEOUT_MILLIS);
    faultTest.replica(leader).start();
    assertThat(statusOf(again)).isEqualTo("granted");
    assertThat(statusOf(other)).as("the call id belongs to another drain").isEqualTo("conflict");
    assertThat(status().path("permits")).hasSize(1);
  }

  @Test
  @Order(21)
  void isolatedLeaderGrantsNothing() throws Exception {
    String leader = faultTest.awaitLeader();
    faultTest.isolate(leader);
    JsonNode alone =
        faultTest.operatorAt(leader).submit(drainEntry("proxy", "p3"), nextCallId(), 0, 3_000);
    assertThat(statusOf(alone)).isEqualTo("nothing");
    awaitGranted("proxy", "p4");
    faultTest.healLinks();
    await(() -> faultTest.reportsNotServing("p4"));
    // Entries in the log of the isolated leader that were never committed are lost or refused
    // afterwards.
    assertThat(faultTest.isServing("p3")).isTrue();
    assertThat(status().path("permits")).hasSize(1);
  }

  /**
   * Replicas are queried before they notice that their leader is cut off. Their own requests to
   * that leader, sent on behalf of these queries, must not delay the responses of the next leader.
   */
  @Test
  @Order(18)
  void followerQueriedUnderIsolatedLeaderRespondsOnceItLeads() throws Exception {
    String cut = faultTest.awaitLeader();
    List<String> others =
        List.of("k1", "k2", "k3").stream().filter(replica -> !replica.equals(cut)).toList();
    faultTest.isolate(cut);
    List<CompletableFuture<JsonNode>> responses = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      for (String replica : others) {
        responses.add(
            CompletableFuture.supplyAsync(
                () ->
                    faultTest
                        .operatorAt(replica)
                        .query(MAPPER.createObjectNode().put("op", "status"), 0, 100),
                CLIENT_POOL));
      }
      Thread.sleep(20);
    }
    responses.forEach(CompletableFuture::join);
    String[] leads = new String[1];
    await(
        () -> {
          for (String replica : others) {
            JsonNode health = health(replica);
            leads[0] =
                health != null && health.path("role").asText().equals("leader")
                    ? replica
                    : leads[0];
          }
          return leads[0] != null;
        });
    assertThat(
            faultTest
                .operatorAt(leads[0])
                .query(MAPPER.createObjectNode().put("op", "status"), 0, TIMEOUT_MILLIS))
        .as("%s leads, %s is cut off", leads[0], cut)
        .isNotNull();
    awaitGranted("proxy", "p4");
  }

  /** Guards against leases that a follower confirms: no leader would track such a lease. */
  @Test
  @Order(4)
  void onlyLeaderConfirmsStatusAndLeases() throws Exception {
    String leader = faultTest.awaitLeader();
    ObjectNode renew =
        MAPPER.createObjectNode().put("op", "renew").put("name", "p1").put("session", 1);
    for (String replica : List.of("k1", "k2", "k3")) {
      for (ObjectNode request : List.of(MAPPER.createObjectNode().put("op", "status"), renew)) {
        JsonNode outcome =
            Operator.queryOnce(
                faultTest.replicaAddress(replica),
                request.put("id", 1).put("fleet", faultTest.fleet()));
        assertThat(outcome).as("%s, %s leads", replica, leader).isNotNull();
        assertThat(outcome.path("redirect").asText())
            .isEqualTo(replica.equals(leader) ? "" : leader);
      }
    }
  }

  @Test
  @Order(11)
  void proxySuspendedForThreeLeasesIgnoresEndedGrant() throws Exception {
    faultTest.proxy("p1").suspend();
    JsonNode granted = drain("proxy", "p1");
    assertThat(statusOf(granted)).isEqualTo("granted");
    undo(granted.path("permit").asText());
    await(() -> outReason("proxies", "p1").startsWith("lost"));
    assertThat(statusOf(drain("proxy", "p2")))
        .as("a lost proxy uses up the budget")
        .isEqualTo("refused");
    Set<Boolean> seen = new TreeSet<>();
    faultTest.proxy("p1").resume();
    long until = System.nanoTime() + 3_000_000_000L;
    while (System.nanoTime() < until) {
      seen.add(faultTest.reportsNotServing("p1"));
      Thread.sleep(10);
    }
    assertThat(seen).containsExactly(false);
    await(() -> faultTest.isServing("p1"));
  }

  @Test
  @Order(10)
  void killedProxyUsesBudgetUntilItReturns() throws Exception {
    faultTest.proxy("p2").kill();
    await(() -> outReason("proxies", "p2").equals("lost"));
    JsonNode no = drain("proxy", "p3");
    assertThat(statusOf(no)).isEqualTo("refused");
    assertThat(no.path("why").toString()).contains("p2 (lost)");
    faultTest.proxy("p2").start();
    await(() -> statusOf(drain("proxy", "p3")).equals("granted"));
  }

  @Test
  @Order(15)
  void terminatedProxyCountsAsOut() throws Exception {
    assertThat(faultTest.proxy("p4").terminate(TIMEOUT_MILLIS)).isZero();
    await(() -> outReason("proxies", "p4").equals("left"));
    assertThat(statusOf(drain("proxy", "p3"))).isEqualTo("refused");
    faultTest.proxy("p4").start();
    await(() -> faultTest.isServing("p4"));
  }

  @Test
  @Order(14)
  void restartOfAllReplicasKeepsStateAndRequestsAreServedMeanwhile() throws Exception {
    JsonNode granted = drain("proxy", "p1");
    await(() -> faultTest.reportsNotServing("p1"));
    for (String replica : List.of("k1", "k2", "k3")) {
      faultTest.replica(replica).kill();
    }
    for (int i = 0; i < 50; i++) {
      assertThat(request("p" + (2 + i % 3), "gone-" + i)).isEqualTo(200);
    }
    assertThat(faultTest.reportsNotServing("p1")).isTrue();
    for (String replica : List.of("k1", "k2", "k3")) {
      faultTest.replica(replica).start();
    }
    assertThat(statusOf(drain("proxy", "p2"))).isEqualTo("refused");
    assertThat(status().path("permits").path(0).path("id")).isEqualTo(granted.path("permit"));
    undo(granted.path("permit").asText());
    await(() -> faultTest.isServing("p1"));
  }

  @Test
  @Order(12)
  void drainedUpstreamGetsNoRequestsFromRestartedProxy() throws Exception {
    JsonNode granted = drain("host", "h1");
    String permit = granted.path("permit").asText();
    await(
        () ->
            faultTest
                .operator()
                .query(
                    MAPPER.createObjectNode().put("op", "permit").put("permit", permit),
                    0,
                    TIMEOUT_MILLIS)
                .path("carried_out")
                .asBoolean());
    faultTest.proxy("p3").kill();
    faultTest.proxy("p3").start();
    await(() -> !faultTest.isServing("p3"));
    int[] served = {0};
    await(() -> request("p3", "after-" + served[0]) == 200 && ++served[0] >= 100);
    for (int i = 0; i < 100; i++) {
      assertThat(request("p" + (1 + i % 2), "beside-" + i)).isEqualTo(200);
    }
    Set<String> upstreams = new TreeSet<>();
    faultTest
        .executions()
        .forEach(
            (id, runs) -> {
              if (id.startsWith("after-") || id.startsWith("beside-")) {
                runs.forEach(r -> upstreams.add(r.upstream()));
              }
            });
    assertThat(upstreams).doesNotContain("h1").hasSize(3);
  }

  @Test
  @Order(23)
  void concurrentDrainsGrantOnlyOne() throws Exception {
    List<CompletableFuture<String>> responses = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      int number = i;
      responses.add(
          CompletableFuture.supplyAsync(
              () ->
                  statusOf(
                      faultTest
                          .operator()
                          .submit(
                              drainEntry("host", "h" + (1 + number % 4)),
                              nextCallId(),
                              number,
                              TIMEOUT_MILLIS))));
    }
    int granted = 0;
    for (CompletableFuture<String> response : responses) {
      String status = response.get();
      assertThat(status).isIn("granted", "refused");
      granted += status.equals("granted") ? 1 : 0;
    }
    assertThat(granted).isEqualTo(1);
  }

  @Test
  @Order(19)
  void restartFromSnapshotRestoresAllDecisions() throws Exception {
    String permit = drain("host", "h1").path("permit").asText();
    for (int i = 0; i < 80; i++) {
      assertThat(statusOf(drain("host", "h2"))).isEqualTo("refused");
    }
    for (String replica : List.of("k1", "k2", "k3")) {
      try (var all = Files.walk(folder.resolve(replica))) {
        assertThat(
                all.anyMatch(
                    response ->
                        response.getFileName().toString().matches("snapshot\\.[0-9]+_[0-9]+")))
            .as(replica)
            .isTrue();
      }
      faultTest.replica(replica).kill();
    }
    for (String replica : List.of("k1", "k2", "k3")) {
      faultTest.replica(replica).start();
    }
    assertThat(status().path("permits").path(0).path("id").asText()).isEqualTo(permit);
    assertThat(statusOf(drain("host", "h2"))).isEqualTo("refused");
  }

  @Test
  @Order(9)
  void haltStopsGrantsUntilResumed() {
    assertThat(
            statusOf(
                faultTest
                    .operator()
                    .submit(Operator.entry("halt"), nextCallId(), 1, TIMEOUT_MILLIS)))
        .isEqualTo("done");
    assertThat(statusOf(drain("host", "h3"))).isEqualTo("halted");
    assertThat(
            statusOf(
                faultTest
                    .operator()
                    .submit(Operator.entry("resume"), nextCallId(), 2, TIMEOUT_MILLIS)))
        .isEqualTo("done");
    assertThat(statusOf(drain("host", "h3"))).isEqualTo("granted");
  }

  private static long expiredSessions() {
    long count = 0;
    for (JsonNode event :
        faultTest
            .operator()
            .query(
                MAPPER.createObjectNode().put("op", "status").put("history", true),
                0,
                TIMEOUT_MILLIS)
            .path("history")) {
      count += event.path("op").asText().equals("expire") ? 1 : 0;
    }
    return count;
  }

  @Test
  @Order(17)
  void replicasSuspendedForThreeLeasesExpireNoSession() throws Exception {
    long before = expiredSessions();
    for (String replica : List.of("k1", "k2", "k3")) {
      faultTest.replica(replica).suspend();
    }
    Thread.sleep(3 * FaultTest.LEASE_MILLIS);
    for (int i = 0; i < 20; i++) {
      assertThat(request("p" + (1 + i % 4), "stopped-" + i)).isEqualTo(200);
    }
    for (String replica : List.of("k1", "k2", "k3")) {
      faultTest.replica(replica).resume();
    }
    faultTest.awaitLeader();
    Thread.sleep(FaultTest.LEASE_MILLIS);
    assertThat(expiredSessions()).isEqualTo(before);
    awaitGranted("proxy", "p1");
  }

  @Test
  @Order(24)
  void leaderSuspendedForThreeLeasesGrantsNothingAlone() throws Exception {
    String leader = faultTest.awaitLeader();
    faultTest.replica(leader).suspend();
    awaitGranted("proxy", "p1");
    Thread.sleep(3 * FaultTest.LEASE_MILLIS);
    faultTest.replica(leader).resume();
    JsonNode outcome =
        faultTest.operatorAt(leader).submit(drainEntry("proxy", "p2"), nextCallId(), 0, 500);
    assertThat(statusOf(outcome)).isIn("nothing", "refused");
    assertThat(status().path("permits")).hasSize(1);
  }

  @Test
  @Order(22)
  void expiredPermitOfIsolatedProxyKeepsBudgetUntilProxyServes() throws Exception {
    JsonNode granted =
        faultTest
            .operator()
            .submit(
                drainEntry("proxy", "p1").put("for_ms", 2_000), nextCallId(), 0, TIMEOUT_MILLIS);
    assertThat(statusOf(granted)).as("%s", granted).isEqualTo("granted");
    await(() -> faultTest.reportsNotServing("p1"));
    for (String replica : List.of("k1", "k2", "k3")) {
      faultTest.link("p1", replica).cut(true, true);
    }
    while (!faultTest.isServing("p1")) {
      assertThat(statusOf(drain("proxy", "p2"))).isEqualTo("refused");
    }
    assertThat(statusOf(drain("proxy", "p2")))
        .as("p1 is lost and uses up the budget")
        .isEqualTo("refused");
    faultTest.healLinks();
    await(() -> statusOf(drain("proxy", "p2")).equals("granted"));
    assertThat(faultTest.isServing("p1")).isTrue();
  }

  @Test
  @Order(20)
  void secondProcessWithSameNameWaitsForFirst() throws Exception {
    String file = Files.readString(folder.resolve("p1.toml"));
    Path second =
        Files.writeString(
            folder.resolve("p1-second.toml"),
            file.replaceFirst(
                "(?s)\\[listener.main]\naddress = \"[^\"]*\"",
                "[listener.main]\naddress = \"127.0.0.1:0\""));
    Path log = folder.resolve("p1-second.log");
    List<String> command = ManagedProcess.commandLine(64, "daemon", "--config", second.toString());
    try (ManagedProcess process = new ManagedProcess("p1-second", command, command, log)) {
      process.start();
      await(() -> read(log).contains("in use by a process whose lease is not over"));
      assertThat(read(log)).doesNotContain("ready");
      assertThat(faultTest.isServing("p1")).isTrue();
      faultTest.proxy("p1").kill();
      await(() -> read(log).contains("ready"));
    }
    faultTest.proxy("p1").start();
  }

  @Test
  @Order(5)
  void replicaWithTruncatedLogRecordRejoins() throws Exception {
    assertThat(statusOf(drain("host", "h2"))).isEqualTo("granted");
    String torn = faultTest.awaitLeader().equals("k3") ? "k2" : "k3";
    faultTest.replica(torn).kill();
    Path log;
    try (var all = Files.walk(folder.resolve(torn))) {
      log =
          all.filter(response -> response.getFileName().toString().startsWith("log_inprogress"))
              .findFirst()
              .orElseThrow();
    }
    byte[] bytes = Files.readAllBytes(log);
    int end = bytes.length;
    while (bytes[end - 1] == 0) {
      end--;
    }
    Files.write(log, java.util.Arrays.copyOf(bytes, end - 3));
    faultTest.replica(torn).start();
    await(
        () -> {
          JsonNode health =
              faultTest
                  .operatorAt(torn)
                  .query(MAPPER.createObjectNode().put("op", "health"), 0, 500);
          JsonNode status =
              faultTest.operator().query(MAPPER.createObjectNode().put("op", "status"), 0, 500);
          return health != null
              && status != null
              && health.path("applied").asLong() > 0
              && !health.path("leader").asText().isEmpty();
        });
    assertThat(status().path("permits")).hasSize(1);
  }

  private static JsonNode permit(String id) {
    return faultTest
        .operator()
        .query(MAPPER.createObjectNode().put("op", "permit").put("permit", id), 0, TIMEOUT_MILLIS);
  }

  @Test
  @Order(13)
  void suspendedProxyIsReportedUntilItAcknowledgesDrain() throws Exception {
    faultTest.proxy("p2").suspend();
    String id = drain("host", "h3").path("permit").asText();
    await(() -> permit(id).path("awaited").size() == 1);
    assertThat(permit(id).path("awaited").path("p2").asText()).contains("has not told");
    await(() -> permit(id).path("awaited").path("p2").asText().contains("may go on sending"));
    assertThat(permit(id).path("carried_out").asBoolean()).isFalse();
    faultTest.proxy("p2").resume();
    await(() -> permit(id).path("carried_out").asBoolean());
    for (int i = 0; i < 40; i++) {
      assertThat(request("p2", "woken-" + i)).isEqualTo(200);
    }
    Set<String> upstreams = new TreeSet<>();
    faultTest
        .executions()
        .forEach(
            (request, runs) -> {
              if (request.startsWith("woken-")) {
                runs.forEach(r -> upstreams.add(r.upstream()));
              }
            });
    assertThat(upstreams).doesNotContain("h3").hasSize(3);
  }

  @Test
  @Order(3)
  void upstreamEjectedByHalfOfProxiesUsesBudget() throws Exception {
    List<String> half = List.of("p1", "p2");
    half.forEach(proxy -> faultTest.link(proxy, "h4").setRefusing(true));
    AtomicInteger number = new AtomicInteger();
    await(
        () -> {
          sendConcurrently(half, "half-" + number.incrementAndGet());
          return outReason("hosts", "h4").startsWith("ejected by 2");
        });
    JsonNode no = drain("host", "h1");
    assertThat(statusOf(no)).isEqualTo("refused");
    assertThat(no.path("why").toString()).contains("h4 (ejected by 2)");
    faultTest.healLinks();
    await(
        () -> {
          sendConcurrently(half, "whole-" + number.incrementAndGet());
          return outReason("hosts", "h4").equals("null") || outReason("hosts", "h4").isEmpty();
        });
    assertThat(statusOf(drain("host", "h1"))).isEqualTo("granted");
  }

  /**
   * Sends eight concurrent requests to each proxy. While other upstreams have requests in flight,
   * an upstream without any is chosen.
   */
  private static void sendConcurrently(List<String> proxies, String id) {
    List<CompletableFuture<Integer>> responses = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      int number = i;
      proxies.forEach(
          proxy ->
              responses.add(
                  CompletableFuture.supplyAsync(
                      () -> request(proxy, id + "-" + proxy + "-" + number), CLIENT_POOL)));
    }
    responses.forEach(CompletableFuture::join);
  }

  private static final java.util.concurrent.ExecutorService CLIENT_POOL =
      java.util.concurrent.Executors.newFixedThreadPool(
          16,
          r -> {
            Thread t = new Thread(r, "crowd");
            t.setDaemon(true);
            return t;
          });

  private static JsonNode health(String replica) {
    return faultTest
        .operatorAt(replica)
        .query(MAPPER.createObjectNode().put("op", "health"), 0, 500);
  }

  @Test
  @Order(1)
  void replicaWithFullDiskBlocksNothingAndRecoversWithSpace() throws Exception {
    String full = faultTest.awaitLeader().equals("k3") ? "k2" : "k3";
    faultTest.replica(full).kill();
    faultTest.replica(full).startWithFileSizeLimit(300);
    await(() -> health(full) != null && health(full).path("applied").asLong() > 0);
    String much = "x".repeat(60_000);
    for (int i = 0; i < 12; i++) {
      JsonNode outcome =
          faultTest
              .operator()
              .submit(
                  drainEntry("host", "none-" + i).put("pad", much),
                  nextCallId(),
                  i,
                  TIMEOUT_MILLIS);
      assertThat(statusOf(outcome)).isEqualTo("unknown");
    }
    awaitGranted("host", "h1");
    assertThat(read(folder.resolve(full + ".log")))
        .as("error in the log of the replica")
        .contains("File too large");
    faultTest.replica(full).kill();
    faultTest.replica(full).start();
    long applied = health(faultTest.awaitLeader()).path("applied").asLong();
    await(() -> health(full) != null && health(full).path("applied").asLong() >= applied);
    assertThat(status().path("permits")).hasSize(1);
  }

  @Test
  @Order(7)
  void truncatedAcknowledgementIsIgnored() throws Exception {
    for (String replica : List.of("k1", "k2", "k3")) {
      faultTest.link("p2", replica).truncateNextChunk();
    }
    String permit = awaitGranted("host", "h1").path("permit").asText();
    await(() -> permit(permit).path("carried_out").asBoolean());
    for (int i = 0; i < 60; i++) {
      assertThat(request("p2", "middle-" + i)).isEqualTo(200);
    }
    Set<String> upstreams = new TreeSet<>();
    faultTest
        .executions()
        .forEach(
            (request, runs) -> {
              if (request.startsWith("middle-")) {
                runs.forEach(r -> upstreams.add(r.upstream()));
              }
            });
    assertThat(upstreams).doesNotContain("h1").isNotEmpty();
  }

  @Test
  @Order(6)
  void upstreamRestartedWhileDrainedDoesNotCollapseOnReturn() throws Exception {
    String permit = awaitGranted("host", "h1").path("permit").asText();
    await(() -> permit(permit).path("carried_out").asBoolean());
    faultTest.upstream("h1").restart();
    List<LoadGenerator> loads = new ArrayList<>();
    for (int i = 1; i <= 4; i++) {
      loads.add(
          new LoadGenerator(
              new LoadGenerator.Plan(
                  faultTest.proxyAddress("p" + i),
                  120,
                  0,
                  3,
                  16,
                  1,
                  List.of(new LoadGenerator.RequestKind("all", 1, "GET", "/list", "", 0, 3_000)),
                  "cold" + i + "-"),
              completed -> {}));
    }
    loads.forEach(LoadGenerator::start);
    undo(permit);
    for (LoadGenerator load : loads) {
      load.await();
    }
    long served = faultTest.upstream("h1").served();
    loads.forEach(LoadGenerator::close);
    assertThat(faultTest.upstream("h1").hasCollapsed()).isFalse();
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
