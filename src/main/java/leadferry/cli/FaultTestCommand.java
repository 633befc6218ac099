package leadferry.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import leadferry.testbed.FaultScript;
import leadferry.testbed.FaultTest;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
    name = "fault-test",
    aliases = "faults",
    mixinStandardHelpOptions = true,
    description = {
      "Runs keepers and daemons as processes on loopback, breaks the links between them, stops, kills and starts them,",
      "while operators drain and give back; says as JSON, on its last line, whether the promises were kept."
    },
    footer = {
      "",
      "Exit status: 0 all were kept, 1 one was not ('broken' says which) or the rig failed, 2 faulty arguments."
    })
final class FaultTestCommand implements Callable<Integer> {
  @Option(names = "--keepers", defaultValue = "3", description = "Keepers, 1 to 9.")
  private int keepers;

  @Option(names = "--proxies", defaultValue = "8", description = "Daemons, 1 to 64.")
  private int proxies;

  @Option(names = "--hosts", defaultValue = "12", description = "Stand-in hosts, 2 to 64.")
  private int hosts;

  @Option(names = "--seconds", defaultValue = "60", description = "How long, 5 to 3600.")
  private double seconds;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "Which faults when, and what operators ask.")
  private long seed;

  @Option(names = "--rate", defaultValue = "40", description = "Requests a second at each daemon.")
  private double rate;

  @Option(
      names = "--sabotage",
      defaultValue = "none",
      description =
          "Breaks a promise behind the ledger's back: none, proxy-out, drained-host, twice or restart.")
  private String sabotage;

  @Option(
      names = "--folder",
      description = "Where files and logs go and stay; a temporary folder otherwise.")
  private Path folder;

  @Option(
      names = "--releases",
      description = "Releases go on meanwhile, each with two drivers, which are faulted as well.")
  private boolean releases;

  @Option(
      names = "--script",
      paramLabel = "FILE",
      description =
          "Which fault when, in place of those from the seed and of the operators: docs/FLEET.md.")
  private Path script;

  @Option(names = "--json", description = "The last line alone.")
  private boolean json;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws IOException, InterruptedException {
    if (keepers < 1
        || keepers > 9
        || proxies < 1
        || proxies > 64
        || hosts < 2
        || hosts > 64
        || !(seconds >= 5 && seconds <= 3_600)) {
      throw new CommandLine.ParameterException(
          spec.commandLine(),
          "keepers, proxies, hosts, seconds (expected: 1 to 9, 1 to 64, 2 to 64, 5 to 3600)");
    }
    FaultTest.Sabotage s;
    try {
      s = FaultTest.Sabotage.valueOf(sabotage.toUpperCase(java.util.Locale.ROOT).replace('-', '_'));
    } catch (IllegalArgumentException e) {
      throw new CommandLine.ParameterException(
          spec.commandLine(),
          "--sabotage "
              + sabotage
              + " (expected: none, proxy-out, drained-host, twice or restart)");
    }
    java.util.List<FaultScript.Step> steps = null;
    if (script != null) {
      java.util.Set<String> names = new java.util.TreeSet<>();
      for (int i = 1; i <= 64; i++) {
        names.addAll(
            java.util.List.of(
                i <= keepers ? "k" + i : "k1",
                i <= proxies ? "p" + i : "p1",
                i <= hosts ? "h" + i : "h1"));
      }
      try {
        steps = FaultScript.read(Files.readAllLines(script), names);
      } catch (IOException | IllegalArgumentException e) {
        throw new CommandLine.ParameterException(
            spec.commandLine(), "--script " + script + ": " + e.getMessage());
      }
    }
    Path at =
        folder == null ? Files.createTempDirectory("faults") : Files.createDirectories(folder);
    if (!json) {
      System.out.println("files and logs: " + at);
    }
    try (FaultTest run =
        new FaultTest(
            new FaultTest.Plan(keepers, proxies, hosts, seconds, seed, s, rate, steps, releases),
            at)) {
      ObjectNode o = run.run();
      System.out.println(o);
      return o.path("broken").isEmpty() ? 0 : 1;
    } catch (IOException e) {
      System.err.println("the rig failed: " + e.getMessage());
      return 1;
    }
  }
}
