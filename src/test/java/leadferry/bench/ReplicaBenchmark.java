package leadferry.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.ToDoubleFunction;
import leadferry.consensus.Json;
import leadferry.consensus.ReplicaClient;
import leadferry.proxy.ProxyFixture;
import leadferry.testbed.FaultTest;
import leadferry.testbed.FaultTestPlan;
import leadferry.testbed.LoadGenerator;
import leadferry.testbed.ManagedProcess;
import leadferry.testbed.Operator;
import leadferry.testbed.Sabotage;

/**
 * Measures the cost of the replicas and the time they need to recover, on one machine; started by
 * {@code bench/keepers}. Prints one line per figure. Each figure is a count or a time of this run,
 * with its baseline beside it where it has one.
 */
public final class ReplicaBenchmark {
  /**
   * Number of rounds for each kind of daemon; each lasts {@link #ROUND_SECONDS} at {@link #RATE}
   * requests per second.
   */
  private static final int ROUNDS = 7;

  private static final int RATE = 600;
  private static final int ROUND_SECONDS = 4;

  private ReplicaBenchmark() {}

  /**
   * Prints all figures for the number of sessions in the first argument, 2,000 by default; with the
   * argument {@code deaths}, prints only the recovery time after crashes of the leader.
   */
  public static void main(String[] args) throws Exception {
    boolean crashesOnly = args.length > 0 && args[0].equals("deaths");
    int sessionCount = args.length > 0 && !crashesOnly ? Integer.parseInt(args[0]) : 2_000;
    Path folder = Files.createTempDirectory("keepers");
    try (FaultTest faultTest =
        new FaultTest(new FaultTestPlan(3, 2, 12, 60, 1, Sabotage.NONE, 1), folder)) {
      faultTest.start();
      if (crashesOnly) {
        leaderCrashes(faultTest, 15);
        return;
      }
      String leader = faultTest.awaitLeader();
      System.out.printf(
          "replica resident memory, idle: %d MB%n", residentMb(faultTest.replica(leader).pid()));
      idleEntries(faultTest, 10);
      membershipCost(faultTest, folder);
      decisionRate(faultTest, 300, 1);
      decisionRate(faultTest, 1_200, 16);
      sessionLoad(faultTest, sessionCount);
      System.out.printf(
          "leader resident memory with %d sessions: %d MB%n",
          sessionCount, residentMb(faultTest.replica(faultTest.awaitLeader()).pid()));
      leaderCrashes(faultTest, 15);
    }
  }

  private static long residentMb(long pid) throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
      if (line.startsWith("VmRSS:")) {
        return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024;
      }
    }
    return -1;
  }

  /**
   * Measures the cost of fleet membership for a daemon: alternating rounds with and without the
   * section [fleet] in the same file, at the same open-loop rate.
   */
  private static void membershipCost(FaultTest faultTest, Path folder) throws Exception {
    int port = ProxyFixture.freePort();
    String withFleet = Files.readString(folder.resolve("p1.toml"));
    String withoutFleet =
        withFleet
            .replaceFirst("(?s)\\[fleet\\].*?\\[listener", "[listener")
            .replaceFirst(
                "(?s)\\[listener.main]\naddress = \"[^\"]*\"",
                "[listener.main]\naddress = \"127.0.0.1:" + port + "\"");
    Path file = Files.writeString(folder.resolve("alone.toml"), withoutFleet);
    List<String> command = ManagedProcess.commandLine(64, "daemon", "--config", file.toString());
    try (ManagedProcess daemon =
        new ManagedProcess("alone", command, command, folder.resolve("alone.log"))) {
      daemon.start();
      Round[] with = new Round[ROUNDS];
      Round[] without = new Round[ROUNDS];
      InetSocketAddress address = new InetSocketAddress("127.0.0.1", port);
      Thread.sleep(3_000);
      Round.of(faultTest.proxyAddress("p1"), faultTest.proxy("p1").pid(), "warm-a");
      Round.of(address, daemon.pid(), "warm-b");
      for (int i = 0; i < ROUNDS; i++) {
        with[i] = Round.of(faultTest.proxyAddress("p1"), faultTest.proxy("p1").pid(), "with" + i);
        without[i] = Round.of(address, daemon.pid(), "without" + i);
      }
      for (Round[] rounds : List.of(with, without)) {
        System.out.printf(
            "daemon %s [fleet], %d rounds at %d requests/s: served share %.5f, p99 %.2f ms, CPU time %.1f ms per 1,000 requests (medians), resident memory %d MB%n",
            rounds == with ? "with" : "without",
            ROUNDS,
            RATE,
            median(rounds, Round::servedShare),
            median(rounds, Round::p99Ms),
            median(rounds, Round::cpuMs),
            residentMb(rounds == with ? faultTest.proxy("p1").pid() : daemon.pid()));
      }
    }
  }

  private static double median(Round[] rounds, ToDoubleFunction<Round> figure) {
    return Arrays.stream(rounds)
        .mapToDouble(figure)
        .sorted()
        .skip(ROUNDS / 2)
        .findFirst()
        .orElseThrow();
  }

  /**
   * Result of one round of load on a daemon: the share of requests served, their 99th percentile,
   * and the CPU time of the daemon per 1,000 requests.
   */
  private record Round(double servedShare, double p99Ms, double cpuMs) {
    static Round of(InetSocketAddress address, long pid, String idPrefix) throws Exception {
      LoadGenerator.RequestKind kind =
          new LoadGenerator.RequestKind("all", 1, "GET", "/list", "", 0, 3_000);
      long cpuBeforeMs = cpuMs(pid);
      try (LoadGenerator generator =
          new LoadGenerator(
              new LoadGenerator.Plan(
                  address, RATE, 0, ROUND_SECONDS, 64, 1, List.of(kind), idPrefix),
              null)) {
        generator.start().await();
        double sent = Math.max(1, generator.sent());
        return new Round(
            generator.count(LoadGenerator.Outcome.SERVED) / sent,
            generator.served(0).getValueAtPercentile(99) / 1e6,
            (cpuMs(pid) - cpuBeforeMs) * 1_000.0 / sent);
      }
    }

    /**
     * Returns the user and system time of a process so far in milliseconds: fields 14 and 15 of
     * /proc/PID/stat, in hundredths of a second (proc(5)).
     */
    private static long cpuMs(long pid) throws IOException {
      String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
      String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
      return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) * 10;
    }
  }

  private static long appliedEntries(FaultTest faultTest) throws Exception {
    return faultTest
        .operatorAt(faultTest.awaitLeader())
        .query(Json.object().put("op", "health"), 0, 2_000)
        .path("applied")
        .asLong();
  }

  private static void idleEntries(FaultTest faultTest, int seconds) throws Exception {
    long before = appliedEntries(faultTest);
    Thread.sleep(seconds * 1_000L);
    System.out.printf(
        "log entries per minute without calls, two daemons: %d%n",
        (appliedEntries(faultTest) - before) * 60 / seconds);
  }

  /**
   * Measures decisions per second: pairs of a drain and its undo, by {@code operators} operators at
   * once.
   */
  private static void decisionRate(FaultTest faultTest, int calls, int operators)
      throws InterruptedException {
    AtomicLong done = new AtomicLong();
    CountDownLatch finished = new CountDownLatch(operators);
    long startNanos = System.nanoTime();
    for (int i = 0; i < operators; i++) {
      int operator = i;
      new Thread(
              () -> {
                for (int call = 0; call < calls / operators; call++) {
                  JsonNode response =
                      faultTest
                          .operator()
                          .submit(
                              Operator.entry("drain")
                                  .put("kind", "host")
                                  .put("name", "h" + (1 + (operator + call) % 12)),
                              "b" + operators + "-" + operator + "-" + call,
                              operator,
                              10_000);
                  if (response != null) {
                    done.incrementAndGet();
                    if (response.has("permit")
                        && response.path("status").asText().equals("granted")) {
                      faultTest
                          .operator()
                          .submit(
                              Operator.entry("undo")
                                  .put("permit", response.path("permit").asText()),
                              "u" + operators + "-" + operator + "-" + call,
                              operator,
                              10_000);
                      done.incrementAndGet();
                    }
                  }
                }
                finished.countDown();
              })
          .start();
    }
    finished.await();
    System.out.printf(
        "decisions per second, %d operators, one connection per call: %.0f%n",
        operators, done.get() / ((System.nanoTime() - startNanos) / 1e9));
  }

  /**
   * Opens {@code sessionCount} real sessions at once and renews them for 30 seconds from the start.
   */
  private static void sessionLoad(FaultTest faultTest, int sessionCount) throws Exception {
    int threads = 32;
    Map<String, InetSocketAddress> replicas = new LinkedHashMap<>();
    int replicaCount = 0;
    for (InetSocketAddress address : faultTest.replicaAddresses()) {
      replicas.put("k" + ++replicaCount, address);
    }
    AtomicLong joined = new AtomicLong();
    AtomicLong renewed = new AtomicLong();
    AtomicLong lost = new AtomicLong();
    CountDownLatch finished = new CountDownLatch(threads);
    long startNanos = System.nanoTime();
    AtomicLong allJoinedNanos = new AtomicLong();
    long endNanos = startNanos + 30_000_000_000L;
    for (int index = 0; index < threads; index++) {
      int first = index;
      new Thread(
              () -> {
                List<ReplicaClient> clients = new ArrayList<>();
                List<Long> sessions = new ArrayList<>();
                try {
                  for (int member = first; member < sessionCount; member += threads) {
                    ReplicaClient client =
                        new ReplicaClient(faultTest.fleet(), replicas, message -> {});
                    ObjectNode entry =
                        Json.object()
                            .put("op", "join")
                            .put("name", "m" + member)
                            .put("incarnation", "i")
                            .put("lease_ms", 12_000);
                    JsonNode response =
                        client.call(
                            Json.object().put("op", "submit").set("entry", entry),
                            System.nanoTime() + 20_000_000_000L);
                    clients.add(client);
                    sessions.add(response.path("session").asLong());
                    if (joined.incrementAndGet() == sessionCount) {
                      allJoinedNanos.set(System.nanoTime() - startNanos);
                    }
                  }
                  while (System.nanoTime() < endNanos) {
                    for (int i = 0; i < clients.size() && System.nanoTime() < endNanos; i++) {
                      JsonNode response =
                          clients
                              .get(i)
                              .call(
                                  Json.object()
                                      .put("op", "renew")
                                      .put("name", "m" + (first + i * threads))
                                      .put("session", sessions.get(i)),
                                  System.nanoTime() + 10_000_000_000L);
                      (response.path("status").asText().equals("done") ? renewed : lost)
                          .incrementAndGet();
                    }
                  }
                } catch (ReplicaClient.UnreachableException entry) {
                  lost.incrementAndGet();
                } finally {
                  clients.forEach(ReplicaClient::close);
                  finished.countDown();
                }
              })
          .start();
    }
    finished.await();
    System.out.printf(
        "%d sessions joined in %.1f s; then %.0f renewals per second, %d failed%n",
        joined.get(),
        allJoinedNanos.get() / 1e9,
        renewed.get() / ((30e9 - allJoinedNanos.get()) / 1e9),
        lost.get());
  }

  /**
   * Measures the time from the kill of the leader to the next grant, and as baseline the time of a
   * grant without a crash.
   */
  private static void leaderCrashes(FaultTest faultTest, int crashes) throws Exception {
    List<Long> withoutCrashMs = new ArrayList<>();
    List<Long> afterCrashMs = new ArrayList<>();
    for (int i = 0; i < crashes; i++) {
      withoutCrashMs.add(millisUntilGranted(faultTest, "usual-" + i, i));
      String leader = faultTest.awaitLeader();
      faultTest.replica(leader).kill();
      afterCrashMs.add(millisUntilGranted(faultTest, "death-" + i, i));
      faultTest.replica(leader).start();
      Thread.sleep(3_000);
    }
    Collections.sort(withoutCrashMs);
    Collections.sort(afterCrashMs);
    System.out.printf(
        "time from a leader crash to the next grant, %d crashes: median %d ms, maximum %d ms; grant without a crash: median %d ms, maximum %d ms%n",
        crashes,
        afterCrashMs.get(crashes / 2),
        afterCrashMs.get(crashes - 1),
        withoutCrashMs.get(crashes / 2),
        withoutCrashMs.get(crashes - 1));
  }

  /**
   * Requests a drain until it is granted and returns the time this took in milliseconds; undoes the
   * drain afterwards.
   */
  private static long millisUntilGranted(FaultTest faultTest, String idPrefix, int operator) {
    long startNanos = System.nanoTime();
    for (int call = 0; System.nanoTime() - startNanos < 30_000_000_000L; call++) {
      JsonNode response =
          faultTest
              .operator()
              .submit(
                  Operator.entry("drain")
                      .put("kind", "host")
                      .put("name", "h" + (1 + operator % 12)),
                  idPrefix + "-" + call,
                  operator,
                  30_000);
      if (response != null && response.path("status").asText().equals("granted")) {
        long tookMs = (System.nanoTime() - startNanos) / 1_000_000;
        faultTest
            .operator()
            .submit(
                Operator.entry("undo").put("permit", response.path("permit").asText()),
                idPrefix + "-undo",
                operator,
                30_000);
        return tookMs;
      }
    }
    throw new IllegalStateException("no grant within 30 s");
  }
}
