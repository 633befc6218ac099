package leadferry.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The commands of the program, see their own help. */
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
      "proxy, adapter and warm-up are started by the platform and take no options.",
      "Exit status: 0 done, 1 it went wrong or the rules did not hold, 2 faulty file or arguments."
    })
public final class Leadferry implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  /** Runs the command that the arguments name; its exit status. */
  public static int run(String[] args) {
    return new CommandLine(new Leadferry()).setCaseInsensitiveEnumValuesAllowed(true).execute(args);
  }

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "Missing command");
  }
}
