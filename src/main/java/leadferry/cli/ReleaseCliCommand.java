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

/**
 * Parent of the commands on releases. Contains the commands that start, drive and control a
 * release.
 */
@Command(
    name = "release",
    mixinStandardHelpOptions = true,
    description =
        "Replaces hosts or restarts proxies in steps within the budgets of the fleet. A release can be halted and rolled back.",
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
      "Exit status: as for fleet, except for drive and next.",
      "drive: 0 if the release is completed or rolled back, 3 if it was ended by an operator or is unknown.",
      "next: 0 if the agent has an action to carry out, 8 if it has none."
    })
final class ReleaseCliCommand implements Runnable {
  /** Exit status of success. */
  static final int EXIT_DONE = 0;

  /** Exit status for invalid arguments or an invalid file. */
  static final int EXIT_INVALID_INPUT = 2;

  /** Exit status of {@code next} if the agent has no action to carry out. */
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
      description = "Submits a release plan to the replicated log. Drivers carry it out.")
  static final class Start extends FleetChangeCommand {
    @Parameters(paramLabel = "FILE", description = "TOML file with a [release] table.")
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
          "Carries out a release until it ends. Several processes may drive the same release: one holds the lease, and another takes over if the lease expires.")
  static final class Drive implements Callable<Integer> {
    private static final long MIN_LEASE_MILLIS = 200;
    private static final long MAX_LEASE_MILLIS = 600_000;
    private static final int MAX_NAME_CHARACTERS = 64;

    @Mixin private FleetOptions fleet;

    @Parameters(paramLabel = "RELEASE", description = "Name of the release.")
    private String name;

    @Option(
        names = "--as",
        required = true,
        description = "Name of this driver, recorded in the history.")
    private String driverName;

    @Option(
        names = "--lease-ms",
        defaultValue = "3000",
        description =
            "Duration of the lease in milliseconds, 200 to 600000; a driver that does not renew it in time is considered lost.")
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

  /** Base of the operator commands that change one release. */
  abstract static class ReleaseChangeCommand extends FleetChangeCommand {
    @Parameters(paramLabel = "RELEASE", description = "Name of the release.")
    String name;

    /** Submits a command with its requester, time and call id. Returns the exit status. */
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
      description =
          "Takes no further target out of service until resume. Changes in progress are completed.")
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
      description = "Continues a paused or halted release in its previous direction.")
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
      description =
          "Halts the release: no further target goes out of service after the halt is in the replicated log.")
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
      description =
          "Rolls the release back within the same budgets, the last changed target first.")
  static final class RollBack extends ReleaseChangeCommand {
    @Option(
        names = "--to-step",
        defaultValue = "0",
        description = "Number of steps, counted from the first, that keep the new version.")
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
      description =
          "Overrides a check of the release. The history records the requester and the reason.")
  static final class OverrideCheck extends ReleaseChangeCommand {
    @Option(
        names = "--what",
        required = true,
        description =
            "Check to override. verdict: accepts the step that has been observed. lost: the targets that are lost now do not halt the release.")
    private String check;

    @Override
    public Integer call() {
      return submit(new ReleaseCommand.OverrideCheck(name, check, why));
    }
  }

  /** Ends a release in its current state. */
  @Command(
      name = "end",
      mixinStandardHelpOptions = true,
      description =
          "Ends the release in its current state. Other releases can use its targets afterwards.")
  static final class End extends ReleaseChangeCommand {
    @Override
    public Integer call() {
      return submit(new ReleaseCommand.EndRelease(name, why));
    }
  }

  /** Prints the history of one release. */
  @Command(
      name = "history",
      mixinStandardHelpOptions = true,
      description =
          "Shows the actions and decisions of the release and who made them, oldest first.")
  static final class History implements Callable<Integer> {
    @Mixin private FleetOptions fleet;

    @Parameters(paramLabel = "RELEASE", description = "Name of the release.")
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
