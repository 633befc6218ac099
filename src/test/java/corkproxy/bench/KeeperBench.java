package corkproxy.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import corkproxy.quorum.Json;
import corkproxy.quorum.KeeperClient;
import corkproxy.standin.FaultRun;
import corkproxy.standin.Operator;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What keepers cost and how soon they are whole again, on one machine: {@code bench/keepers}. Prints a line a figure; each is a
 * count or a time of this run, with its baseline beside it where it has one.
 */
public final class KeeperBench {
  private KeeperBench() {}

  public static void main(String[] args) throws Exception {
    int members = args.length > 0 ? Integer.parseInt(args[0]) : 2_000;
    Path folder = Files.createTempDirectory("keepers");
    try (FaultRun rig = new FaultRun(new FaultRun.Plan(3, 2, 12, 60, 1, FaultRun.Sabotage.NONE, 1), folder)) {
      rig.start();
      String leader = rig.leader();
      System.out.printf("a keeper's resident memory, idle: %d MB%n", residentMb(rig.keeper(leader).pid()));
      rest(rig, 10);
      grants(rig, 300, 1);
      grants(rig, 1_200, 16);
      herd(rig, members);
      System.out.printf("the leader's resident memory with %d sessions: %d MB%n", members, residentMb(rig.keeper(rig.leader()).pid()));
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

  private static long applied(FaultRun rig) throws Exception {
    return rig.operatorAt(rig.leader()).ask(Json.object().put("op", "health"), 0, 2_000).path("applied").asLong();
  }

  private static void rest(FaultRun rig, int seconds) throws Exception {
    long before = applied(rig);
    Thread.sleep(seconds * 1_000L);
    System.out.printf("entries a minute at rest, two daemons: %d%n", (applied(rig) - before) * 60 / seconds);
  }

  /** Pairs of a drain and its undo, by so many operators at once. */
  private static void grants(FaultRun rig, int calls, int operators) throws InterruptedException {
    AtomicLong done = new AtomicLong();
    CountDownLatch over = new CountDownLatch(operators);
    long start = System.nanoTime();
    for (int i = 0; i < operators; i++) {
      int n = i;
      new Thread(() -> {
        for (int c = 0; c < calls / operators; c++) {
          JsonNode o = rig.operator().change(
              Operator.entry("drain").put("kind", "host").put("name", "h" + (1 + (n + c) % 12)), "b" + operators + "-" + n + "-" + c, n, 10_000);
          if (o != null) {
            done.incrementAndGet();
            if (o.has("permit") && o.path("status").asText().equals("granted")) {
              rig.operator().change(Operator.entry("undo").put("permit", o.path("permit").asText()), "u" + operators + "-" + n + "-" + c, n, 10_000);
              done.incrementAndGet();
            }
          }
        }
        over.countDown();
      }).start();
    }
    over.await();
    System.out.printf("decisions a second, %d operators, a connection a call: %.0f%n", operators, done.get() / ((System.nanoTime() - start) / 1e9));
  }

  /** So many real sessions, joined at once and kept for a while. */
  private static void herd(FaultRun rig, int members) throws Exception {
    int threads = 32;
    Map<String, InetSocketAddress> keepers = new LinkedHashMap<>();
    int k = 0;
    for (InetSocketAddress a : rig.keeperApis()) {
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
      new Thread(() -> {
        List<KeeperClient> clients = new ArrayList<>();
        List<Long> sessions = new ArrayList<>();
        try {
          for (int m = first; m < members; m += threads) {
            KeeperClient c = new KeeperClient(rig.fleet(), keepers, x -> {});
            ObjectNode e = Json.object().put("op", "join").put("name", "m" + m).put("incarnation", "i").put("lease_ms", 12_000);
            JsonNode o = c.call(Json.object().put("op", "submit").set("entry", e), System.nanoTime() + 20_000_000_000L);
            clients.add(c);
            sessions.add(o.path("session").asLong());
            if (joined.incrementAndGet() == members) {
              allIn.set(System.nanoTime() - start);
            }
          }
          while (System.nanoTime() < end) {
            for (int i = 0; i < clients.size() && System.nanoTime() < end; i++) {
              JsonNode o = clients.get(i).call(
                  Json.object().put("op", "renew").put("name", "m" + (first + i * threads)).put("session", sessions.get(i)),
                  System.nanoTime() + 10_000_000_000L);
              (o.path("status").asText().equals("done") ? renewed : lost).incrementAndGet();
            }
          }
        } catch (KeeperClient.UnreachableException e) {
          lost.incrementAndGet();
        } finally {
          clients.forEach(KeeperClient::close);
          over.countDown();
        }
      }).start();
    }
    over.await();
    System.out.printf(
        "%d sessions joined in %.1f s; then %.0f renewals a second, %d lost%n", joined.get(), allIn.get() / 1e9,
        renewed.get() / ((30e9 - allIn.get()) / 1e9), lost.get());
  }

  /** From the kill of the leader to the next decision. */
  private static void deaths(FaultRun rig, int times) throws Exception {
    List<Long> ms = new ArrayList<>();
    for (int i = 0; i < times; i++) {
      String leader = rig.leader();
      rig.keeper(leader).kill();
      long at = System.nanoTime();
      JsonNode o = rig.operator().change(Operator.entry("resume"), "death-" + i, i, 30_000);
      if (o == null) {
        throw new IllegalStateException("no decision within 30 s");
      }
      ms.add((System.nanoTime() - at) / 1_000_000);
      rig.keeper(leader).start();
      Thread.sleep(3_000);
    }
    Collections.sort(ms);
    System.out.printf("from a leader's death to the next decision, %d deaths: median %d ms, most %d ms%n", times, ms.get(times / 2), ms.get(times - 1));
  }
}
