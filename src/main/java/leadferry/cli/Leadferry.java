package leadferry.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Root command of the program. Each subcommand prints its own help. */
@Command(
    name = "leadferry",
    description = "A client-side load-balancing proxy.",
    mixinStandardHelpOptions = true,
    version = "leadferry 0.1.0",
    subcommands = {
      DaemonCommand.class,
      ReplicaCommand.class,
      FleetCommand.class,
      FaultTestCommand.class,
      CheckCommand.class,
      FakeUpstreamCommand.class,
      LoadCommand.class,
      DemoCommand.class,
      OverloadTestCommand.class
    },
    footer = {
      "",
      "The platform starts the subcommands proxy, adapter and warm-up, which take no options.",
      "Exit status: 0 for success, 1 for a failure or a violated rule, 2 for an invalid file or invalid arguments."
    })
public final class Leadferry implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  /** Runs the command that the arguments name and returns its exit status. */
  public static int run(String[] args) {
    return new CommandLine(new Leadferry()).setCaseInsensitiveEnumValuesAllowed(true).execute(args);
  }

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "Missing command");
  }
}
