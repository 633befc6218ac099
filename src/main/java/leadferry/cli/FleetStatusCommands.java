package leadferry.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import leadferry.consensus.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Read-only commands: the status, history and health of the fleet and the outlook of a drain. */
final class FleetStatusCommands {
  private static final double HEALTH_TIMEOUT_SECONDS = 2;

  private FleetStatusCommands() {}

  /** Prints the targets that are out of service, the grants and the budgets. */
  @Command(
      name = "status",
      mixinStandardHelpOptions = true,
      description =
          "Shows the targets that are out of service with the reasons, the grants and the budgets.")
  static final class Status implements Callable<Integer> {
    @Mixin private FleetOptions fleet;

    @Option(
        names = "--watch",
        description =
            "Prints the status again after every change until the command is interrupted; retries while no replica is reachable.")
    private boolean watch;

    @Override
    public Integer call() throws InterruptedException {
      ObjectNode request = Json.object().put("op", "status");
      return watch
          ? fleet.pollAndPrintChanges(request, Status::print)
          : fleet.sendAndPrint(request, Status::print);
    }

    private static void print(ObjectNode status) {
      String halted = status.path("halted").asText();
      System.out.println(
          "version " + status.path("version") + (halted.isEmpty() ? "" : ", HALTED: " + halted));
      printUnavailable(status, "proxies");
      printUnavailable(status, "hosts");
      status.path("permits").forEach(Status::printGrant);
      status.path("budgets").forEach(budget -> System.out.println("budget " + Json.text(budget)));
    }

    private static void printUnavailable(ObjectNode status, String kind) {
      List<String> unavailable = new ArrayList<>();
      for (JsonNode target : status.path(kind)) {
        if (!target.path("out").isNull()) {
          unavailable.add(target.path("name").asText() + " (" + target.path("out").asText() + ")");
        }
      }
      System.out.println(
          kind
              + ": "
              + status.path(kind).size()
              + ", out "
              + unavailable.size()
              + (unavailable.isEmpty() ? "" : ": " + String.join(", ", unavailable)));
    }

    private static void printGrant(JsonNode grant) {
      System.out.printf(
          Locale.ROOT,
          "grant %s: %s %s, %s, by %s: %s%n",
          grant.path("id").asText(),
          grant.path("kind").asText(),
          grant.path("name").asText(),
          grant.path("state").asText(),
          grant.path("who").asText(),
          grant.path("why").asText());
      grant
          .path("awaited")
          .properties()
          .forEach(
              awaited ->
                  System.out.println(
                      "  awaits " + awaited.getKey() + ": " + awaited.getValue().asText()));
    }
  }

  /** Prints the outcome that a drain would have now. */
  @Command(
      name = "explain",
      mixinStandardHelpOptions = true,
      description =
          "Shows the outcome that a drain requested now would have, and every bound that applies to it.")
  static final class Explain implements Callable<Integer> {
    @Mixin private FleetOptions fleet;

    @Parameters(index = "0", paramLabel = "proxy|host", description = "Kind of the target.")
    private String kind;

    @Parameters(index = "1", paramLabel = "NAME", description = "Name of the target.")
    private String name;

    @Override
    public Integer call() {
      return fleet.sendAndPrint(
          Json.object().put("op", "explain").put("kind", kind).put("name", name), Explain::print);
    }

    private static void print(ObjectNode response) {
      if (!response.has("would_be")) {
        FleetChangeCommand.print(response);
        return;
      }
      String unavailabilityReason = response.path("out").asText("");
      String halted = response.path("halted").asText();
      System.out.println(
          "a drain of "
              + response.path("kind").asText()
              + " "
              + response.path("name").asText()
              + " would be "
              + response.path("would_be").asText()
              + (response.path("out").isNull()
                  ? ""
                  : "; it is already out of service: " + unavailabilityReason)
              + (halted.isEmpty() ? "" : "; halted: " + halted));
      response.path("bounds").forEach(Explain::printBound);
    }

    private static void printBound(JsonNode bound) {
      List<String> others = new ArrayList<>();
      bound.path("others_out").forEach(name -> others.add(name.asText()));
      System.out.printf(
          Locale.ROOT,
          "  %s: %d of %d may be out of service, %d others are%s%s%n",
          bound.path("bound").asText(),
          bound.path("allowed").asInt(),
          bound.path("of").asInt(),
          others.size(),
          others.isEmpty() ? "" : ": " + String.join(", ", others),
          bound.path("full").asBoolean() ? " (full)" : "");
    }
  }

  /** Prints the history of changes. */
  @Command(
      name = "history",
      mixinStandardHelpOptions = true,
      description = "Shows all changes with requester, reason and outcome, oldest first.")
  static final class History implements Callable<Integer> {
    @Mixin private FleetOptions fleet;

    @Override
    public Integer call() {
      ObjectNode request = Json.object().put("op", "status").put("history", true);
      return fleet.sendAndPrint(
          request,
          status -> status.path("history").forEach(line -> System.out.println(Json.text(line))));
    }
  }

  /** Prints the health of each replica. */
  @Command(
      name = "health",
      mixinStandardHelpOptions = true,
      description = "Shows the role, the term and the log position of each replica.")
  static final class Health implements Callable<Integer> {
    @Mixin private FleetOptions fleet;

    @Override
    public Integer call() {
      int highestStatus = FleetExitStatus.DONE;
      for (FleetOptions replica : fleet.splitByReplica(HEALTH_TIMEOUT_SECONDS)) {
        int status =
            replica.sendAndPrint(
                Json.object().put("op", "health"), health -> System.out.println(Json.text(health)));
        highestStatus = Math.max(highestStatus, status);
      }
      return highestStatus;
    }
  }
}
