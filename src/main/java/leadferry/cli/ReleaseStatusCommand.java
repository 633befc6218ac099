package leadferry.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.Callable;
import leadferry.consensus.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Prints where releases stand. */
@Command(
    name = "status",
    mixinStandardHelpOptions = true,
    description = "Where a release stands, or all of them in a line each.")
final class ReleaseStatusCommand implements Callable<Integer> {
  @Mixin private FleetOptions fleet;

  @Parameters(
      paramLabel = "RELEASE",
      arity = "0..1",
      defaultValue = "",
      description = "Which; all of them without.")
  private String name;

  @Option(
      names = "--watch",
      description = "Tells again whenever something has changed, until it is ended.")
  private boolean watch;

  @Override
  public Integer call() throws InterruptedException {
    ObjectNode request = Json.object().put("op", "release").put("release", name);
    return watch
        ? fleet.pollAndPrintChanges(request, ReleaseStatusPrinter::print)
        : fleet.sendAndPrint(request, ReleaseStatusPrinter::print);
  }
}
