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

/** Runs an {@link OverloadTest} against a proxy that is limited to a share of a CPU core. */
@Command(
    name = "overload-test",
    aliases = "storm",
    mixinStandardHelpOptions = true,
    description = {
      "Overloads a proxy that is limited to a share of a CPU core while its upstreams stay healthy. Prints how "
          + "long after the overload the proxy needs to serve as many regular clients as before.",
      "",
      "crowd: additional clients, by default ten times the regular ones. retry: the same clients, which retry a "
          + "rejected request immediately.",
      "silent: connections that send nothing. trickle: connections that send one byte per second. heads: "
          + "connections that send a request head and no body. deaf: connections that never read.",
      "reconnect: all clients reconnect at the same time. pause: the proxy process is suspended. restart: the "
          + "proxy process is stopped and started again."
    },
    footer = {
      "",
      "Exit status: 0 if the proxy recovered, 1 if it did not, 2 for invalid arguments."
    })
final class OverloadTestCommand implements Callable<Integer> {
  /** Cause of the overload. */
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
  private static final int MAX_RECORDED_EXECUTIONS = 1_000_000;
  private static final int MAX_CLIENTS = 20_000;
  private static final double MAX_TOTAL_SECONDS = 600;
  private static final long STOP_TIMEOUT_MILLIS = 5_000;

  @Parameters(
      paramLabel = "KIND",
      description =
          "Cause of the overload, one of ${COMPLETION-CANDIDATES}, in upper or lower case.")
  private Kind kind;

  @Option(
      names = "--proxy",
      defaultValue = "DAEMON",
      description = "Kind of the proxy, one of ${COMPLETION-CANDIDATES}.")
  private ThrottledProxyLauncher.Kind proxyKind;

  @Option(
      names = "--share",
      defaultValue = "0.5",
      description = "Share of a CPU core that the proxy may use, above 0 and at most 1.")
  private double share;

  @Option(names = "--jvm", description = "Option for the JVM of the proxy; may be repeated.")
  private List<String> jvm = new ArrayList<>();

  @Option(
      names = "--jvm-file",
      paramLabel = "FILE",
      description = "File with options for the JVM of the proxy, such as deploy/proxy.jvm.")
  private Path jvmFile;

  @Option(
      names = "--clients",
      defaultValue = "60",
      description = "Number of regular clients, at most 20000.")
  private int clients;

  @Option(
      names = "--think-ms",
      defaultValue = "200",
      description = "Mean pause of a regular client between requests in milliseconds.")
  private double thinkMillis;

  @Option(
      names = "--timeout-ms",
      defaultValue = "800",
      description = "Timeout of a response at the clients in milliseconds.")
  private long timeoutMillis;

  @Option(
      names = "--crowd",
      defaultValue = "600",
      description =
          "Number of additional clients or connections during the overload, at most 20000.")
  private int crowd;

  @Option(
      names = "--descriptors",
      defaultValue = "384",
      description = "Maximum number of sockets of the proxy.")
  private int descriptors;

  @Option(
      names = "--calm",
      defaultValue = "6",
      description = "Duration of the phase before the overload in seconds, at least 1.")
  private double calm;

  @Option(
      names = "--trigger",
      defaultValue = "5",
      description = "Duration of the overload in seconds.")
  private double trigger;

  @Option(
      names = "--after",
      defaultValue = "12",
      description = "Duration of the phase after the overload in seconds, at least 3.")
  private double after;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "Seed of the clients' random numbers.")
  private long seed;

  @Option(names = "--json", description = "Prints the result as JSON on standard output.")
  private boolean json;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws IOException, InterruptedException {
    validateOptions();
    ThrottledProxyLauncher launcher =
        new ThrottledProxyLauncher(proxyKind, jvmFile, jvm, share, descriptors, timeoutMillis);
    Path folder = Files.createTempDirectory("leadferry-overload");
    try (FakeUpstream firstUpstream = startUpstream("a");
        FakeUpstream secondUpstream = startUpstream("b");
        ThrottledProxy proxy = launcher.create(folder, List.of(firstUpstream, secondUpstream))) {
      long startNanos = System.nanoTime();
      proxy.start();
      double startSeconds = proxy.awaitListening(startNanos);
      if (Double.isNaN(startSeconds)) {
        System.err.println(
            "proxy failed to start listening; its log: " + Files.readString(folder.resolve("log")));
        return 1;
      }
      return runTest(proxy, startSeconds, launcher.requestPath());
    } finally {
      Files.deleteIfExists(folder.resolve("config"));
      Files.deleteIfExists(folder.resolve("log"));
      Files.deleteIfExists(folder);
    }
  }

  private static FakeUpstream startUpstream(String name) {
    return new FakeUpstream(
        FakeUpstream.Options.instant(name).withServiceTime(SERVICE_MILLIS, CORES),
        new ExecutionLog(MAX_RECORDED_EXECUTIONS));
  }

  private void validateOptions() {
    boolean valid =
        isAboveAndAtMost(share, 0, 1)
            && isAboveAndAtMost(clients, 0, MAX_CLIENTS)
            && isAboveAndAtMost(crowd, -1, MAX_CLIENTS)
            && calm >= 1
            && trigger > 0
            && after >= 3
            && calm + trigger + after <= MAX_TOTAL_SECONDS
            && timeoutMillis > 0;
    if (!valid) {
      throw new CommandLine.ParameterException(
          spec.commandLine(),
          "options out of range (expected: --share above 0 and at most 1, --clients 1 to 20000, --crowd 0 to 20000, "
              + "--calm at least 1, --trigger above 0, --after at least 3, at most 600 seconds in total, "
              + "--timeout-ms above 0)");
    }
  }

  private static boolean isAboveAndAtMost(double value, double exclusiveMin, double max) {
    return value > exclusiveMin && value <= max;
  }

  private int runTest(ThrottledProxy proxy, double startSeconds, String path)
      throws IOException, InterruptedException {
    double[] restartSeconds = {Double.NaN};
    List<ThrottledProxy.Sample> samples = new ArrayList<>();
    try (OverloadTest test =
        new OverloadTest(
            plan(proxy, path),
            () -> onTriggerStart(proxy, restartSeconds),
            () -> onTriggerEnd(proxy))) {
      Thread samplingThread = new Thread(() -> sample(proxy, samples), "samples");
      samplingThread.setDaemon(true);
      samplingThread.start();
      ProgressLine progress = new ProgressLine();
      Thread progressThread =
          progress.start(() -> samples.size() + " of " + (int) (calm + trigger + after) + " s");
      test.run();
      samplingThread.interrupt();
      samplingThread.join();
      progress.stop(progressThread);
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
    boolean withoutCrowd = kind == Kind.RECONNECT || kind == Kind.PAUSE || kind == Kind.RESTART;
    return new OverloadPlan(
        List.of(proxy.address()),
        clients,
        thinkMillis,
        timeoutMillis,
        crowdKind,
        withoutCrowd ? 0 : crowd,
        kind == Kind.RECONNECT,
        calm,
        trigger,
        after,
        path,
        seed);
  }

  private void onTriggerStart(ThrottledProxy proxy, double[] restartSeconds) {
    if (kind == Kind.PAUSE) {
      proxy.pause();
    } else if (kind == Kind.RESTART) {
      long sinceNanos = System.nanoTime();
      proxy.terminate(STOP_TIMEOUT_MILLIS);
      proxy.start();
      try {
        restartSeconds[0] = proxy.awaitListening(sinceNanos);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private void onTriggerEnd(ThrottledProxy proxy) {
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
      // The test has ended.
    }
  }

  private Map<String, Object> result(
      OverloadTimeline timeline, double startSeconds, double restartSeconds) {
    Map<String, Object> result = new LinkedHashMap<>();
    result.put("storm", kind.name().toLowerCase(Locale.ROOT));
    result.put("proxy", proxyKind.name().toLowerCase(Locale.ROOT));
    result.put("share_of_core", share);
    result.put("start_s", roundToThousandths(startSeconds));
    result.put("restart_s", roundToThousandths(restartSeconds));
    result.put("calm_served", roundToThousandths(timeline.calmShare()));
    result.put("trigger_served", roundToThousandths(timeline.triggerShare()));
    result.put("after_served", roundToThousandths(timeline.afterShare()));
    result.put("recovered_after_s", roundToThousandths(timeline.recoveredAfterSeconds()));
    result.put("longest_gap_s", roundToThousandths(timeline.longestGapSeconds()));
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
    List<OverloadTimeline.Bucket> secondBuckets =
        List.of(buckets).subList(from, from + OverloadTimeline.BUCKETS_PER_SECOND);
    ThrottledProxy.Sample sample = sampleAt(second, samples);
    double cpuSeconds = sample.cpuSeconds() - sampleAt(second - 1, samples).cpuSeconds();
    System.out.printf(
        Locale.ROOT,
        "%4d %6d  %6d    %6d      %6d  %4.2f   %6d %5d  %6d%n",
        second,
        secondBuckets.stream().mapToInt(OverloadTimeline.Bucket::sent).sum(),
        secondBuckets.stream().mapToInt(OverloadTimeline.Bucket::served).sum(),
        secondBuckets.stream().mapToInt(OverloadTimeline.Bucket::rejected).sum(),
        secondBuckets.stream().mapToInt(OverloadTimeline.Bucket::unanswered).sum(),
        Math.max(0, cpuSeconds),
        sample.acceptQueueLength(),
        sample.established(),
        sample.closeWait());
  }

  private static ThrottledProxy.Sample sampleAt(int second, List<ThrottledProxy.Sample> samples) {
    return second >= 0 && second < samples.size()
        ? samples.get(second)
        : new ThrottledProxy.Sample(0, 0, 0, 0);
  }

  private static Double roundToThousandths(double value) {
    return Double.isNaN(value) ? null : Math.round(value * 1e3) / 1e3;
  }
}
