package leadferry.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import leadferry.testbed.ExecutionLog;
import leadferry.testbed.FakeUpstream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The commands as processes of their own. */
class CommandsTest {
  @TempDir Path folder;

  private static final String CLASS_PATH = System.getProperty("java.class.path");

  private record Run(int status, String out, String err) {}

  private static ProcessBuilder java(List<String> jvmOptions, String... args) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(jvmOptions);
    command.addAll(List.of("-cp", CLASS_PATH, "leadferry.Main"));
    command.addAll(List.of(args));
    return new ProcessBuilder(command);
  }

  private Run run(String... args) throws Exception {
    Path out = Files.createTempFile(folder, "out", "");
    Path err = Files.createTempFile(folder, "err", "");
    Process process =
        java(List.of(), args).redirectOutput(out.toFile()).redirectError(err.toFile()).start();
    if (!process.waitFor(120, TimeUnit.SECONDS)) {
      process.destroyForcibly();
    }
    return new Run(process.waitFor(), Files.readString(out), Files.readString(err));
  }

  @Test
  void checkReportsEveryErrorAndItsLine() throws Exception {
    Run sound = run("check", "deploy/leadferry.toml");
    assertThat(sound.status()).isZero();
    Path bad = Files.writeString(folder.resolve("bad.toml"), "[daemon]\nworkers = \"two\"\n");
    Run faulty = run("check", bad.toString());
    assertThat(faulty.status()).isEqualTo(2);
    assertThat(faulty.err()).contains("bad.toml:2: daemon.workers: 'two' (expected:");
    JsonNode json = new ObjectMapper().readTree(run("check", "--json", bad.toString()).out());
    assertThat(json.path("sound").asBoolean(true)).isFalse();
    assertThat(json.path("faults").get(0).path("line").asInt()).isZero();
    assertThat(json.path("faults").findValuesAsText("key")).contains("daemon.workers");
  }

  private static String replicaFile(String name, String folder, String moreKeys) {
    return "[keeper]\nfleet = \"f\"\nname = \""
        + name
        + "\"\nlog_address = \"127.0.0.1:9\"\napi_address = \"127.0.0.1:9\"\nfolder = \""
        + folder
        + "\"\n"
        + moreKeys
        + "[peer.k1]\nlog_address = \"127.0.0.1:9\"\n";
  }

  @Test
  void replicaReportsEveryConfigErrorAndRejectsAnotherReplicasFolder() throws Exception {
    Path faulty =
        Files.writeString(
            folder.resolve("k.toml"),
            replicaFile("k2", "x", "election_ms = 1\ncolour = 3\n")
                + "[peer.k3]\nlog_address = \"9\"\n");
    Run faults = run("keeper", "--config", faulty.toString());
    assertThat(faults.status()).isEqualTo(2);
    assertThat(faults.err())
        .contains(
            "k.toml:7: keeper.election_ms",
            "k.toml:8: keeper.colour",
            "peer.k3.log_address",
            "none named 'k2'",
            "2 replicas");
    Path lost = folder.resolve("lost");
    Path sound =
        Files.writeString(folder.resolve("s.toml"), replicaFile("k1", lost.toString(), ""));
    Run empty = run("keeper", "--config", sound.toString());
    assertThat(empty.status()).isEqualTo(2);
    assertThat(empty.err()).contains("no replica log found", "--new");
    Files.createDirectories(lost);
    Files.writeString(lost.resolve("keeper"), "f/k7\n");
    Run other = run("keeper", "--config", sound.toString(), "--new");
    assertThat(other.status()).isEqualTo(2);
    assertThat(other.err()).contains("belongs to replica f/k7 (expected: f/k1)");
  }

  @Test
  void fleetReportsUnreachableReplicasAndInvalidBudgets() throws Exception {
    Run gone =
        run(
            "fleet",
            "halt",
            "--why",
            "x",
            "--fleet",
            "f",
            "--keeper",
            "k1=127.0.0.1:9",
            "--timeout-s",
            "0.5",
            "--json");
    assertThat(gone.status()).isEqualTo(5);
    assertThat(new ObjectMapper().readTree(gone.out()).path("status").asText())
        .isEqualTo("unreachable");
    Path budgets =
        Files.writeString(
            folder.resolve("b.toml"),
            "[[budget]]\nname = \"a\"\nof = \"cat\"\n[[budget]]\nname = \"b\"\nof = \"host\"\n");
    Run none =
        run(
            "fleet",
            "budgets",
            budgets.toString(),
            "--why",
            "x",
            "--fleet",
            "f",
            "--keeper",
            "k1=127.0.0.1:9");
    assertThat(none.status()).isEqualTo(2);
    assertThat(none.err()).contains("b.toml:1", "expected: proxy or host", "b.toml:4", "no bound");
  }

  @Test
  void invalidArgumentsExitWithTwoAndHelpWithZero() throws Exception {
    assertThat(run().status()).isEqualTo(2);
    assertThat(run("dance").status()).isEqualTo(2);
    assertThat(run("load", "10.0.0.1:80").status()).isEqualTo(2);
    Run help = run("daemon", "--help");
    assertThat(help.status()).isZero();
    assertThat(help.out()).contains("--config", "Exit status");
  }

  @Test
  void demoFinishesAndItsRulesHold() throws Exception {
    Run result = run("demo", "--seconds", "8", "--rate", "150", "--json");
    assertThat(result.status()).as(result.out() + result.err()).isZero();
    JsonNode json = new ObjectMapper().readTree(result.out());
    assertThat(json.path("held").asBoolean()).isTrue();
    assertThat(json.path("classes").path("visit-claim").path("served").asInt()).isPositive();
    assertThat(json.path("hosts").path("h4").path("served").asInt()).isPositive();
    assertThat(result.err()).isEmpty(); // no progress where output is piped
  }

  @Test
  void loadReportsEveryServedRequest() throws Exception {
    try (FakeUpstream upstream =
        new FakeUpstream(FakeUpstream.Options.instant("h"), new ExecutionLog(10_000))) {
      Run result = run("load", upstream.hostAndPort(), "--rate", "500", "--seconds", "2", "--json");
      assertThat(result.status()).as(result.err()).isZero();
      JsonNode json = new ObjectMapper().readTree(result.out());
      assertThat(json.path("served").asInt()).isEqualTo(1_000);
      assertThat(upstream.served()).isEqualTo(1_000);
    }
  }

  /** The short form of the rig: a whole core, so that the verdict is the same each time. */
  @ParameterizedTest
  @ValueSource(strings = {"silent", "pause", "restart"})
  void daemonRecoversFromAnOverload(String kind) throws Exception {
    Run result =
        run(
            "storm",
            kind,
            "--json",
            "--share",
            "1",
            "--clients",
            "20",
            "--think-ms",
            "50",
            "--crowd",
            "300",
            "--descriptors",
            "256",
            "--timeout-ms",
            "1000",
            "--calm",
            "2",
            "--trigger",
            "1.5",
            "--after",
            "9");
    JsonNode json = new ObjectMapper().readTree(result.out());
    assertThat(result.status()).as(result.out() + result.err()).isZero();
    assertThat(json.path("calm_served").asDouble()).isGreaterThan(0.9);
    assertThat(json.path("recovered_after_s").isNumber()).isTrue();
    if (kind.equals("pause")) {
      assertThat(json.path("longest_gap_s").asDouble()).isGreaterThan(1); // it did stand still
    }
    if (kind.equals("restart")) {
      assertThat(json.path("restart_s").asDouble()).isPositive();
    }
  }

  /** A stand-in, the daemon before it, a signal for a reload and one for the end. */
  @Test
  void daemonReloadsOnHangupAndExitsWithZeroOnTerm() throws Exception {
    Process fakeUpstream = java(List.of(), "standin", "--service-ms", "0").start();
    Path err = folder.resolve("daemon.err");
    Process daemon = null;
    try {
      String address = readLine(fakeUpstream).replaceAll(".* at ", "");
      Path file = folder.resolve("leadferry.toml");
      String text =
          "[listener.main]\naddress = \"127.0.0.1:0\"\n[pool.a]\n[[pool.a.member]]\nid = \"h\"\n"
              + "address = \""
              + address
              + "\"\n[[route]]\nname = \"r\"\nprefix = \"/\"\npool = \"a\"\n";
      Files.writeString(file, text);
      daemon =
          java(List.of(), "daemon", "--config", file.toString())
              .redirectError(err.toFile())
              .start();
      awaitLine(err, "ready");
      Files.writeString(file, text.replace("pool = \"a\"", "pool = \"b\""));
      signal(daemon, "HUP");
      awaitLine(err, "not taken");
      Files.writeString(file, text.replace("\"r\"", "\"s\""));
      signal(daemon, "HUP");
      awaitLine(err, "version 2 in force");
      signal(daemon, "TERM");
      assertThat(daemon.waitFor(30, TimeUnit.SECONDS)).isTrue();
      assertThat(daemon.exitValue()).isZero();
      assertThat(Files.readString(err)).contains("drained");
    } finally {
      fakeUpstream.destroy();
      if (daemon != null) {
        daemon.destroyForcibly();
      }
    }
  }

  private static String readLine(Process process) throws IOException {
    return new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))
        .readLine();
  }

  private static void signal(Process process, String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  private static void awaitLine(Path file, String text) throws Exception {
    long deadlineNanos = System.nanoTime() + 30_000_000_000L;
    while (!Files.readString(file).contains(text)) {
      assertThat(System.nanoTime())
          .as("no line '%s' in: %s", text, Files.readString(file))
          .isLessThan(deadlineNanos);
      Thread.sleep(20);
    }
  }

  /** The platform's process pays for none of the daemon's classes. */
  @Test
  void proxyLoadsNoClassOfTheDaemon() throws Exception {
    Path classes = folder.resolve("classes.log");
    Path config =
        Files.writeString(
            folder.resolve("config.json"),
            "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:9\",\"seed\":\"1\","
                + "\"known\":{\"version\":1,\"full\":true,\"servers\":[]},\"settings\":{\"classes\":["
                + "{\"name\":\"a\",\"aim\":400,\"deadline\":800,\"semantics\":\"unsafe\"}]}}");
    ProcessBuilder builder =
        java(List.of("-Xlog:class+load:file=" + classes), "proxy")
            .redirectError(folder.resolve("err").toFile());
    builder.environment().put("BALANCER_CONFIG", config.toString());
    Process process = builder.start();
    try {
      // It has listened once its front has been set up, after the rehearsal.
      long deadlineNanos = System.nanoTime() + 60_000_000_000L;
      while ((System.nanoTime() < deadlineNanos && !Files.exists(classes))
          || !Files.readString(classes).contains("leadferry.http.ClientConnection")) {
        Thread.sleep(50);
      }
      signal(process, "TERM");
      assertThat(process.waitFor(30, TimeUnit.SECONDS)).isTrue();
    } finally {
      process.destroyForcibly();
    }
    List<String> loaded = Files.readAllLines(classes);
    assertThat(loaded).anyMatch(line -> line.contains("leadferry.proxy.Proxy"));
    assertThat(loaded)
        .noneMatch(
            line ->
                line.contains("leadferry.daemon.")
                    || line.contains("leadferry.cli.")
                    || line.contains("leadferry.routing.")
                    || line.contains("leadferry.limits.")
                    || line.contains("leadferry.testbed.")
                    || line.contains("leadferry.consensus.")
                    || line.contains("leadferry.disruption.")
                    || line.contains("org.apache.ratis.")
                    || line.contains("netty.channel.epoll.")
                    || line.contains("netty.channel.uring.")
                    || line.contains("leadferry.engine.NativeTransport")
                    || line.contains("org.slf4j.")
                    || line.contains("ch.qos.logback.")
                    || line.contains("picocli.")
                    || line.contains("re2j.")
                    || line.contains("HdrHistogram.")
                    || line.contains(".toml."));
  }
}
