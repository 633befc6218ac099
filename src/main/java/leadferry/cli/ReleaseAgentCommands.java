package leadferry.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.concurrent.Callable;
import leadferry.consensus.Json;
import leadferry.consensus.ReplicaClient;
import leadferry.consensus.ReplicaClient.UnreachableException;
import leadferry.disruption.Outcome.Status;
import leadferry.release.ReleaseCommand;
import leadferry.release.ReleaseCommandCodec;
import leadferry.release.ReleaseTargetView;
import leadferry.release.ReleaseView;
import leadferry.release.ReleaseViewCodec;
import leadferry.release.TargetPhase;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Commands for the agents on the targets, for release plans whose targets are changed by agents.
 */
final class ReleaseAgentCommands {
  private ReleaseAgentCommands() {}

  /** Prints the action that an agent has to carry out on its target. */
  @Command(
      name = "next",
      mixinStandardHelpOptions = true,
      description = "Prints the action that an agent has to carry out on its target now.")
  static final class Next implements Callable<Integer> {
    @Mixin private FleetOptions fleet;

    @Parameters(paramLabel = "RELEASE", description = "Name of the release.")
    private String name;

    @Option(
        names = "--as",
        required = true,
        description = "Name of the target whose agent runs this command.")
    private String targetName;

    @Override
    public Integer call() {
      ObjectNode response;
      try (ReplicaClient client = fleet.openClient()) {
        ObjectNode request = Json.object().put("op", "release").put("release", name);
        response = client.call(request, fleet.deadlineNanos());
      } catch (UnreachableException e) {
        return ReleasePlanReader.printUnreachable(e);
      }
      if (!ReleaseViewCodec.isRelease(response)) {
        return fleet.printResponse(response, FleetChangeCommand::print);
      }
      ReleaseView release = ReleaseViewCodec.read(response);
      Optional<ObjectNode> task =
          release.targets().stream()
              .filter(view -> view.name().equals(targetName) && isWaitingForAgent(view))
              .findFirst()
              .map(view -> task(release, view));
      return task.map(json -> fleet.printResponse(json, Next::print))
          .orElse(ReleaseCliCommand.EXIT_NOTHING_TO_DO);
    }

    private static boolean isWaitingForAgent(ReleaseTargetView view) {
      return view.phase() == TargetPhase.CHANGING && view.observation().isEmpty();
    }

    private static ObjectNode task(ReleaseView release, ReleaseTargetView view) {
      return Json.object()
          .put("status", Status.DONE.storedName())
          .put("action", view.action().number())
          .put("try", view.action().attempts())
          .put("fence", view.action().fence())
          .put("version", release.versionName(view.desiredVersion()));
    }

    private static void print(ObjectNode task) {
      System.out.println(
          "action="
              + task.path("action")
              + " try="
              + task.path("try")
              + " fence="
              + task.path("fence")
              + " version="
              + task.path("version").asText());
    }
  }

  /** Submits the report of an agent about its target. */
  @Command(
      name = "report",
      mixinStandardHelpOptions = true,
      description =
          "Reports the version that a target runs after its agent has carried out an action.")
  static final class Report implements Callable<Integer> {
    @Mixin private FleetOptions fleet;

    @Parameters(paramLabel = "RELEASE", description = "Name of the release.")
    private String name;

    @Option(
        names = "--as",
        required = true,
        description = "Name of the target whose agent reports.")
    private String targetName;

    @Option(
        names = "--action",
        required = true,
        description = "Number of the action, as printed by next.")
    private long action;

    @Option(
        names = "--try",
        required = true,
        description = "Number of the attempt, as printed by next.")
    private int attempt;

    @Option(names = "--found", required = true, description = "Version that the target runs now.")
    private String found;

    @Override
    public Integer call() {
      ObjectNode entry =
          ReleaseCommandCodec.encode(
              new ReleaseCommand.RecordReport(name, targetName, action, attempt, found));
      return fleet.sendAndPrint(
          Json.object().put("op", "submit").set("entry", entry), FleetChangeCommand::print);
    }
  }
}
