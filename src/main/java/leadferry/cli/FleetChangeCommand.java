package leadferry.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.UUID;
import java.util.concurrent.Callable;
import leadferry.consensus.Json;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Base of the commands that change the control state. Each submits one entry to the replicated log,
 * with the requester and the reason.
 */
abstract class FleetChangeCommand implements Callable<Integer> {
  @Mixin FleetOptions fleet;

  @Option(
      names = "--why",
      required = true,
      description = "Reason of the change, recorded in the history.")
  String why;

  @Option(
      names = "--who",
      description = "Requester of the change; by default the current operating system user.")
  String who = System.getProperty("user.name");

  @Option(
      names = "--id",
      description =
          "Id of the call. The id of an earlier call returns the outcome of that call and changes nothing.")
  String callId = UUID.randomUUID().toString();

  /** Returns a log entry for the operation, without the fields specific to the operation. */
  ObjectNode newEntry(String operation) {
    return Json.object()
        .put("op", operation)
        .put("call", callId)
        .put("who", who)
        .put("why", why)
        .put("at", Instant.now().toEpochMilli());
  }

  /** Returns the request that submits an entry to the replicated log. */
  static ObjectNode submitRequest(ObjectNode entry) {
    return Json.object().put("op", "submit").set("entry", entry);
  }

  /** Submits an entry, prints its outcome and returns the exit status. */
  int submit(ObjectNode entry) {
    return fleet.sendAndPrint(submitRequest(entry), FleetChangeCommand::print);
  }

  /** Prints an outcome as human-readable text. */
  static void print(ObjectNode outcome) {
    String grant = outcome.path("permit").asText();
    System.out.println(
        outcome.path("status").asText(outcome.path("error").asText())
            + (outcome.has("permit") ? ", grant " + grant : "")
            + (outcome.path("again").asBoolean()
                ? " (outcome of an earlier call with this id)"
                : ""));
    outcome.path("why").forEach(reason -> System.out.println("  " + reason.asText()));
  }
}
