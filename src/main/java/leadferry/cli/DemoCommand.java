package leadferry.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import leadferry.daemon.ConfigurationException;
import leadferry.daemon.Daemon;
import leadferry.engine.LineLog;
import leadferry.testbed.ExecutionLog;
import leadferry.testbed.FakeUpstream;
import leadferry.testbed.LoadGenerator;
import leadferry.testbed.LoadGenerator.Outcome;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs the daemon and fake upstreams under load in one process, injects a fault and a drain, and
 * checks the delivery rules afterwards.
 */
@Command(
    name = "demo",
    mixinStandardHelpOptions = true,
    description = {
      "Runs the daemon with three fake upstreams on loopback under a load of three request classes.",
      "After a third of the run one upstream stops responding, and recovers at half time.",
      "At 70 percent of the run a reload drains another upstream and adds a cold one.",
      "Prints a table of request classes, upstreams and rules at the end."
    },
    footer = {"", "Exit status: 0 if all rules held, 1 if one was violated."})
final class DemoCommand implements Callable<Integer> {
  private static final long KEYED_WINDOW_MILLIS = 750;
  private static final long DRAIN_GRACE_MILLIS = 500;

  @Option(
      names = "--seconds",
      defaultValue = "60",
      description = "Duration of the load in seconds, 3 to 600.")
  private double seconds;

  @Option(names = "--rate", defaultValue = "200", description = "Requests per second, 1 to 1000.")
  private double rate;

  @Option(names = "--json", description = "Prints the result as JSON on standard output.")
  private boolean json;

  private final ExecutionLog executionLog = new ExecutionLog(2_000_000);
  private final List<FakeUpstream> upstreams = new ArrayList<>();
  private final ConcurrentLinkedQueue<LoadGenerator.CompletedRequest> completedRequests =
      new ConcurrentLinkedQueue<>();
  private final List<LoadGenerator.RequestKind> requestKinds =
      List.of(
          requestKind("visit-claim", 5, "POST", "", 800),
          requestKind("visit-log", 3, "POST", "Idempotency-Key: ", 1_200),
          requestKind("visit-list", 2, "GET", "", 600));

  private static LoadGenerator.RequestKind requestKind(
      String name, double weight, String method, String keyHeader, long deadlineMillis) {
    return new LoadGenerator.RequestKind(
        name,
        weight,
        method,
        "/" + name,
        "X-Tenant-Id: demo\r\n" + keyHeader,
        method.equals("GET") ? 0 : 200,
        deadlineMillis);
  }

  @Override
  public Integer call() throws IOException, InterruptedException {
    seconds = Math.max(3, Math.min(600, seconds));
    rate = Math.max(1, Math.min(1_000, rate));
    Path configFile = Files.createTempFile("leadferry-demo", ".toml");
    PrintStream discardedOutput =
        new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8);
    for (int i = 0; i < 3; i++) {
      upstreams.add(startUpstream("h" + (i + 1), 0, i));
    }
    try {
      Files.writeString(configFile, config(List.of(), 3));
      try (Daemon daemon =
              new Daemon(
                  configFile, form -> new LineLog(json ? discardedOutput : System.err, false));
          LoadGenerator load =
              new LoadGenerator(
                  new LoadGenerator.Plan(
                      daemon.address("main"), rate, 0, seconds, 512, 1, requestKinds, "demo-"),
                  completedRequests::add)) {
        load.start();
        ProgressLine progress = new ProgressLine();
        Thread progressThread = progress.start(() -> load.completed() + " requests completed");
        sleepForShare(0.33);
        upstreams.get(2).setFault(FakeUpstream.Fault.SILENT, 1);
        sleepForShare(0.17);
        upstreams.get(2).setFault(FakeUpstream.Fault.NONE, 0);
        sleepForShare(0.2);
        upstreams.add(startUpstream("h4", 2_000, 4));
        Files.writeString(configFile, config(List.of("h1"), 4));
        boolean reloaded = daemon.reload();
        long drainedAtNanos = System.nanoTime();
        load.await();
        progress.stop(progressThread);
        return printResult(load, reloaded, drainedAtNanos);
      }
    } catch (ConfigurationException e) {
      System.err.println(e.getMessage());
      return 1;
    } finally {
      upstreams.forEach(FakeUpstream::close);
      Files.deleteIfExists(configFile);
    }
  }

  private FakeUpstream startUpstream(String name, double warmUpMillis, long seed) {
    return new FakeUpstream(
        new FakeUpstream.Options(
            name, "p1", 0, 15, 3, 60, warmUpMillis, 0.3, 400, true, 200, 11 + seed),
        executionLog);
  }

  private void sleepForShare(double shareOfRun) throws InterruptedException {
    Thread.sleep((long) (shareOfRun * seconds * 1e3));
  }

  private String config(List<String> draining, int count) {
    StringBuilder toml = new StringBuilder();
    toml.append(
        """
        [listener.main]
        address = "127.0.0.1:0"
        [class.visit-claim]
        aim_ms = 400
        deadline_ms = 800
        worth = 8
        repeat = "unsafe"
        [class.visit-log]
        aim_ms = 400
        deadline_ms = 1200
        worth = 5
        repeat = "keyed"
        scope = "pod"
        window_ms = 750
        [class.visit-list]
        aim_ms = 300
        deadline_ms = 600
        repeat = "safe"
        [pool.roster]
        max_attempts = 3
        cold = { for_ms = 2500, start_capacity = 0.3 }
        """);
    for (int i = 0; i < count; i++) {
      FakeUpstream upstream = upstreams.get(i);
      toml.append("[[pool.roster.member]]\nid = \"")
          .append(upstream.name())
          .append("\"\naddress = \"")
          .append(upstream.hostAndPort())
          .append("\"\npod = \"")
          .append(upstream.pod())
          .append("\"\nstate = \"")
          .append(draining.contains(upstream.name()) ? "draining" : "up")
          .append("\"\n");
    }
    for (LoadGenerator.RequestKind requestKind : requestKinds) {
      toml.append("[[route]]\nname = \"")
          .append(requestKind.name())
          .append("\"\nprefix = \"")
          .append(requestKind.path())
          .append("\"\nclass = \"")
          .append(requestKind.name())
          .append("\"\npool = \"roster\"\n");
    }
    return toml.toString();
  }

  private int printResult(LoadGenerator load, boolean reloaded, long drainedAtNanos)
      throws JsonProcessingException {
    long unsafeRepeats = 0;
    long repeatsOutsideScope = 0;
    long refusedAfterRun = 0;
    long lateResponses = 0;
    for (LoadGenerator.CompletedRequest request : completedRequests) {
      int executions = executionLog.executionsOf(request.id()).size();
      boolean unsafe = request.kind().name().equals("visit-claim");
      boolean keyed = request.kind().name().equals("visit-log");
      unsafeRepeats += unsafe && executions > 1 ? 1 : 0;
      repeatsOutsideScope +=
          keyed && !executionLog.repeatsStayedInPod(request.id(), KEYED_WINDOW_MILLIS) ? 1 : 0;
      refusedAfterRun += unsafe && request.outcome() == Outcome.REFUSED && executions > 0 ? 1 : 0;
      lateResponses +=
          request.latencyNanos() > request.kind().deadlineMillis() * 1_000_000L + 50_000_000L
              ? 1
              : 0;
    }
    long lostResponses = load.count(Outcome.UNANSWERED) + load.count(Outcome.WRONG);
    long requestsAfterGrace =
        upstreams.get(0).lastArrivalNanos() > drainedAtNanos + DRAIN_GRACE_MILLIS * 1_000_000L
            ? 1
            : 0;
    long overloadedUpstreams = upstreams.stream().filter(FakeUpstream::hasCollapsed).count();
    Map<String, Object> rules = new LinkedHashMap<>();
    rules.put("requests without their one answer", lostResponses);
    rules.put("unsafe requests that ran twice", unsafeRepeats);
    rules.put("unsafe requests refused after they ran", refusedAfterRun);
    rules.put("keyed requests repeated outside pod or window", repeatsOutsideScope);
    rules.put("hosts asked after their drain and grace", requestsAfterGrace);
    rules.put("cold hosts pushed over", overloadedUpstreams);
    rules.put("reloads not taken", reloaded ? 0L : 1L);
    rules.put("runs that the ledger could not note", executionLog.unrecordedCount());
    boolean rulesHeld = rules.values().stream().allMatch(v -> ((Long) v) == 0);
    Map<String, Object> classes = new LinkedHashMap<>();
    for (int i = 0; i < requestKinds.size(); i++) {
      Map<String, Object> row = new LinkedHashMap<>();
      for (Outcome outcome : Outcome.values()) {
        row.put(outcome.name().toLowerCase(Locale.ROOT), load.count(i, outcome));
      }
      Histogram latencies = load.served(i);
      row.put("p50_ms", Math.round(latencies.getValueAtPercentile(50) / 1e5) / 10.0);
      row.put("p99_ms", Math.round(latencies.getValueAtPercentile(99) / 1e5) / 10.0);
      classes.put(requestKinds.get(i).name(), row);
    }
    Map<String, Object> perUpstream = new LinkedHashMap<>();
    for (FakeUpstream upstream : upstreams) {
      Map<String, Object> row = new LinkedHashMap<>();
      row.put("served", upstream.served());
      row.put("connections", upstream.connections());
      row.put("most", upstream.maxConcurrentConnections());
      perUpstream.put(upstream.name(), row);
    }
    if (json) {
      Map<String, Object> result = new LinkedHashMap<>();
      result.put("held", rulesHeld);
      result.put("answers_past_the_deadline", lateResponses);
      result.put("classes", classes);
      result.put("hosts", perUpstream);
      result.put("rules", rules);
      System.out.println(new ObjectMapper().writeValueAsString(result));
    } else {
      printTable("class", classes);
      printTable("host", perUpstream);
      System.out.println("\nviolations of each rule");
      rules.forEach((k, v) -> System.out.printf(Locale.ROOT, "  %-48s %s%n", k, v));
      System.out.printf(
          Locale.ROOT,
          "  %-48s %d%n",
          "responses over 50 ms past the deadline (no rule)",
          lateResponses);
      System.out.println(rulesHeld ? "all rules held" : "A RULE WAS VIOLATED");
    }
    return rulesHeld ? 0 : 1;
  }

  @SuppressWarnings("unchecked")
  private static void printTable(String title, Map<String, Object> rows) {
    boolean first = true;
    for (Map.Entry<String, Object> entry : rows.entrySet()) {
      Map<String, Object> row = (Map<String, Object>) entry.getValue();
      if (first) {
        System.out.printf(Locale.ROOT, "%n%-14s", title);
        row.keySet().forEach(k -> System.out.printf(Locale.ROOT, "%12s", k));
        System.out.println();
        first = false;
      }
      System.out.printf(Locale.ROOT, "%-14s", entry.getKey());
      row.values().forEach(v -> System.out.printf(Locale.ROOT, "%12s", v));
      System.out.println();
    }
  }
}
