package leadferry.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import leadferry.consensus.Json;
import leadferry.testbed.FaultTest;
import leadferry.testbed.FaultTestPlan;
import leadferry.testbed.Operator;
import leadferry.testbed.Sabotage;

/**
 * Searches for calls that are lost after the replicas confirmed them. It crashes the leader and the
 * only follower that is up to date while the other follower is behind, then looks for a confirmed
 * call that is missing from the replicated history. Started by {@code java -cp "$(bench/classpath)"
 * leadferry.bench.LostGrantSearch SECONDS SEED}.
 */
public final class LostGrantSearch {
  private LostGrantSearch() {}

  /** Runs the search for {@code SECONDS} and prints the lost calls. */
  public static void main(String[] args) throws Exception {
    int seconds = Integer.parseInt(args[0]);
    Random random = new Random(Long.parseLong(args[1]));
    Path folder = Files.createTempDirectory("hunt");
    try (FaultTest faultTest =
        new FaultTest(new FaultTestPlan(3, 1, 2, 60, 1, Sabotage.NONE, 1), folder)) {
      faultTest.start();
      ConcurrentLinkedQueue<String> confirmed = new ConcurrentLinkedQueue<>();
      AtomicBoolean stopped = new AtomicBoolean();
      List<Thread> writers = new ArrayList<>();
      for (int index = 0; index < 4; index++) {
        int writer = index;
        Thread thread =
            new Thread(
                () -> {
                  for (int i = 0; !stopped.get() && i < 480; i++) {
                    JsonNode response =
                        faultTest
                            .operator()
                            .submit(
                                Operator.entry("resume"), "w" + writer + "-" + i, writer, 15_000);
                    if (response != null && response.path("status").asText().equals("done")) {
                      confirmed.add("w" + writer + "-" + i);
                    }
                    try {
                      Thread.sleep(40);
                    } catch (InterruptedException e) {
                      return;
                    }
                  }
                });
        thread.start();
        writers.add(thread);
      }
      int faults = 0;
      long endNanos = System.nanoTime() + seconds * 1_000_000_000L;
      while (System.nanoTime() < endNanos) {
        String leader = faultTest.awaitLeader();
        List<String> others = new ArrayList<>(List.of("k1", "k2", "k3"));
        others.remove(leader);
        java.util.Collections.shuffle(others, random);
        // One follower is behind. Calls that the leader and the other follower confirmed must
        // survive the crash of both.
        faultTest.replica(others.get(0)).suspend();
        Thread.sleep(200 + random.nextInt(400));
        faultTest.replica(others.get(1)).kill();
        if (random.nextBoolean()) {
          faultTest.replica(others.get(1)).start();
          Thread.sleep(1_200 + random.nextInt(600));
          faultTest.replica(others.get(1)).kill();
        }
        faultTest.replica(leader).kill();
        faultTest.replica(others.get(1)).start();
        faultTest.replica(others.get(0)).resume();
        Thread.sleep(2_500);
        faultTest.replica(leader).start();
        Thread.sleep(1_500);
        faults++;
      }
      stopped.set(true);
      for (Thread thread : writers) {
        thread.join();
      }
      JsonNode status =
          faultTest
              .operator()
              .query(Json.object().put("op", "status").put("history", true), 0, 30_000);
      Set<String> known = new HashSet<>();
      status.path("history").forEach(entry -> known.add(entry.path("call").asText()));
      List<String> lost = confirmed.stream().filter(call -> !known.contains(call)).toList();
      System.out.printf(
          "%d faults, %d calls confirmed, %d calls in the history, lost: %s, files: %s%n",
          faults, confirmed.size(), known.size(), lost, folder);
    }
  }
}
