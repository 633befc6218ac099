package leadferry.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import leadferry.daemon.ConfigurationException;
import leadferry.daemon.ReplicaFile;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** What operators ask of a fleet's agreed state; here stand the commands that change it at once. */
@Command(
    name = "fleet",
    mixinStandardHelpOptions = true,
    description =
        "Takes proxies and hosts of a fleet out of service and back, and tells who is out.",
    subcommands = {
      FleetDrainCommands.Drain.class,
      FleetDrainCommands.Leave.class,
      FleetCommand.Undo.class,
      FleetCommand.Halt.class,
      FleetCommand.Resume.class,
      FleetCommand.Fence.class,
      FleetCommand.Forget.class,
      FleetCommand.Budgets.class,
      FleetStatusCommands.Status.class,
      FleetStatusCommands.Explain.class,
      FleetStatusCommands.History.class,
      FleetStatusCommands.Health.class,
      ReleaseCliCommand.class
    },
    footer = {
      "",
      "Exit status: 0 done or granted, 1 internal, 2 faulty arguments or file, 3 refused, 4 halted, 5 no replica can be reached,",
      "6 undecided: it was sent, and what became of it is not known; ask again with the same --id, 7 granted, and somebody is awaited."
    })
final class FleetCommand implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "Missing command");
  }

  /** Gives back what a grant took out. */
  @Command(
      name = "undo",
      mixinStandardHelpOptions = true,
      description = "Gives back what a grant took out.")
  static final class Undo extends FleetChangeCommand {
    @Parameters(paramLabel = "GRANT", description = "The grant's id.")
    private String grant;

    @Override
    public Integer call() {
      return submit(newEntry("undo").put("permit", grant));
    }
  }

  /** Grants nothing more. */
  @Command(
      name = "halt",
      mixinStandardHelpOptions = true,
      description = "Nothing more is granted, anywhere, until resume.")
  static final class Halt extends FleetChangeCommand {
    @Override
    public Integer call() {
      return submit(newEntry("halt"));
    }
  }

  /** Grants again. */
  @Command(name = "resume", mixinStandardHelpOptions = true, description = "Ends a halt.")
  static final class Resume extends FleetChangeCommand {
    @Override
    public Integer call() {
      return submit(newEntry("resume"));
    }
  }

  /** Declares a lost proxy's process dead. */
  @Command(
      name = "fence",
      mixinStandardHelpOptions = true,
      description = "Your word that a lost proxy's process is dead.")
  static final class Fence extends FleetChangeCommand {
    @Parameters(paramLabel = "PROXY", description = "Which.")
    private String name;

    @Override
    public Integer call() {
      return submit(newEntry("fence").put("name", name));
    }
  }

  /** Forgets a proxy that has gone for good. */
  @Command(
      name = "forget",
      mixinStandardHelpOptions = true,
      description = "Takes a proxy that has gone for good out of all counts.")
  static final class Forget extends FleetChangeCommand {
    @Parameters(paramLabel = "PROXY", description = "Which.")
    private String name;

    @Override
    public Integer call() {
      return submit(newEntry("forget").put("name", name));
    }
  }

  /** Replaces all budgets. */
  @Command(
      name = "budgets",
      mixinStandardHelpOptions = true,
      description = "Puts the budgets of a file in force, in place of all others.")
  static final class Budgets extends FleetChangeCommand {
    @Parameters(paramLabel = "FILE", description = "TOML with [[budget]] tables.")
    private Path file;

    @Option(
        names = "--against",
        defaultValue = "0",
        description = "The version that they replace: 'budgets_version' of status.")
    private long expectedVersion;

    @Override
    public Integer call() {
      ObjectNode entry = newEntry("budgets").put("against", expectedVersion);
      try {
        entry.set("budgets", ReplicaFile.readBudgets(file));
      } catch (ConfigurationException e) {
        System.err.println(e.getMessage());
        return FleetExitStatus.INVALID_INPUT;
      }
      return submit(entry);
    }
  }
}
