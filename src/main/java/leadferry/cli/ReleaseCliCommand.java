package leadferry.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.Callable;
import leadferry.consensus.Json;
import leadferry.consensus.ReplicaClient;
import leadferry.release.ReleaseCommand;
import leadferry.release.ReleaseCommandCodec;
import leadferry.release.ReleaseState;
import leadferry.release.ReleaseView;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The commands about releases: those that start, steer and drive one stand here. */
@Command(
    name = "release",
    mixinStandardHelpOptions = true,
    description =
        "Replaces hosts or restarts proxies step by step, under the fleet's budgets, with a halt and a rollback.",
    subcommands = {
      ReleasePlanCommand.class,
      ReleaseCliCommand.Start.class,
      ReleaseCliCommand.Drive.class,
      ReleaseStatusCommand.class,
      ReleaseCliCommand.Pause.class,
      ReleaseCliCommand.Resume.class,
      ReleaseCliCommand.Halt.class,
      ReleaseCliCommand.RollBack.class,
      ReleaseCliCommand.OverrideCheck.class,
      ReleaseCliCommand.End.class,
      ReleaseCliCommand.History.class,
      ReleaseAgentCommands.Next.class,
      ReleaseAgentCommands.Report.class
    },
    footer = {
      "",
      "Exit status: as for fleet; of drive: 0 it is done or rolled back, 3 it was given up or is not known;",
      "of next: 0 there is something to do, 8 there is nothing."
    })
final class ReleaseCliCommand implements Runnable {
  /** Exit status: it was done. */
  static final int EXIT_DONE = 0;

  /** Exit status: faulty arguments or file. */
  static final int EXIT_INVALID_INPUT = 2;

  /** Exit status of {@code next}: the agent has nothing to do. */
  static final int EXIT_NOTHING_TO_DO = 8;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "Missing command");
  }

  /** Starts a release. */
  @Command(
      name = "start",
      mixinStandardHelpOptions = true,
      description = "Puts a plan into the replicated log; drivers carry it out.")
  static final class Start extends FleetChangeCommand {
    @Parameters(paramLabel = "FILE", description = "TOML with a [release] table.")
    private Path file;

    @Override
    public Integer call() {
      ReleasePlanReader.Result result = ReleasePlanReader.read(fleet, file);
      return result.plan().map(this::start).orElse(result.exitStatus());
    }

    private int start(ObjectNode plan) {
      ObjectNode encoded = ReleaseCommandCodec.encodeStart(plan);
      return submit(newEntry(encoded.path("op").asText()).setAll(encoded));
    }
  }

  /** Drives a release. */
  @Command(
      name = "drive",
      mixinStandardHelpOptions = true,
      description =
          "Carries a release out until it is over. Any number of processes may; one at a time holds the lease, the next takes over where it was lost.")
  static final class Drive implements Callable<Integer> {
    private static final long MIN_LEASE_MILLIS = 200;
    private static final long MAX_LEASE_MILLIS = 600_000;
    private static final int MAX_NAME_CHARACTERS = 64;

    @Mixin private FleetOptions fleet;

    @Parameters(paramLabel = "RELEASE", description = "Which.")
    private String name;

    @Option(names = "--as", required = true, description = "This driver's name, for the audit.")
    private String driverName;

    @Option(
        names = "--lease-ms",
        defaultValue = "3000",
        description = "Silent for so long, it is taken for lost: 200 to 600000.")
    private long leaseMillis;

    @Override
    public Integer call() {
      validate();
      try (ReplicaClient client = fleet.openClient();
          ReleaseDriver driver =
              new ReleaseDriver(
                  client,
                  driverName,
                  name,
                  leaseMillis,
                  line -> System.out.println(Instant.now() + " " + line))) {
        return exitStatus(driver.run().map(ReleaseView::state));
      }
    }

    private void validate() {
      boolean leaseValid = leaseMillis >= MIN_LEASE_MILLIS && leaseMillis <= MAX_LEASE_MILLIS;
      boolean nameValid = !driverName.isBlank() && driverName.length() <= MAX_NAME_CHARACTERS;
      if (!leaseValid || !nameValid) {
        throw new CommandLine.ParameterException(
            fleet.commandLine(),
            "--lease-ms "
                + leaseMillis
                + ", --as '"
                + driverName
                + "' (expected: 200 to 600000, 1 to 64 characters)");
      }
    }

    private static int exitStatus(Optional<ReleaseState> state) {
      boolean done =
          state.isPresent()
              && (state.get() == ReleaseState.COMPLETED || state.get() == ReleaseState.ROLLED_BACK);
      return done ? EXIT_DONE : FleetExitStatus.REFUSED;
    }
  }

  /** What an operator asks of one release. */
  abstract static class ReleaseChangeCommand extends FleetChangeCommand {
    @Parameters(paramLabel = "RELEASE", description = "Which.")
    String name;

    /** Submits a command with who asks, when, and the call's id. */
    int submit(ReleaseCommand command) {
      ObjectNode encoded = ReleaseCommandCodec.encode(command);
      ObjectNode entry = newEntry(encoded.path("op").asText());
      entry.setAll(encoded);
      return submit(entry);
    }
  }

  /** Pauses a release. */
  @Command(
      name = "pause",
      mixinStandardHelpOptions = true,
      description = "No new target goes out until resume; what is under way ends by itself.")
  static final class Pause extends ReleaseChangeCommand {
    @Override
    public Integer call() {
      return submit(new ReleaseCommand.PauseRelease(name, why));
    }
  }

  /** Resumes a release. */
  @Command(
      name = "resume",
      mixinStandardHelpOptions = true,
      description = "Goes on after a pause or a halt, in the direction that it had.")
  static final class Resume extends ReleaseChangeCommand {
    @Override
    public Integer call() {
      return submit(new ReleaseCommand.ResumeRelease(name, why));
    }
  }

  /** Halts a release. */
  @Command(
      name = "halt",
      mixinStandardHelpOptions = true,
      description = "From the entry on that says so, no new target goes out.")
  static final class Halt extends ReleaseChangeCommand {
    @Override
    public Integer call() {
      return submit(new ReleaseCommand.HaltRelease(name, why));
    }
  }

  /** Rolls a release back. */
  @Command(
      name = "rollback",
      aliases = "back",
      mixinStandardHelpOptions = true,
      description = "Rolls back: the newest first, under the same budgets.")
  static final class RollBack extends ReleaseChangeCommand {
    @Option(
        names = "--to-step",
        defaultValue = "0",
        description = "So many steps, from the first on, stay new.")
    private int toStep;

    @Override
    public Integer call() {
      return submit(new ReleaseCommand.RollBack(name, toStep, why));
    }
  }

  /** Overrides a check of a release. */
  @Command(
      name = "override",
      mixinStandardHelpOptions = true,
      description = "Your decision against a check, with who and why in the audit.")
  static final class OverrideCheck extends ReleaseChangeCommand {
    @Option(
        names = "--what",
        required = true,
        description =
            "verdict: the step that has baked is good; lost: those who are lost now are no reason.")
    private String check;

    @Override
    public Integer call() {
      return submit(new ReleaseCommand.OverrideCheck(name, check, why));
    }
  }

  /** Gives a release up. */
  @Command(
      name = "end",
      mixinStandardHelpOptions = true,
      description = "Gives a release up as it stands; others may have its targets then.")
  static final class End extends ReleaseChangeCommand {
    @Override
    public Integer call() {
      return submit(new ReleaseCommand.EndRelease(name, why));
    }
  }

  /** Prints a release's part of the audit. */
  @Command(
      name = "history",
      mixinStandardHelpOptions = true,
      description = "What was done and decided, and by whom; the newest last.")
  static final class History implements Callable<Integer> {
    @Mixin private FleetOptions fleet;

    @Parameters(paramLabel = "RELEASE", description = "Which.")
    private String name;

    @Override
    public Integer call() {
      return fleet.sendAndPrint(
          Json.object().put("op", "status").put("history", true), this::print);
    }

    private void print(ObjectNode response) {
      response
          .path("history")
          .forEach(
              entry -> {
                if (entry.path("release").asText().equals(name)
                    || entry.path("why").asText().contains("release " + name)) {
                  System.out.println(Json.text(entry));
                }
              });
    }
  }
}
