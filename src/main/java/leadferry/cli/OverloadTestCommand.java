package leadferry.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import leadferry.testbed.ExecutionLog;
import leadferry.testbed.FakeUpstream;
import leadferry.testbed.OverloadPlan;
import leadferry.testbed.OverloadTest;
import leadferry.testbed.OverloadTimeline;
import leadferry.testbed.ThrottledProxy;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs an {@link OverloadTest} against a proxy on part of a core. */
@Command(
    name = "overload-test",
    aliases = "storm",
    mixinStandardHelpOptions = true,
    description = {
      "Starts a proxy on part of a core before upstreams that stay healthy, overloads it, and tells how "
          + "long after the end of the overload as many usual clients are served as before.",
      "",
      "crowd: ten times the clients. retry: the same, asking again at once when rejected. silent, trickle, heads, "
          + "deaf: connections that say nothing, a byte a second, a head and no body, or never read. reconnect: all "
          + "clients connect anew at once. pause: the process stands still. restart: it ends and starts again."
    },
    footer = {"", "Exit status: 0 it recovered, 1 it did not, 2 faulty arguments."})
final class OverloadTestCommand implements Callable<Integer> {
  /** What overloads the proxy. */
  enum Kind {
    CROWD,
    RETRY,
    SILENT,
    TRICKLE,
    HEADS,
    DEAF,
    RECONNECT,
    PAUSE,
    RESTART
  }

  private static final double SERVICE_MILLIS = 5;
  private static final int CORES = 8;
  private static final int MOST_EXECUTIONS = 1_000_000;
  private static final int MOST_CLIENTS = 20_000;
  private static final double MOST_SECONDS = 600;
  private static final long END_MILLIS = 5_000;

  @Parameters(paramLabel = "KIND", description = "${COMPLETION-CANDIDATES}, in any case.")
  private Kind kind;

  @Option(names = "--proxy", defaultValue = "DAEMON", description = "${COMPLETION-CANDIDATES}.")
  private ThrottledProxyLauncher.Kind proxyKind;

  @Option(
      names = "--share",
      defaultValue = "0.5",
      description = "Part of a core that the proxy gets.")
  private double share;

  @Option(names = "--jvm", description = "An option of the proxy's JVM; may be repeated.")
  private List<String> jvm = new ArrayList<>();

  @Option(
      names = "--jvm-file",
      paramLabel = "FILE",
      description = "Options of the proxy's JVM, as in deploy/proxy.jvm.")
  private Path jvmFile;

  @Option(names = "--clients", defaultValue = "60", description = "Usual clients.")
  private int clients;

  @Option(
      names = "--think-ms",
      defaultValue = "200",
      description = "What a usual client waits between requests, in the mean.")
  private double thinkMillis;

  @Option(
      names = "--timeout-ms",
      defaultValue = "800",
      description = "How long a client waits for an answer.")
  private long timeoutMillis;

  @Option(
      names = "--crowd",
      defaultValue = "600",
      description = "Clients or connections that come besides.")
  private int crowd;

  @Option(
      names = "--descriptors",
      defaultValue = "384",
      description = "Sockets that the proxy may hold.")
  private int descriptors;

  @Option(names = "--calm", defaultValue = "6", description = "Seconds before the overload.")
  private double calm;

  @Option(names = "--trigger", defaultValue = "5", description = "Seconds that it lasts.")
  private double trigger;

  @Option(names = "--after", defaultValue = "12", description = "Seconds after it.")
  private double after;

  @Option(names = "--seed", defaultValue = "1", description = "Of the clients' random numbers.")
  private long seed;

  @Option(names = "--json", description = "The result as JSON on standard output.")
  private boolean json;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws IOException, InterruptedException {
    checkOptions();
    ThrottledProxyLauncher launcher =
        new ThrottledProxyLauncher(proxyKind, jvmFile, jvm, share, descriptors, timeoutMillis);
    Path folder = Files.createTempDirectory("leadferry-overload");
    try (FakeUpstream first = upstream("a");
        FakeUpstream second = upstream("b");
        ThrottledProxy proxy = launcher.create(folder, List.of(first, second))) {
      long startNanos = System.nanoTime();
      proxy.start();
      double startSeconds = proxy.awaitListening(startNanos);
      if (Double.isNaN(startSeconds)) {
        System.err.println("the proxy does not listen: " + Files.readString(folder.resolve("log")));
        return 1;
      }
      return play(proxy, startSeconds, launcher.requestPath());
    } finally {
      Files.deleteIfExists(folder.resolve("config"));
      Files.deleteIfExists(folder.resolve("log"));
      Files.deleteIfExists(folder);
    }
  }

  private static FakeUpstream upstream(String name) {
    return new FakeUpstream(
        FakeUpstream.Options.instant(name).withServiceTime(SERVICE_MILLIS, CORES),
        new ExecutionLog(MOST_EXECUTIONS));
  }

  private void checkOptions() {
    boolean sound =
        isAbove(share, 0, 1)
            && isAbove(clients, 0, MOST_CLIENTS)
            && isAbove(crowd, -1, MOST_CLIENTS)
            && calm >= 1
            && trigger > 0
            && after >= 3
            && calm + trigger + after <= MOST_SECONDS
            && timeoutMillis > 0;
    if (!sound) {
      throw new CommandLine.ParameterException(
          spec.commandLine(),
          "expected: a share above 0 and at most 1, clients and crowd at most 20000, calm from 1, after from 3,"
              + " 600 seconds at most");
    }
  }

  private static boolean isAbove(double value, double bound, double most) {
    return value > bound && value <= most;
  }

  private int play(ThrottledProxy proxy, double startSeconds, String path)
      throws IOException, InterruptedException {
    double[] restartSeconds = {Double.NaN};
    List<ThrottledProxy.Sample> samples = new ArrayList<>();
    try (OverloadTest test =
        new OverloadTest(plan(proxy, path), () -> begin(proxy, restartSeconds), () -> end(proxy))) {
      Thread sampling = new Thread(() -> sample(proxy, samples), "samples");
      sampling.setDaemon(true);
      sampling.start();
      ProgressLine progress = new ProgressLine();
      Thread shown =
          progress.start(() -> samples.size() + " of " + (int) (calm + trigger + after) + " s");
      test.run();
      sampling.interrupt();
      sampling.join();
      progress.stop(shown);
      OverloadTimeline timeline = test.timeline();
      print(result(timeline, startSeconds, restartSeconds[0]), timeline, samples);
      return Double.isNaN(timeline.recoveredAfterSeconds()) ? 1 : 0;
    }
  }

  private OverloadPlan plan(ThrottledProxy proxy, String path) {
    OverloadPlan.Crowd crowdKind =
        switch (kind) {
          case RETRY -> OverloadPlan.Crowd.RETRYING;
          case SILENT -> OverloadPlan.Crowd.SILENT;
          case TRICKLE -> OverloadPlan.Crowd.TRICKLING;
          case HEADS -> OverloadPlan.Crowd.HEADS;
          case DEAF -> OverloadPlan.Crowd.DEAF;
          default -> OverloadPlan.Crowd.USUAL;
        };
    boolean alone = kind == Kind.RECONNECT || kind == Kind.PAUSE || kind == Kind.RESTART;
    return new OverloadPlan(
        List.of(proxy.address()),
        clients,
        thinkMillis,
        timeoutMillis,
        crowdKind,
        alone ? 0 : crowd,
        kind == Kind.RECONNECT,
        calm,
        trigger,
        after,
        path,
        seed);
  }

  private void begin(ThrottledProxy proxy, double[] restartSeconds) {
    if (kind == Kind.PAUSE) {
      proxy.pause();
    } else if (kind == Kind.RESTART) {
      long sinceNanos = System.nanoTime();
      proxy.terminate(END_MILLIS);
      proxy.start();
      try {
        restartSeconds[0] = proxy.awaitListening(sinceNanos);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private void end(ThrottledProxy proxy) {
    if (kind == Kind.PAUSE) {
      proxy.resume();
    }
  }

  private static void sample(ThrottledProxy proxy, List<ThrottledProxy.Sample> samples) {
    try {
      while (true) {
        Thread.sleep(1_000);
        samples.add(proxy.sample());
      }
    } catch (InterruptedException e) {
      // the test is over
    }
  }

  // --- the result

  private Map<String, Object> result(
      OverloadTimeline timeline, double startSeconds, double restartSeconds) {
    Map<String, Object> result = new LinkedHashMap<>();
    result.put("storm", kind.name().toLowerCase(Locale.ROOT));
    result.put("proxy", proxyKind.name().toLowerCase(Locale.ROOT));
    result.put("share_of_core", share);
    result.put("start_s", round(startSeconds));
    result.put("restart_s", round(restartSeconds));
    result.put("calm_served", round(timeline.calmShare()));
    result.put("trigger_served", round(timeline.triggerShare()));
    result.put("after_served", round(timeline.afterShare()));
    result.put("recovered_after_s", round(timeline.recoveredAfterSeconds()));
    result.put("longest_gap_s", round(timeline.longestGapSeconds()));
    return result;
  }

  private void print(
      Map<String, Object> result, OverloadTimeline timeline, List<ThrottledProxy.Sample> samples)
      throws IOException {
    if (json) {
      System.out.println(new ObjectMapper().writeValueAsString(result));
      return;
    }
    System.out.println(
        "   s   sent  served  rejected  unanswered   cpu  waiting  open  half-closed");
    int seconds = timeline.buckets().length / OverloadTimeline.BUCKETS_PER_SECOND;
    for (int second = 0; second < seconds; second++) {
      printSecond(second, timeline.buckets(), samples);
    }
    result.forEach((key, value) -> System.out.printf(Locale.ROOT, "%-18s %s%n", key, value));
  }

  private static void printSecond(
      int second, OverloadTimeline.Bucket[] buckets, List<ThrottledProxy.Sample> samples) {
    int from = second * OverloadTimeline.BUCKETS_PER_SECOND;
    List<OverloadTimeline.Bucket> tenths =
        List.of(buckets).subList(from, from + OverloadTimeline.BUCKETS_PER_SECOND);
    ThrottledProxy.Sample now = sampleAt(second, samples);
    double cpuSeconds = now.cpuSeconds() - sampleAt(second - 1, samples).cpuSeconds();
    System.out.printf(
        Locale.ROOT,
        "%4d %6d  %6d    %6d      %6d  %4.2f   %6d %5d  %6d%n",
        second,
        tenths.stream().mapToInt(OverloadTimeline.Bucket::sent).sum(),
        tenths.stream().mapToInt(OverloadTimeline.Bucket::served).sum(),
        tenths.stream().mapToInt(OverloadTimeline.Bucket::rejected).sum(),
        tenths.stream().mapToInt(OverloadTimeline.Bucket::unanswered).sum(),
        Math.max(0, cpuSeconds),
        now.acceptQueueLength(),
        now.established(),
        now.closeWait());
  }

  private static ThrottledProxy.Sample sampleAt(int second, List<ThrottledProxy.Sample> samples) {
    return second >= 0 && second < samples.size()
        ? samples.get(second)
        : new ThrottledProxy.Sample(0, 0, 0, 0);
  }

  private static Double round(double value) {
    return Double.isNaN(value) ? null : Math.round(value * 1e3) / 1e3;
  }
}
