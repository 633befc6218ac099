package leadferry.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import leadferry.testbed.ChildProxy;
import leadferry.testbed.ExecutionLog;
import leadferry.testbed.FakeUpstream;
import leadferry.testbed.OverloadTest;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
    name = "overload-test",
    aliases = "storm",
    mixinStandardHelpOptions = true,
    description = {
      "Starts a proxy on part of a core before hosts that stay healthy, lets a storm loose on it, and tells how "
          + "long after the storm's end as many usual clients are served as before.",
      "",
      "crowd: ten times the clients. retry: the same, asking again at once when refused. silent, trickle, heads, "
          + "deaf: connections that say nothing, a byte a second, a head and no body, or never read. reconnect: all "
          + "clients connect anew at once. pause: the process stands still. restart: it ends and starts again."
    },
    footer = {"", "Exit status: 0 it recovered, 1 it did not, 2 faulty arguments."})
final class OverloadTestCommand implements Callable<Integer> {
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

  enum Target {
    PLATFORM,
    DAEMON
  }

  @Parameters(paramLabel = "KIND", description = "${COMPLETION-CANDIDATES}, in any case.")
  private Kind kind;

  @Option(names = "--proxy", defaultValue = "DAEMON", description = "${COMPLETION-CANDIDATES}.")
  private Target target;

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
  private double thinkMs;

  @Option(
      names = "--timeout-ms",
      defaultValue = "800",
      description = "How long a client waits for an answer.")
  private long timeoutMs;

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

  @Option(names = "--calm", defaultValue = "6", description = "Seconds before the storm.")
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
    if (!(share > 0
        && share <= 1
        && clients > 0
        && clients <= 20_000
        && crowd >= 0
        && crowd <= 20_000
        && calm >= 1
        && trigger > 0
        && after >= 3
        && calm + trigger + after <= 600
        && timeoutMs > 0)) {
      throw new CommandLine.ParameterException(
          spec.commandLine(),
          "expected: a share above 0 and at most 1, clients and crowd at most 20000, calm from 1, after from 3,"
              + " 600 seconds at most");
    }
    Path folder = Files.createTempDirectory("leadferry-storm");
    try (FakeUpstream a =
            new FakeUpstream(
                FakeUpstream.Options.quick("a").takes(5, 8), new ExecutionLog(1_000_000));
        FakeUpstream b =
            new FakeUpstream(
                FakeUpstream.Options.quick("b").takes(5, 8), new ExecutionLog(1_000_000));
        ChildProxy proxy = proxy(folder, List.of(a, b))) {
      long from = System.nanoTime();
      proxy.start();
      double started = proxy.awaitListening(from);
      if (Double.isNaN(started)) {
        System.err.println("the proxy does not listen: " + Files.readString(folder.resolve("log")));
        return 1;
      }
      return play(proxy, started);
    } finally {
      Files.deleteIfExists(folder.resolve("config"));
      Files.deleteIfExists(folder.resolve("log"));
      Files.deleteIfExists(folder);
    }
  }

  private int play(ChildProxy proxy, double started) throws IOException, InterruptedException {
    OverloadTest.Crowd does =
        switch (kind) {
          case RETRY -> OverloadTest.Crowd.RETRYING;
          case SILENT -> OverloadTest.Crowd.SILENT;
          case TRICKLE -> OverloadTest.Crowd.TRICKLING;
          case HEADS -> OverloadTest.Crowd.HEADS;
          case DEAF -> OverloadTest.Crowd.DEAF;
          default -> OverloadTest.Crowd.USUAL;
        };
    int size = kind == Kind.RECONNECT || kind == Kind.PAUSE || kind == Kind.RESTART ? 0 : crowd;
    String path = target == Target.PLATFORM ? "/read/x" : "/";
    OverloadTest.Plan plan =
        new OverloadTest.Plan(
            List.of(proxy.address()),
            clients,
            thinkMs,
            timeoutMs,
            does,
            size,
            kind == Kind.RECONNECT,
            calm,
            trigger,
            after,
            path,
            seed);
    double[] restart = {Double.NaN};
    Runnable begin =
        () -> {
          if (kind == Kind.PAUSE) {
            proxy.pause();
          } else if (kind == Kind.RESTART) {
            long from = System.nanoTime();
            proxy.end(5_000);
            proxy.start();
            try {
              restart[0] = proxy.awaitListening(from);
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          }
        };
    List<ChildProxy.Sample> samples = new ArrayList<>();
    try (OverloadTest storm = new OverloadTest(plan, begin, () -> end(proxy))) {
      Thread looks = new Thread(() -> look(proxy, samples), "looks");
      looks.setDaemon(true);
      looks.start();
      Progress progress = new Progress();
      Thread shown =
          progress.show(() -> samples.size() + " of " + (int) (calm + trigger + after) + " s");
      storm.run();
      looks.interrupt();
      looks.join();
      progress.end(shown);
      Map<String, Object> result = new LinkedHashMap<>();
      result.put("storm", kind.name().toLowerCase(Locale.ROOT));
      result.put("proxy", target.name().toLowerCase(Locale.ROOT));
      result.put("share_of_core", share);
      result.put("start_s", round(started));
      result.put("restart_s", round(restart[0]));
      result.put("calm_served", round(storm.calmShare()));
      result.put("trigger_served", round(storm.triggerShare()));
      result.put("after_served", round(storm.afterShare()));
      result.put("recovered_after_s", round(storm.recoveredAfter()));
      result.put("longest_gap_s", round(storm.longestGap()));
      if (json) {
        System.out.println(new ObjectMapper().writeValueAsString(result));
      } else {
        timeline(storm, samples);
        result.forEach((k, v) -> System.out.printf(Locale.ROOT, "%-18s %s%n", k, v));
      }
      return Double.isNaN(storm.recoveredAfter()) ? 1 : 0;
    }
  }

  private void end(ChildProxy proxy) {
    if (kind == Kind.PAUSE) {
      proxy.resume();
    }
  }

  private static void look(ChildProxy proxy, List<ChildProxy.Sample> into) {
    try {
      while (true) {
        Thread.sleep(1_000);
        into.add(proxy.sample());
      }
    } catch (InterruptedException e) {
      // the storm is over
    }
  }

  private static void timeline(OverloadTest storm, List<ChildProxy.Sample> samples) {
    System.out.println("   s  asked  served refused gave-up   cpu  waiting  open  half-closed");
    OverloadTest.Bucket[] all = storm.buckets();
    for (int s = 0; (s + 1) * OverloadTest.PER_SECOND <= all.length; s++) {
      int[] n = new int[4];
      for (int i = s * OverloadTest.PER_SECOND; i < (s + 1) * OverloadTest.PER_SECOND; i++) {
        n[0] += all[i].asked();
        n[1] += all[i].served();
        n[2] += all[i].refused();
        n[3] += all[i].gaveUp();
      }
      ChildProxy.Sample at =
          s < samples.size() ? samples.get(s) : new ChildProxy.Sample(0, 0, 0, 0);
      double cpu =
          at.cpuSeconds() - (s > 0 && s <= samples.size() ? samples.get(s - 1).cpuSeconds() : 0);
      System.out.printf(
          Locale.ROOT,
          "%4d %6d  %6d  %6d  %6d  %4.2f   %6d %5d  %6d%n",
          s,
          n[0],
          n[1],
          n[2],
          n[3],
          Math.max(0, cpu),
          at.waiting(),
          at.established(),
          at.closeWait());
    }
  }

  private static Double round(double d) {
    return Double.isNaN(d) ? null : Math.round(d * 1e3) / 1e3;
  }

  // --- the proxy

  private ChildProxy proxy(Path folder, List<FakeUpstream> hosts) throws IOException {
    int port = freePort();
    Path config = folder.resolve("config");
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    if (jvmFile != null) {
      command.add("@" + jvmFile);
    }
    command.addAll(jvm);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), "leadferry.Main"));
    Map<String, String> environment = Map.of();
    if (target == Target.PLATFORM) {
      Files.writeString(config, platformConfig(port, hosts));
      command.add("proxy");
      environment = Map.of("BALANCER_CONFIG", config.toString(), "MALLOC_ARENA_MAX", "1");
    } else {
      Files.writeString(config, operatorsFile(port, hosts));
      command.addAll(List.of("daemon", "--config", config.toString()));
    }
    return new ChildProxy(
        command,
        environment,
        new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
        share,
        folder.resolve("log"));
  }

  private static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return s.getLocalPort();
    }
  }

  private String platformConfig(int port, List<FakeUpstream> hosts) {
    StringBuilder servers = new StringBuilder();
    for (FakeUpstream h : hosts) {
      servers
          .append(servers.isEmpty() ? "" : ",")
          .append("{\"id\":\"")
          .append(h.name())
          .append("\",\"addr\":\"")
          .append(h.place())
          .append("\",\"zone\":\"\",\"kind\":\"\",\"cell\":1,\"state\":\"up\",")
          .append("\"weight\":1.0,\"started_ms\":0}");
    }
    return "{\"name\":\"storm\",\"listen\":\"127.0.0.1:"
        + port
        + "\",\"discovery\":\"127.0.0.1:9\",\"seed\":\"1\","
        + "\"limits\":{\"memory_mb\":144,\"sockets\":"
        + descriptors
        + "},"
        + "\"known\":{\"version\":1,\"full\":true,\"servers\":["
        + servers
        + "]},\"settings\":{\"classes\":["
        + "{\"name\":\"read\",\"aim\":400,\"deadline\":"
        + timeoutMs
        + ",\"semantics\":\"idempotent\"}]}}";
  }

  private String operatorsFile(int port, List<FakeUpstream> hosts) {
    StringBuilder s =
        new StringBuilder(
            "[daemon]\ndescriptors = "
                + descriptors
                + "\n[listener.main]\naddress = \"127.0.0.1:"
                + port
                + "\"\n[class.read]\nrepeat = \"safe\"\naim_ms = "
                + Math.min(400, timeoutMs)
                + "\ndeadline_ms = "
                + timeoutMs
                + "\n[pool.a]\n");
    for (FakeUpstream h : hosts) {
      s.append("[[pool.a.member]]\nid = \"")
          .append(h.name())
          .append("\"\naddress = \"")
          .append(h.place())
          .append("\"\n");
    }
    return s + "[[route]]\nname = \"all\"\nprefix = \"/\"\nclass = \"read\"\npool = \"a\"\n";
  }
}
