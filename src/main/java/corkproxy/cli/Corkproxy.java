package corkproxy.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The commands of the program, see their own help. */
@Command(
    name = "corkproxy",
    description = "A client-side load-balancing proxy.",
    mixinStandardHelpOptions = true,
    version = "corkproxy 0.1.0",
    subcommands = {
      DaemonCommand.class,
      KeeperCommand.class,
      FleetCommand.class,
      FaultsCommand.class,
      CheckCommand.class,
      StandInCommand.class,
      LoadCommand.class,
      DemoCommand.class,
      StormCommand.class
    },
    footer = {
      "",
      "proxy, adapter and rehearse are started by the platform and take no options.",
      "Exit status: 0 done, 1 it went wrong or the rules did not hold, 2 faulty file or arguments."
    })
public final class Corkproxy implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  /** Runs the command that the arguments name; its exit status. */
  public static int run(String[] args) {
    return new CommandLine(new Corkproxy()).setCaseInsensitiveEnumValuesAllowed(true).execute(args);
  }

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "Missing command");
  }
}
