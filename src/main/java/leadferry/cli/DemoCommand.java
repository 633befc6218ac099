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

@Command(
    name = "demo",
    mixinStandardHelpOptions = true,
    description = {
      "Three stand-ins and the daemon on loopback carry a minute of mixed classes. One host goes",
      "silent a third of the way in and comes back; later one is drained by a reload and a cold",
      "one joins. Then a table of classes, hosts and rules."
    },
    footer = {"", "Exit status: 0 the rules held, 1 they did not."})
final class DemoCommand implements Callable<Integer> {
  private static final long WINDOW_MS = 750;
  private static final long GRACE_MS = 500;

  @Option(names = "--seconds", defaultValue = "60", description = "How long, 3 to 600.")
  private double seconds;

  @Option(names = "--rate", defaultValue = "200", description = "Requests a second, 1 to 1000.")
  private double rate;

  @Option(names = "--json", description = "The result as JSON on standard output.")
  private boolean json;

  private final ExecutionLog ledger = new ExecutionLog(2_000_000);
  private final List<FakeUpstream> hosts = new ArrayList<>();
  private final ConcurrentLinkedQueue<LoadGenerator.CompletedRequest> done =
      new ConcurrentLinkedQueue<>();
  private final List<LoadGenerator.RequestKind> kinds =
      List.of(
          kind("visit-claim", 5, "POST", "", 800),
          kind("visit-log", 3, "POST", "Idempotency-Key: ", 1_200),
          kind("visit-list", 2, "GET", "", 600));

  private static LoadGenerator.RequestKind kind(
      String name, double part, String method, String key, long deadline) {
    return new LoadGenerator.RequestKind(
        name,
        part,
        method,
        "/" + name,
        "X-Tenant-Id: demo\r\n" + key,
        method.equals("GET") ? 0 : 200,
        deadline);
  }

  @Override
  public Integer call() throws IOException, InterruptedException {
    seconds = Math.max(3, Math.min(600, seconds));
    rate = Math.max(1, Math.min(1_000, rate));
    Path file = Files.createTempFile("leadferry-demo", ".toml");
    PrintStream quiet =
        new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8);
    for (int i = 0; i < 3; i++) {
      hosts.add(host("h" + (i + 1), 0, i));
    }
    try {
      Files.writeString(file, config(List.of(), 3));
      try (Daemon daemon = new Daemon(file, form -> new LineLog(json ? quiet : System.err, false));
          LoadGenerator load =
              new LoadGenerator(
                  new LoadGenerator.Plan(
                      daemon.address("main"), rate, 0, seconds, 512, 1, kinds, "demo-"),
                  done::add)) {
        load.start();
        ProgressLine progress = new ProgressLine();
        Thread shown = progress.start(() -> load.completed() + " requests over");
        pause(0.33);
        hosts.get(2).setFault(FakeUpstream.Fault.SILENT, 1);
        pause(0.17);
        hosts.get(2).setFault(FakeUpstream.Fault.NONE, 0);
        pause(0.2);
        hosts.add(host("h4", 2_000, 4));
        Files.writeString(file, config(List.of("h1"), 4));
        boolean reloaded = daemon.reload();
        long drainedAt = System.nanoTime();
        load.await();
        progress.stop(shown);
        return tell(load, reloaded, drainedAt);
      }
    } catch (ConfigurationException e) {
      System.err.println(e.getMessage());
      return 1;
    } finally {
      hosts.forEach(FakeUpstream::close);
      Files.deleteIfExists(file);
    }
  }

  private FakeUpstream host(String name, double warmUpMs, long seed) {
    return new FakeUpstream(
        new FakeUpstream.Options(
            name, "p1", 0, 15, 3, 60, warmUpMs, 0.3, 400, true, 200, 11 + seed),
        ledger);
  }

  private void pause(double part) throws InterruptedException {
    Thread.sleep((long) (part * seconds * 1e3));
  }

  private String config(List<String> draining, int count) {
    StringBuilder s = new StringBuilder();
    s.append(
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
      FakeUpstream h = hosts.get(i);
      s.append("[[pool.roster.member]]\nid = \"")
          .append(h.name())
          .append("\"\naddress = \"")
          .append(h.hostAndPort())
          .append("\"\npod = \"")
          .append(h.pod())
          .append("\"\nstate = \"")
          .append(draining.contains(h.name()) ? "draining" : "up")
          .append("\"\n");
    }
    for (LoadGenerator.RequestKind k : kinds) {
      s.append("[[route]]\nname = \"")
          .append(k.name())
          .append("\"\nprefix = \"")
          .append(k.path())
          .append("\"\nclass = \"")
          .append(k.name())
          .append("\"\npool = \"roster\"\n");
    }
    return s.toString();
  }

  private int tell(LoadGenerator load, boolean reloaded, long drainedAt)
      throws JsonProcessingException {
    long twice = 0;
    long outside = 0;
    long refusedAfterWork = 0;
    long late = 0;
    for (LoadGenerator.CompletedRequest d : done) {
      int runs = ledger.executionsOf(d.id()).size();
      boolean unsafe = d.kind().name().equals("visit-claim");
      boolean keyed = d.kind().name().equals("visit-log");
      twice += unsafe && runs > 1 ? 1 : 0;
      outside += keyed && !ledger.repeatsStayedInPod(d.id(), WINDOW_MS) ? 1 : 0;
      refusedAfterWork += unsafe && d.outcome() == Outcome.REFUSED && runs > 0 ? 1 : 0;
      late += d.latencyNanos() > d.kind().deadlineMillis() * 1_000_000L + 50_000_000L ? 1 : 0;
    }
    long lost = load.count(Outcome.UNANSWERED) + load.count(Outcome.WRONG);
    long afterGrace = hosts.get(0).lastArrivalNanos() > drainedAt + GRACE_MS * 1_000_000L ? 1 : 0;
    long fallen = hosts.stream().filter(FakeUpstream::hasCollapsed).count();
    Map<String, Object> rules = new LinkedHashMap<>();
    rules.put("requests without their one answer", lost);
    rules.put("unsafe requests that ran twice", twice);
    rules.put("unsafe requests refused after they ran", refusedAfterWork);
    rules.put("keyed requests repeated outside pod or window", outside);
    rules.put("hosts asked after their drain and grace", afterGrace);
    rules.put("cold hosts pushed over", fallen);
    rules.put("reloads not taken", reloaded ? 0L : 1L);
    rules.put("runs that the ledger could not note", ledger.unrecordedCount());
    boolean held = rules.values().stream().allMatch(v -> ((Long) v) == 0);
    Map<String, Object> classes = new LinkedHashMap<>();
    for (int i = 0; i < kinds.size(); i++) {
      Map<String, Object> row = new LinkedHashMap<>();
      for (Outcome o : Outcome.values()) {
        row.put(o.name().toLowerCase(Locale.ROOT), load.count(i, o));
      }
      Histogram h = load.served(i);
      row.put("p50_ms", Math.round(h.getValueAtPercentile(50) / 1e5) / 10.0);
      row.put("p99_ms", Math.round(h.getValueAtPercentile(99) / 1e5) / 10.0);
      classes.put(kinds.get(i).name(), row);
    }
    Map<String, Object> perHost = new LinkedHashMap<>();
    for (FakeUpstream h : hosts) {
      Map<String, Object> row = new LinkedHashMap<>();
      row.put("served", h.served());
      row.put("connections", h.connections());
      row.put("most", h.maxConcurrentConnections());
      perHost.put(h.name(), row);
    }
    if (json) {
      Map<String, Object> all = new LinkedHashMap<>();
      all.put("held", held);
      all.put("answers_past_the_deadline", late);
      all.put("classes", classes);
      all.put("hosts", perHost);
      all.put("rules", rules);
      System.out.println(new ObjectMapper().writeValueAsString(all));
    } else {
      print("class", classes);
      print("host", perHost);
      System.out.println("\nrules, and how often each was broken");
      rules.forEach((k, v) -> System.out.printf(Locale.ROOT, "  %-48s %s%n", k, v));
      System.out.printf(
          Locale.ROOT, "  %-48s %d%n", "answers seen past the deadline and 50 ms (told)", late);
      System.out.println(held ? "the rules held" : "THE RULES DID NOT HOLD");
    }
    return held ? 0 : 1;
  }

  @SuppressWarnings("unchecked")
  private static void print(String what, Map<String, Object> rows) {
    boolean first = true;
    for (Map.Entry<String, Object> e : rows.entrySet()) {
      Map<String, Object> row = (Map<String, Object>) e.getValue();
      if (first) {
        System.out.printf(Locale.ROOT, "%n%-14s", what);
        row.keySet().forEach(k -> System.out.printf(Locale.ROOT, "%12s", k));
        System.out.println();
        first = false;
      }
      System.out.printf(Locale.ROOT, "%-14s", e.getKey());
      row.values().forEach(v -> System.out.printf(Locale.ROOT, "%12s", v));
      System.out.println();
    }
  }
}
