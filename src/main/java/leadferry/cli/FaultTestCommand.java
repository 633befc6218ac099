package leadferry.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import leadferry.testbed.FaultScript;
import leadferry.testbed.FaultTest;
import leadferry.testbed.FaultTestPlan;
import leadferry.testbed.Sabotage;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a {@link FaultTest} and prints its report. */
@Command(
    name = "fault-test",
    aliases = "faults",
    mixinStandardHelpOptions = true,
    description = {
      "Runs replicas and daemons as processes on loopback while operators drain and restore targets.",
      "During the run, network links are broken and processes are paused, killed and restarted.",
      "Prints a JSON report on the last line, which lists the violated guarantees."
    },
    footer = {
      "",
      "Exit status: 0 if all guarantees held, 1 if one was violated (listed in 'broken') or the test could not run, 2 for invalid arguments."
    })
final class FaultTestCommand implements Callable<Integer> {
  private static final int MAX_PROCESSES = 64;

  @Option(
      names = {"--replicas", "--keepers"},
      defaultValue = "3",
      description = "Number of replicas of the control state, 1 to 9.")
  private int replicas;

  @Option(names = "--proxies", defaultValue = "8", description = "Number of daemons, 1 to 64.")
  private int proxies;

  @Option(
      names = {"--upstreams", "--hosts"},
      defaultValue = "12",
      description = "Number of fake upstreams, 2 to 64.")
  private int upstreams;

  @Option(
      names = "--seconds",
      defaultValue = "60",
      description = "Duration of the test in seconds, 5 to 3600.")
  private double seconds;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "Seed of the random fault schedule and operator commands.")
  private long seed;

  @Option(
      names = "--rate",
      defaultValue = "40",
      description = "Requests per second to each daemon.")
  private double rate;

  @Option(
      names = "--sabotage",
      defaultValue = "none",
      description =
          "Violates a guarantee deliberately, which the test must detect: none, proxy-out, drained-host, twice or restart.")
  private String sabotage;

  @Option(
      names = "--folder",
      description = "Folder for files and logs, which is kept; by default a new temporary folder.")
  private Path folder;

  @Option(
      names = "--releases",
      description =
          "Runs releases during the test, each with two drivers that are also subject to faults.")
  private boolean releases;

  @Option(
      names = "--script",
      paramLabel = "FILE",
      description =
          "Schedule of faults and operator commands that replaces the random one; docs/FLEET.md describes the format.")
  private Path scriptFile;

  @Option(names = "--json", description = "Prints only the JSON report.")
  private boolean json;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws IOException, InterruptedException {
    validateSizes();
    FaultTestPlan plan =
        new FaultTestPlan(
            replicas,
            proxies,
            upstreams,
            seconds,
            seed,
            parseSabotage(),
            rate,
            parseScript(),
            releases);
    Path workFolder =
        folder == null ? Files.createTempDirectory("fault-test") : Files.createDirectories(folder);
    if (!json) {
      System.out.println("files and logs: " + workFolder);
    }
    try (FaultTest test = new FaultTest(plan, workFolder)) {
      ObjectNode report = test.run();
      System.out.println(report);
      return report.path("broken").isEmpty() ? 0 : 1;
    } catch (IOException e) {
      System.err.println("fault test failed to run: " + e.getMessage());
      return 1;
    }
  }

  private void validateSizes() {
    boolean valid =
        isBetween(replicas, 1, 9)
            && isBetween(proxies, 1, MAX_PROCESSES)
            && isBetween(upstreams, 2, MAX_PROCESSES)
            && isBetween(seconds, 5, 3_600);
    if (!valid) {
      throw invalidArgument(
          "replicas, proxies, upstreams, seconds (expected: 1 to 9, 1 to 64, 2 to 64, 5 to 3600)");
    }
  }

  private static boolean isBetween(double value, double min, double max) {
    return value >= min && value <= max;
  }

  private Sabotage parseSabotage() {
    try {
      return Sabotage.valueOf(sabotage.toUpperCase(Locale.ROOT).replace('-', '_'));
    } catch (IllegalArgumentException e) {
      throw invalidArgument(
          "--sabotage "
              + sabotage
              + " (expected: none, proxy-out, drained-host, twice or restart)");
    }
  }

  private List<FaultScript.Step> parseScript() {
    if (scriptFile == null) {
      return null;
    }
    try {
      return FaultScript.parse(Files.readAllLines(scriptFile), processNames());
    } catch (IOException | IllegalArgumentException e) {
      throw invalidArgument("--script " + scriptFile + ": " + e.getMessage());
    }
  }

  private Set<String> processNames() {
    Set<String> names = new TreeSet<>();
    addNames(names, "k", replicas);
    addNames(names, "p", proxies);
    addNames(names, "h", upstreams);
    return names;
  }

  private static void addNames(Set<String> names, String prefix, int count) {
    for (int i = 1; i <= count; i++) {
      names.add(prefix + i);
    }
  }

  private CommandLine.ParameterException invalidArgument(String message) {
    return new CommandLine.ParameterException(spec.commandLine(), message);
  }
}
