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
      "Runs replicas and daemons as processes on loopback, breaks the links between them, stops, kills and starts them,",
      "while operators drain and give back; says as JSON, on its last line, whether the promises were kept."
    },
    footer = {
      "",
      "Exit status: 0 all were kept, 1 one was not ('broken' says which) or the rig failed, 2 faulty arguments."
    })
final class FaultTestCommand implements Callable<Integer> {
  private static final int MOST_PROCESSES = 64;

  @Option(
      names = {"--replicas", "--keepers"},
      defaultValue = "3",
      description = "Replicas of the agreed state, 1 to 9.")
  private int replicas;

  @Option(names = "--proxies", defaultValue = "8", description = "Daemons, 1 to 64.")
  private int proxies;

  @Option(
      names = {"--upstreams", "--hosts"},
      defaultValue = "12",
      description = "Fake upstream hosts, 2 to 64.")
  private int upstreams;

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
          "Breaks a promise on purpose, which must be found: none, proxy-out, drained-host, twice or restart.")
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
    checkSizes();
    FaultTestPlan plan =
        new FaultTestPlan(
            replicas,
            proxies,
            upstreams,
            seconds,
            seed,
            parsedSabotage(),
            rate,
            parsedScript(),
            releases);
    Path at =
        folder == null ? Files.createTempDirectory("fault-test") : Files.createDirectories(folder);
    if (!json) {
      System.out.println("files and logs: " + at);
    }
    try (FaultTest test = new FaultTest(plan, at)) {
      ObjectNode report = test.run();
      System.out.println(report);
      return report.path("broken").isEmpty() ? 0 : 1;
    } catch (IOException e) {
      System.err.println("the test could not be carried out: " + e.getMessage());
      return 1;
    }
  }

  private void checkSizes() {
    boolean sound =
        isBetween(replicas, 1, 9)
            && isBetween(proxies, 1, MOST_PROCESSES)
            && isBetween(upstreams, 2, MOST_PROCESSES)
            && isBetween(seconds, 5, 3_600);
    if (!sound) {
      throw faultyArgument(
          "replicas, proxies, upstreams, seconds (expected: 1 to 9, 1 to 64, 2 to 64, 5 to 3600)");
    }
  }

  private static boolean isBetween(double value, double least, double most) {
    return value >= least && value <= most;
  }

  private Sabotage parsedSabotage() {
    try {
      return Sabotage.valueOf(sabotage.toUpperCase(Locale.ROOT).replace('-', '_'));
    } catch (IllegalArgumentException e) {
      throw faultyArgument(
          "--sabotage "
              + sabotage
              + " (expected: none, proxy-out, drained-host, twice or restart)");
    }
  }

  private List<FaultScript.Step> parsedScript() {
    if (script == null) {
      return null;
    }
    try {
      return FaultScript.parse(Files.readAllLines(script), processNames());
    } catch (IOException | IllegalArgumentException e) {
      throw faultyArgument("--script " + script + ": " + e.getMessage());
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

  private CommandLine.ParameterException faultyArgument(String message) {
    return new CommandLine.ParameterException(spec.commandLine(), message);
  }
}
