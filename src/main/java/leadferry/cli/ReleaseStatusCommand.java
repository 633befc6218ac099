package leadferry.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.Callable;
import leadferry.consensus.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Prints the status of one release or of all releases. */
@Command(
    name = "status",
    mixinStandardHelpOptions = true,
    description = "Shows the status of a release, or a summary of all releases on one line each.")
final class ReleaseStatusCommand implements Callable<Integer> {
  @Mixin private FleetOptions fleet;

  @Parameters(
      paramLabel = "RELEASE",
      arity = "0..1",
      defaultValue = "",
      description = "Name of the release; by default all releases.")
  private String name;

  @Option(
      names = "--watch",
      description = "Prints the status again after every change until the command is interrupted.")
  private boolean watch;

  @Override
  public Integer call() throws InterruptedException {
    ObjectNode request = Json.object().put("op", "release").put("release", name);
    return watch
        ? fleet.pollAndPrintChanges(request, ReleaseStatusPrinter::print)
        : fleet.sendAndPrint(request, ReleaseStatusPrinter::print);
  }
}
