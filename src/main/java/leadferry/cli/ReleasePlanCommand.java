package leadferry.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import leadferry.consensus.Json;
import leadferry.consensus.ReplicaClient;
import leadferry.consensus.ReplicaClient.UnreachableException;
import leadferry.disruption.Outcome.Status;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * Validates a release plan without starting it. Prints its steps and the budgets that block
 * targets.
 */
@Command(
    name = "plan",
    mixinStandardHelpOptions = true,
    description =
        "Validates a release plan against the current state of the fleet and prints its steps, without changing anything.")
final class ReleasePlanCommand implements Callable<Integer> {
  @Mixin private FleetOptions fleet;

  @Parameters(paramLabel = "FILE", description = "TOML file with a [release] table.")
  private Path file;

  @Override
  public Integer call() {
    ReleasePlanReader.Result result = ReleasePlanReader.read(fleet, file);
    return result.plan().map(this::validate).orElse(result.exitStatus());
  }

  private int validate(ObjectNode plan) {
    ObjectNode response = Json.object().put("status", Status.DONE.storedName());
    response.set("plan", plan);
    try {
      List<String> blockingBounds = findBlockingBounds(plan);
      if (!blockingBounds.isEmpty()) {
        response.put("status", Status.REFUSED.storedName());
        blockingBounds.forEach(response.putArray("why")::add);
      }
    } catch (UnreachableException e) {
      return ReleasePlanReader.printUnreachable(e);
    }
    return fleet.printResponse(response, ReleasePlanCommand::print);
  }

  /** Returns one line for each target and bound that allows no target at all out of service. */
  private List<String> findBlockingBounds(ObjectNode plan) throws UnreachableException {
    List<String> lines = new ArrayList<>();
    try (ReplicaClient client = fleet.openClient()) {
      for (JsonNode step : plan.path("steps")) {
        for (JsonNode name : step.path("targets")) {
          ObjectNode request =
              Json.object()
                  .put("op", "explain")
                  .put("kind", plan.path("of").asText())
                  .put("name", name.asText());
          addBlockingBounds(name.asText(), client.call(request, fleet.deadlineNanos()), lines);
        }
      }
    }
    return lines;
  }

  private static void addBlockingBounds(String name, JsonNode explanation, List<String> lines) {
    for (JsonNode bound : explanation.path("bounds")) {
      int allowed = bound.path("allowed").asInt();
      if (allowed < 1) {
        lines.add(
            name
                + ": "
                + bound.path("bound").asText()
                + " allows "
                + allowed
                + " of "
                + bound.path("of").asInt());
      }
    }
  }

  private static void print(ObjectNode response) {
    JsonNode plan = response.path("plan");
    System.out.println(
        plan.path("name").asText()
            + ": "
            + plan.path("of").asText()
            + "s from "
            + plan.path("from").asText()
            + " to "
            + plan.path("version").asText());
    int index = 0;
    for (JsonNode step : plan.path("steps")) {
      printStep(index, step);
      index++;
    }
    if (response.has("why")) {
      System.out.println("targets that a budget never allows out of service:");
      response.path("why").forEach(line -> System.out.println("  " + line.asText()));
    }
  }

  private static void printStep(int index, JsonNode step) {
    List<String> targets = new ArrayList<>();
    step.path("targets").forEach(name -> targets.add(name.asText()));
    System.out.println(
        "  step "
            + index
            + " "
            + step.path("name").asText()
            + ": "
            + step.path("at_once").asInt()
            + " at once of "
            + targets.size()
            + ", bakes "
            + step.path("bake_ms").asLong()
            + " ms: "
            + String.join(" ", targets));
  }
}
