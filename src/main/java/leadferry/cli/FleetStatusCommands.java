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

/** The commands that only look: who is out of service and why, and what would become of a drain. */
final class FleetStatusCommands {
  private static final double HEALTH_TIMEOUT_SECONDS = 2;

  private FleetStatusCommands() {}

  /** Who is out of service, the grants and budgets. */
  @Command(
      name = "status",
      mixinStandardHelpOptions = true,
      description = "Who is out and why, grants and budgets.")
  static final class Status implements Callable<Integer> {
    @Mixin private FleetOptions fleet;

    @Option(
        names = "--watch",
        description =
            "Tells again whenever something has changed, until it is ended; unreachable replicas are told and asked again.")
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

  /** What would become of a drain. */
  @Command(
      name = "explain",
      mixinStandardHelpOptions = true,
      description =
          "What would become of a drain asked for now, and each bound that it would meet.")
  static final class Explain implements Callable<Integer> {
    @Mixin private FleetOptions fleet;

    @Parameters(index = "0", paramLabel = "proxy|host", description = "What it is.")
    private String kind;

    @Parameters(index = "1", paramLabel = "NAME", description = "Which.")
    private String name;

    @Override
    public Integer call() {
      return fleet.sendAndPrint(
          Json.object().put("op", "explain").put("kind", kind).put("name", name), Explain::print);
    }

    private static void print(ObjectNode answer) {
      if (!answer.has("would_be")) {
        FleetChangeCommand.print(answer);
        return;
      }
      String out = answer.path("out").asText("");
      String halted = answer.path("halted").asText();
      System.out.println(
          "a drain of "
              + answer.path("kind").asText()
              + " "
              + answer.path("name").asText()
              + " would be "
              + answer.path("would_be").asText()
              + (answer.path("out").isNull() ? "" : "; it is out: " + out)
              + (halted.isEmpty() ? "" : "; halted: " + halted));
      answer.path("bounds").forEach(Explain::printBound);
    }

    private static void printBound(JsonNode bound) {
      List<String> others = new ArrayList<>();
      bound.path("others_out").forEach(name -> others.add(name.asText()));
      System.out.printf(
          Locale.ROOT,
          "  %s: %d of %d may be out, %d others are%s%s%n",
          bound.path("bound").asText(),
          bound.path("allowed").asInt(),
          bound.path("of").asInt(),
          others.size(),
          others.isEmpty() ? "" : ": " + String.join(", ", others),
          bound.path("full").asBoolean() ? " (full)" : "");
    }
  }

  /** The audit. */
  @Command(
      name = "history",
      mixinStandardHelpOptions = true,
      description = "Who asked what, why, and what became of it; the newest last.")
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

  /** Each replica by itself. */
  @Command(
      name = "health",
      mixinStandardHelpOptions = true,
      description = "Each replica's role, term and how far it is.")
  static final class Health implements Callable<Integer> {
    @Mixin private FleetOptions fleet;

    @Override
    public Integer call() {
      int worst = FleetExitStatus.DONE;
      for (FleetOptions replica : fleet.splitByReplica(HEALTH_TIMEOUT_SECONDS)) {
        int status =
            replica.sendAndPrint(
                Json.object().put("op", "health"), health -> System.out.println(Json.text(health)));
        worst = Math.max(worst, status);
      }
      return worst;
    }
  }
}
