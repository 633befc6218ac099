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

/** What a target's own agent asks, where a plan has agents change the targets. */
final class ReleaseAgentCommands {
  private ReleaseAgentCommands() {}

  /** Tells an agent what to do to its target. */
  @Command(
      name = "next",
      mixinStandardHelpOptions = true,
      description = "For an agent: what is to be done to this target now.")
  static final class Next implements Callable<Integer> {
    @Mixin private FleetOptions fleet;

    @Parameters(paramLabel = "RELEASE", description = "Which.")
    private String name;

    @Option(names = "--as", required = true, description = "The target whose agent asks.")
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

  /** Takes an agent's report. */
  @Command(
      name = "report",
      mixinStandardHelpOptions = true,
      description = "For an agent: what its target runs now, after an action that it was given.")
  static final class Report implements Callable<Integer> {
    @Mixin private FleetOptions fleet;

    @Parameters(paramLabel = "RELEASE", description = "Which.")
    private String name;

    @Option(names = "--as", required = true, description = "The target whose agent tells.")
    private String targetName;

    @Option(names = "--action", required = true, description = "As next gave it.")
    private long action;

    @Option(names = "--try", required = true, description = "As next gave it.")
    private int attempt;

    @Option(names = "--found", required = true, description = "The version that runs there now.")
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
