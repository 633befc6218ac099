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
 * What replicas cost and how soon they are whole again, on one machine: {@code bench/replicas}.
 * Prints a line a figure; each is a count or a time of this run, with its baseline beside it where
 * it has one.
 */
public final class ReplicaBenchmark {
  /** Of each kind of daemon: loads, requests a second, and seconds. */
  private static final int ROUNDS = 7;

  private static final int RATE = 600;
  private static final int ROUND_SECONDS = 4;

  private ReplicaBenchmark() {}

  public static void main(String[] args) throws Exception {
    boolean deathsAlone = args.length > 0 && args[0].equals("deaths");
    int members = args.length > 0 && !deathsAlone ? Integer.parseInt(args[0]) : 2_000;
    Path folder = Files.createTempDirectory("keepers");
    try (FaultTest rig =
        new FaultTest(new FaultTestPlan(3, 2, 12, 60, 1, Sabotage.NONE, 1), folder)) {
      rig.start();
      if (deathsAlone) {
        deaths(rig, 15);
        return;
      }
      String leader = rig.awaitLeader();
      System.out.printf(
          "a keeper's resident memory, idle: %d MB%n", residentMb(rig.replica(leader).pid()));
      rest(rig, 10);
      membership(rig, folder);
      grants(rig, 300, 1);
      grants(rig, 1_200, 16);
      herd(rig, members);
      System.out.printf(
          "the leader's resident memory with %d sessions: %d MB%n",
          members, residentMb(rig.replica(rig.awaitLeader()).pid()));
      deaths(rig, 15);
    }
  }

  private static long residentMb(long pid) throws IOException {
    for (String l : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
      if (l.startsWith("VmRSS:")) {
        return Long.parseLong(l.replaceAll("[^0-9]", "")) / 1024;
      }
    }
    return -1;
  }

  /**
   * What membership costs a daemon: the same file with [fleet] and without, in turn, at the same
   * open-loop rate.
   */
  private static void membership(FaultTest rig, Path folder) throws Exception {
    int port = ProxyFixture.freePort();
    String member = Files.readString(folder.resolve("p1.toml"));
    String alone =
        member
            .replaceFirst("(?s)\\[fleet\\].*?\\[listener", "[listener")
            .replaceFirst(
                "(?s)\\[listener.main]\naddress = \"[^\"]*\"",
                "[listener.main]\naddress = \"127.0.0.1:" + port + "\"");
    Path file = Files.writeString(folder.resolve("alone.toml"), alone);
    List<String> command = ManagedProcess.commandLine(64, "daemon", "--config", file.toString());
    try (ManagedProcess child =
        new ManagedProcess("alone", command, command, folder.resolve("alone.log"))) {
      child.start();
      Round[] with = new Round[ROUNDS];
      Round[] without = new Round[ROUNDS];
      InetSocketAddress there = new InetSocketAddress("127.0.0.1", port);
      Thread.sleep(3_000);
      Round.of(rig.proxyAddress("p1"), rig.proxy("p1").pid(), "warm-a");
      Round.of(there, child.pid(), "warm-b");
      for (int i = 0; i < ROUNDS; i++) {
        with[i] = Round.of(rig.proxyAddress("p1"), rig.proxy("p1").pid(), "with" + i);
        without[i] = Round.of(there, child.pid(), "without" + i);
      }
      for (Round[] r : List.of(with, without)) {
        System.out.printf(
            "a daemon %s [fleet], %d rounds of %d/s: served %.5f, p99 %.2f ms, %.1f ms of processor time for 1,000 requests (medians), resident %d MB%n",
            r == with ? "with" : "without",
            ROUNDS,
            RATE,
            median(r, Round::served),
            median(r, Round::p99Ms),
            median(r, Round::cpuMs),
            residentMb(r == with ? rig.proxy("p1").pid() : child.pid()));
      }
    }
  }

  private static double median(Round[] rounds, ToDoubleFunction<Round> what) {
    return Arrays.stream(rounds)
        .mapToDouble(what)
        .sorted()
        .skip(ROUNDS / 2)
        .findFirst()
        .orElseThrow();
  }

  /**
   * One load on one daemon: the part served, its p99, and the daemon's processor time for 1,000
   * requests.
   */
  private record Round(double served, double p99Ms, double cpuMs) {
    static Round of(InetSocketAddress to, long pid, String prefix) throws Exception {
      LoadGenerator.RequestKind kind =
          new LoadGenerator.RequestKind("all", 1, "GET", "/list", "", 0, 3_000);
      long before = cpuMs(pid);
      try (LoadGenerator l =
          new LoadGenerator(
              new LoadGenerator.Plan(to, RATE, 0, ROUND_SECONDS, 64, 1, List.of(kind), prefix),
              null)) {
        l.start().await();
        double sent = Math.max(1, l.sent());
        return new Round(
            l.count(LoadGenerator.Outcome.SERVED) / sent,
            l.served(0).getValueAtPercentile(99) / 1e6,
            (cpuMs(pid) - before) * 1_000.0 / sent);
      }
    }

    /**
     * User and system time of a process so far, by proc(5): fields 14 and 15, in hundredths of a
     * second.
     */
    private static long cpuMs(long pid) throws IOException {
      String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
      String[] f = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
      return (Long.parseLong(f[11]) + Long.parseLong(f[12])) * 10;
    }
  }

  private static long applied(FaultTest rig) throws Exception {
    return rig.operatorAt(rig.awaitLeader())
        .query(Json.object().put("op", "health"), 0, 2_000)
        .path("applied")
        .asLong();
  }

  private static void rest(FaultTest rig, int seconds) throws Exception {
    long before = applied(rig);
    Thread.sleep(seconds * 1_000L);
    System.out.printf(
        "entries a minute at rest, two daemons: %d%n", (applied(rig) - before) * 60 / seconds);
  }

  /** Pairs of a drain and its undo, by so many operators at once. */
  private static void grants(FaultTest rig, int calls, int operators) throws InterruptedException {
    AtomicLong done = new AtomicLong();
    CountDownLatch over = new CountDownLatch(operators);
    long start = System.nanoTime();
    for (int i = 0; i < operators; i++) {
      int n = i;
      new Thread(
              () -> {
                for (int c = 0; c < calls / operators; c++) {
                  JsonNode o =
                      rig.operator()
                          .submit(
                              Operator.entry("drain")
                                  .put("kind", "host")
                                  .put("name", "h" + (1 + (n + c) % 12)),
                              "b" + operators + "-" + n + "-" + c,
                              n,
                              10_000);
                  if (o != null) {
                    done.incrementAndGet();
                    if (o.has("permit") && o.path("status").asText().equals("granted")) {
                      rig.operator()
                          .submit(
                              Operator.entry("undo").put("permit", o.path("permit").asText()),
                              "u" + operators + "-" + n + "-" + c,
                              n,
                              10_000);
                      done.incrementAndGet();
                    }
                  }
                }
                over.countDown();
              })
          .start();
    }
    over.await();
    System.out.printf(
        "decisions a second, %d operators, a connection a call: %.0f%n",
        operators, done.get() / ((System.nanoTime() - start) / 1e9));
  }

  /** So many real sessions, joined at once and kept for a while. */
  private static void herd(FaultTest rig, int members) throws Exception {
    int threads = 32;
    Map<String, InetSocketAddress> keepers = new LinkedHashMap<>();
    int k = 0;
    for (InetSocketAddress a : rig.replicaAddresses()) {
      keepers.put("k" + ++k, a);
    }
    AtomicLong joined = new AtomicLong();
    AtomicLong renewed = new AtomicLong();
    AtomicLong lost = new AtomicLong();
    CountDownLatch over = new CountDownLatch(threads);
    long start = System.nanoTime();
    AtomicLong allIn = new AtomicLong();
    long end = start + 30_000_000_000L;
    for (int t = 0; t < threads; t++) {
      int first = t;
      new Thread(
              () -> {
                List<ReplicaClient> clients = new ArrayList<>();
                List<Long> sessions = new ArrayList<>();
                try {
                  for (int m = first; m < members; m += threads) {
                    ReplicaClient c = new ReplicaClient(rig.fleet(), keepers, x -> {});
                    ObjectNode e =
                        Json.object()
                            .put("op", "join")
                            .put("name", "m" + m)
                            .put("incarnation", "i")
                            .put("lease_ms", 12_000);
                    JsonNode o =
                        c.call(
                            Json.object().put("op", "submit").set("entry", e),
                            System.nanoTime() + 20_000_000_000L);
                    clients.add(c);
                    sessions.add(o.path("session").asLong());
                    if (joined.incrementAndGet() == members) {
                      allIn.set(System.nanoTime() - start);
                    }
                  }
                  while (System.nanoTime() < end) {
                    for (int i = 0; i < clients.size() && System.nanoTime() < end; i++) {
                      JsonNode o =
                          clients
                              .get(i)
                              .call(
                                  Json.object()
                                      .put("op", "renew")
                                      .put("name", "m" + (first + i * threads))
                                      .put("session", sessions.get(i)),
                                  System.nanoTime() + 10_000_000_000L);
                      (o.path("status").asText().equals("done") ? renewed : lost).incrementAndGet();
                    }
                  }
                } catch (ReplicaClient.UnreachableException e) {
                  lost.incrementAndGet();
                } finally {
                  clients.forEach(ReplicaClient::close);
                  over.countDown();
                }
              })
          .start();
    }
    over.await();
    System.out.printf(
        "%d sessions joined in %.1f s; then %.0f renewals a second, %d lost%n",
        joined.get(), allIn.get() / 1e9, renewed.get() / ((30e9 - allIn.get()) / 1e9), lost.get());
  }

  /**
   * From the kill of the leader to the next grant, beside the time of a grant where nobody dies.
   */
  private static void deaths(FaultTest rig, int times) throws Exception {
    List<Long> usual = new ArrayList<>();
    List<Long> dead = new ArrayList<>();
    for (int i = 0; i < times; i++) {
      usual.add(granted(rig, "usual-" + i, i));
      String leader = rig.awaitLeader();
      rig.replica(leader).kill();
      dead.add(granted(rig, "death-" + i, i));
      rig.replica(leader).start();
      Thread.sleep(3_000);
    }
    Collections.sort(usual);
    Collections.sort(dead);
    System.out.printf(
        "from a leader's death to the next grant, %d deaths: median %d ms, most %d ms; a grant without one: median %d ms, most %d ms%n",
        times,
        dead.get(times / 2),
        dead.get(times - 1),
        usual.get(times / 2),
        usual.get(times - 1));
  }

  /**
   * How long (ms) until a drain is granted, asked for again while it is refused; it is given back.
   */
  private static long granted(FaultTest rig, String id, int first) {
    long start = System.nanoTime();
    for (int n = 0; System.nanoTime() - start < 30_000_000_000L; n++) {
      JsonNode o =
          rig.operator()
              .submit(
                  Operator.entry("drain").put("kind", "host").put("name", "h" + (1 + first % 12)),
                  id + "-" + n,
                  first,
                  30_000);
      if (o != null && o.path("status").asText().equals("granted")) {
        long ms = (System.nanoTime() - start) / 1_000_000;
        rig.operator()
            .submit(
                Operator.entry("undo").put("permit", o.path("permit").asText()),
                id + "-undo",
                first,
                30_000);
        return ms;
      }
    }
    throw new IllegalStateException("no grant within 30 s");
  }
}
