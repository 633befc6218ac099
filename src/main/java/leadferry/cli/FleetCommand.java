package leadferry.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import leadferry.daemon.ConfigurationException;
import leadferry.daemon.ReplicaFile;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Parent of the commands on a fleet's control state. Contains the commands that change the state
 * without waiting for proxies.
 */
@Command(
    name = "fleet",
    mixinStandardHelpOptions = true,
    description =
        "Takes proxies and hosts of a fleet out of service, restores them and shows their status.",
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
      "Exit status:",
      "0 done or granted; 1 internal error; 2 invalid arguments or file; 3 refused; 4 halted; 5 no replica is reachable;",
      "6 undecided: the request was sent and its outcome is unknown (repeat the command with the same --id);",
      "7 granted, but not yet carried out by every proxy."
    })
final class FleetCommand implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "Missing command");
  }

  /** Restores the target of a grant. */
  @Command(
      name = "undo",
      mixinStandardHelpOptions = true,
      description = "Returns the target of a grant to service.")
  static final class Undo extends FleetChangeCommand {
    @Parameters(paramLabel = "GRANT", description = "Id of the grant.")
    private String grant;

    @Override
    public Integer call() {
      return submit(newEntry("undo").put("permit", grant));
    }
  }

  /** Halts all grants. */
  @Command(
      name = "halt",
      mixinStandardHelpOptions = true,
      description = "Refuses every new grant in the fleet until resume.")
  static final class Halt extends FleetChangeCommand {
    @Override
    public Integer call() {
      return submit(newEntry("halt"));
    }
  }

  /** Ends a halt. */
  @Command(
      name = "resume",
      mixinStandardHelpOptions = true,
      description = "Ends a halt; new grants are possible again.")
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
      description = "Confirms that the process of a lost proxy is dead.")
  static final class Fence extends FleetChangeCommand {
    @Parameters(paramLabel = "PROXY", description = "Name of the proxy.")
    private String name;

    @Override
    public Integer call() {
      return submit(newEntry("fence").put("name", name));
    }
  }

  /** Removes a permanently stopped proxy from the control state. */
  @Command(
      name = "forget",
      mixinStandardHelpOptions = true,
      description = "Removes a permanently stopped proxy from the control state and all counts.")
  static final class Forget extends FleetChangeCommand {
    @Parameters(paramLabel = "PROXY", description = "Name of the proxy.")
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
      description = "Replaces all budgets of the fleet by the budgets of a file.")
  static final class Budgets extends FleetChangeCommand {
    @Parameters(paramLabel = "FILE", description = "TOML file with [[budget]] tables.")
    private Path file;

    @Option(
        names = "--against",
        defaultValue = "0",
        description =
            "Expected version of the budgets in force, as in 'budgets_version' of status.")
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
