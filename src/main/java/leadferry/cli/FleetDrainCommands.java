package leadferry.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import leadferry.consensus.Json;
import leadferry.consensus.ReplicaClient;
import leadferry.consensus.ReplicaClient.UnreachableException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Commands that take a proxy or host out of service and can wait until every proxy has complied.
 */
final class FleetDrainCommands {
  private static final long POLL_INTERVAL_NANOS = 50_000_000L;

  private FleetDrainCommands() {}

  /**
   * Base of the commands that request a grant and can wait until every proxy has carried it out.
   */
  abstract static class WaitingChangeCommand extends FleetChangeCommand {
    int submitAndAwait(ObjectNode entry) {
      ObjectNode request = submitRequest(entry);
      try (ReplicaClient client = fleet.openClient()) {
        ObjectNode granted = client.call(request, fleet.deadlineNanos());
        if (!granted.path("status").asText().equals("granted")) {
          return fleet.printResponse(granted, FleetChangeCommand::print);
        }
        return await(client, granted);
      } catch (UnreachableException e) {
        return fleet.printUnreachable(e, request);
      }
    }

    private int await(ReplicaClient client, ObjectNode granted) {
      ObjectNode progress = granted;
      while (System.nanoTime() < fleet.deadlineNanos()) {
        try {
          progress = client.call(progressRequest(granted), fleet.deadlineNanos());
        } catch (UnreachableException e) {
          break; // The grant stays in force. Its completion is unknown.
        }
        if (progress.path("carried_out").asBoolean()) {
          return fleet.printResponse(
              granted.put("carried_out", true), WaitingChangeCommand::printCarriedOut);
        }
        client.receivePushes(System.nanoTime() + POLL_INTERVAL_NANOS);
      }
      granted.put("carried_out", false).set("awaited", progress.path("awaited"));
      fleet.printResponse(granted, WaitingChangeCommand::printPending);
      return FleetExitStatus.PENDING;
    }

    private static ObjectNode progressRequest(ObjectNode granted) {
      return Json.object().put("op", "permit").put("permit", granted.path("permit").asText());
    }

    private static void printCarriedOut(ObjectNode granted) {
      System.out.println("out of service, grant " + granted.path("permit").asText());
    }

    private static void printPending(ObjectNode granted) {
      System.out.println(
          "granted, grant " + granted.path("permit").asText() + ", not yet carried out by:");
      granted
          .path("awaited")
          .properties()
          .forEach(
              awaited ->
                  System.out.println("  " + awaited.getKey() + " " + awaited.getValue().asText()));
    }
  }

  /** Takes a proxy out of service permanently. */
  @Command(
      name = "leave",
      mixinStandardHelpOptions = true,
      description = {
        "Takes a proxy out of service before it is stopped permanently, if the budgets allow it, and waits for completion.",
        "Stop the process of the proxy after exit status 0.",
        "The fleet removes the proxy when the proxy reports that it stops."
      })
  static final class Leave extends WaitingChangeCommand {
    @Parameters(paramLabel = "PROXY", description = "Name of the proxy.")
    private String name;

    @Override
    public Integer call() {
      return submitAndAwait(
          newEntry("drain").put("kind", "proxy").put("name", name).put("leave", true));
    }
  }

  /** Takes a proxy or host out of service for a limited time or until undo. */
  @Command(
      name = "drain",
      mixinStandardHelpOptions = true,
      description = "Takes a proxy or a host out of service, if the budgets allow it.")
  static final class Drain extends WaitingChangeCommand {
    private static final Pattern DURATION_PATTERN = Pattern.compile("([0-9]{1,9})(ms|s|m|h)");

    @Parameters(index = "0", paramLabel = "proxy|host", description = "Kind of the target.")
    private String kind;

    @Parameters(index = "1", paramLabel = "NAME", description = "Name of the target.")
    private String name;

    @Option(
        names = "--for",
        paramLabel = "TIME",
        description =
            "Duration of the grant, such as 30s, 10m or 2h; by default the grant lasts until undo.")
    private String duration;

    @Option(
        names = "--wait",
        description =
            "Waits until every proxy has carried out the drain, for at most --timeout-s seconds.")
    private boolean wait;

    @Override
    public Integer call() {
      ObjectNode entry =
          newEntry("drain").put("kind", kind).put("name", name).put("for_ms", durationMillis());
      return wait ? submitAndAwait(entry) : submit(entry);
    }

    private long durationMillis() {
      if (duration == null) {
        return 0;
      }
      Matcher matcher = DURATION_PATTERN.matcher(duration);
      if (!matcher.matches()) {
        throw new CommandLine.ParameterException(
            fleet.commandLine(),
            "--for " + duration + " (expected: a duration such as 500ms, 30s, 10m or 2h)");
      }
      long unitMillis =
          switch (matcher.group(2)) {
            case "ms" -> 1;
            case "s" -> 1_000;
            case "m" -> 60_000;
            default -> 3_600_000;
          };
      return Long.parseLong(matcher.group(1)) * unitMillis;
    }
  }
}
