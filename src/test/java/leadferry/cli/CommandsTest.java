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

/**
 * Runs each command as a separate process and checks its exit status and output. Guards against
 * failures that appear only in a whole process: exit statuses, signal handling, the separation of
 * standard output from standard error, and class loading.
 */
class CommandsTest {
  @TempDir Path folder;

  private static final String CLASS_PATH = System.getProperty("java.class.path");

  private record CommandResult(int exitStatus, String standardOutput, String standardError) {}

  private static ProcessBuilder javaProcess(List<String> jvmOptions, String... args) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(jvmOptions);
    command.addAll(List.of("-cp", CLASS_PATH, "leadferry.Main"));
    command.addAll(List.of(args));
    return new ProcessBuilder(command);
  }

  private CommandResult runCommand(String... args) throws Exception {
    Path standardOutput = Files.createTempFile(folder, "out", "");
    Path standardError = Files.createTempFile(folder, "err", "");
    Process process =
        javaProcess(List.of(), args)
            .redirectOutput(standardOutput.toFile())
            .redirectError(standardError.toFile())
            .start();
    if (!process.waitFor(120, TimeUnit.SECONDS)) {
      process.destroyForcibly();
    }
    return new CommandResult(
        process.waitFor(), Files.readString(standardOutput), Files.readString(standardError));
  }

  @Test
  void checkReportsEveryErrorAndItsLine() throws Exception {
    CommandResult valid = runCommand("check", "deploy/leadferry.toml");
    assertThat(valid.exitStatus()).isZero();
    Path invalidFile =
        Files.writeString(folder.resolve("bad.toml"), "[daemon]\nworkers = \"two\"\n");
    CommandResult invalid = runCommand("check", invalidFile.toString());
    assertThat(invalid.exitStatus()).isEqualTo(2);
    assertThat(invalid.standardError()).contains("bad.toml:2: daemon.workers: 'two' (expected:");
    JsonNode json =
        new ObjectMapper()
            .readTree(runCommand("check", "--json", invalidFile.toString()).standardOutput());
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
    Path invalidFile =
        Files.writeString(
            folder.resolve("k.toml"),
            replicaFile("k2", "x", "election_ms = 1\ncolour = 3\n")
                + "[peer.k3]\nlog_address = \"9\"\n");
    CommandResult invalid = runCommand("keeper", "--config", invalidFile.toString());
    assertThat(invalid.exitStatus()).isEqualTo(2);
    assertThat(invalid.standardError())
        .contains(
            "k.toml:7: keeper.election_ms",
            "k.toml:8: keeper.colour",
            "peer.k3.log_address",
            "none named 'k2'",
            "2 replicas");
    Path replicaFolder = folder.resolve("lost");
    Path validFile =
        Files.writeString(
            folder.resolve("s.toml"), replicaFile("k1", replicaFolder.toString(), ""));
    CommandResult missingFolder = runCommand("keeper", "--config", validFile.toString());
    assertThat(missingFolder.exitStatus()).isEqualTo(2);
    assertThat(missingFolder.standardError()).contains("no replica log found", "--new");
    Files.createDirectories(replicaFolder);
    Files.writeString(replicaFolder.resolve("keeper"), "f/k7\n");
    CommandResult foreignFolder = runCommand("keeper", "--config", validFile.toString(), "--new");
    assertThat(foreignFolder.exitStatus()).isEqualTo(2);
    assertThat(foreignFolder.standardError()).contains("belongs to replica f/k7 (expected: f/k1)");
  }

  @Test
  void fleetReportsUnreachableReplicasAndInvalidBudgets() throws Exception {
    CommandResult unreachable =
        runCommand(
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
    assertThat(unreachable.exitStatus()).isEqualTo(5);
    assertThat(new ObjectMapper().readTree(unreachable.standardOutput()).path("status").asText())
        .isEqualTo("unreachable");
    Path budgets =
        Files.writeString(
            folder.resolve("b.toml"),
            "[[budget]]\nname = \"a\"\nof = \"cat\"\n[[budget]]\nname = \"b\"\nof = \"host\"\n");
    CommandResult invalidBudgets =
        runCommand(
            "fleet",
            "budgets",
            budgets.toString(),
            "--why",
            "x",
            "--fleet",
            "f",
            "--keeper",
            "k1=127.0.0.1:9");
    assertThat(invalidBudgets.exitStatus()).isEqualTo(2);
    assertThat(invalidBudgets.standardError())
        .contains("b.toml:1", "expected: proxy or host", "b.toml:4", "no bound");
  }

  @Test
  void invalidArgumentsExitWithTwoAndHelpWithZero() throws Exception {
    assertThat(runCommand().exitStatus()).isEqualTo(2);
    assertThat(runCommand("dance").exitStatus()).isEqualTo(2);
    assertThat(runCommand("load", "10.0.0.1:80").exitStatus()).isEqualTo(2);
    CommandResult help = runCommand("daemon", "--help");
    assertThat(help.exitStatus()).isZero();
    assertThat(help.standardOutput()).contains("--config", "Exit status");
  }

  @Test
  void demoFinishesAndItsRulesHold() throws Exception {
    CommandResult result = runCommand("demo", "--seconds", "8", "--rate", "150", "--json");
    assertThat(result.exitStatus()).as(result.standardOutput() + result.standardError()).isZero();
    JsonNode json = new ObjectMapper().readTree(result.standardOutput());
    assertThat(json.path("held").asBoolean()).isTrue();
    assertThat(json.path("classes").path("visit-claim").path("served").asInt()).isPositive();
    assertThat(json.path("hosts").path("h4").path("served").asInt()).isPositive();
    assertThat(result.standardError()).isEmpty(); // A process with piped output prints no progress.
  }

  @Test
  void loadReportsEveryServedRequest() throws Exception {
    try (FakeUpstream upstream =
        new FakeUpstream(FakeUpstream.Options.instant("h"), new ExecutionLog(10_000))) {
      CommandResult result =
          runCommand("load", upstream.hostAndPort(), "--rate", "500", "--seconds", "2", "--json");
      assertThat(result.exitStatus()).as(result.standardError()).isZero();
      JsonNode json = new ObjectMapper().readTree(result.standardOutput());
      assertThat(json.path("served").asInt()).isEqualTo(1_000);
      assertThat(upstream.served()).isEqualTo(1_000);
    }
  }

  /**
   * Guards against a daemon that stays overloaded after the cause has ended. Unlike the default
   * settings of the command, the daemon gets a whole CPU core, which makes the result repeatable.
   */
  @ParameterizedTest
  @ValueSource(strings = {"silent", "pause", "restart"})
  void daemonRecoversFromAnOverload(String kind) throws Exception {
    CommandResult result =
        runCommand(
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
    JsonNode json = new ObjectMapper().readTree(result.standardOutput());
    assertThat(result.exitStatus()).as(result.standardOutput() + result.standardError()).isZero();
    assertThat(json.path("calm_served").asDouble()).isGreaterThan(0.9);
    assertThat(json.path("recovered_after_s").isNumber()).isTrue();
    if (kind.equals("pause")) {
      assertThat(json.path("longest_gap_s").asDouble())
          .isGreaterThan(1); // The process was suspended.
    }
    if (kind.equals("restart")) {
      assertThat(json.path("restart_s").asDouble()).isPositive();
    }
  }

  /**
   * Runs a daemon with one fake upstream and sends it SIGHUP for an invalid and a valid
   * configuration, then SIGTERM. Guards against a signal that ends the daemon without a drain and
   * against an invalid configuration that is applied.
   */
  @Test
  void daemonReloadsOnHangupAndExitsWithZeroOnTerm() throws Exception {
    Process fakeUpstream = javaProcess(List.of(), "standin", "--service-ms", "0").start();
    Path log = folder.resolve("daemon.err");
    Process daemon = null;
    try {
      String address = readLine(fakeUpstream).replaceAll(".* at ", "");
      Path configFile = folder.resolve("leadferry.toml");
      String config =
          "[listener.main]\naddress = \"127.0.0.1:0\"\n[pool.a]\n[[pool.a.member]]\nid = \"h\"\n"
              + "address = \""
              + address
              + "\"\n[[route]]\nname = \"r\"\nprefix = \"/\"\npool = \"a\"\n";
      Files.writeString(configFile, config);
      daemon =
          javaProcess(List.of(), "daemon", "--config", configFile.toString())
              .redirectError(log.toFile())
              .start();
      awaitLine(log, "ready");
      Files.writeString(configFile, config.replace("pool = \"a\"", "pool = \"b\""));
      signal(daemon, "HUP");
      awaitLine(log, "reload rejected");
      Files.writeString(configFile, config.replace("\"r\"", "\"s\""));
      signal(daemon, "HUP");
      awaitLine(log, "version 2 in force");
      signal(daemon, "TERM");
      assertThat(daemon.waitFor(30, TimeUnit.SECONDS)).isTrue();
      assertThat(daemon.exitValue()).isZero();
      assertThat(Files.readString(log)).contains("drained");
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

  /**
   * Guards against unused classes in the platform's proxy process, which has to pay for each of
   * them. They are loaded if the proxy refers to a class of the daemon or of the command line, or
   * to one of their libraries.
   */
  @Test
  void proxyLoadsNoClassOfTheDaemon() throws Exception {
    Path classLog = folder.resolve("classes.log");
    Path config =
        Files.writeString(
            folder.resolve("config.json"),
            "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:9\",\"seed\":\"1\","
                + "\"known\":{\"version\":1,\"full\":true,\"servers\":[]},\"settings\":{\"classes\":["
                + "{\"name\":\"a\",\"aim\":400,\"deadline\":800,\"semantics\":\"unsafe\"}]}}");
    ProcessBuilder builder =
        javaProcess(List.of("-Xlog:class+load:file=" + classLog), "proxy")
            .redirectError(folder.resolve("err").toFile());
    builder.environment().put("BALANCER_CONFIG", config.toString());
    Process process = builder.start();
    try {
      // The proxy listens once this class is loaded, which happens after the warm-up.
      long deadlineNanos = System.nanoTime() + 60_000_000_000L;
      while ((System.nanoTime() < deadlineNanos && !Files.exists(classLog))
          || !Files.readString(classLog).contains("leadferry.http.ClientConnection")) {
        Thread.sleep(50);
      }
      signal(process, "TERM");
      assertThat(process.waitFor(30, TimeUnit.SECONDS)).isTrue();
    } finally {
      process.destroyForcibly();
    }
    List<String> loadedClasses = Files.readAllLines(classLog);
    assertThat(loadedClasses).anyMatch(line -> line.contains("leadferry.proxy.Proxy"));
    assertThat(loadedClasses)
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
