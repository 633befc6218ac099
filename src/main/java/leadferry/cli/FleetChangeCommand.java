package leadferry.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.UUID;
import java.util.concurrent.Callable;
import leadferry.consensus.Json;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** A command that changes something: an entry for the replicated log, with who asks and why. */
abstract class FleetChangeCommand implements Callable<Integer> {
  @Mixin FleetOptions fleet;

  @Option(names = "--why", required = true, description = "The reason, for the audit.")
  String why;

  @Option(names = "--who", description = "Who asks; the user of this shell where it is left out.")
  String who = System.getProperty("user.name");

  @Option(
      names = "--id",
      description = "The call's id: with the one of an earlier call, its one true outcome is told.")
  String callId = UUID.randomUUID().toString();

  /** An entry with that operation, to be filled in. */
  ObjectNode newEntry(String operation) {
    return Json.object()
        .put("op", operation)
        .put("call", callId)
        .put("who", who)
        .put("why", why)
        .put("at", Instant.now().toEpochMilli());
  }

  /** The request that puts an entry into the log. */
  static ObjectNode submitRequest(ObjectNode entry) {
    return Json.object().put("op", "submit").set("entry", entry);
  }

  /** Submits an entry and prints its outcome; the exit status. */
  int submit(ObjectNode entry) {
    return fleet.sendAndPrint(submitRequest(entry), FleetChangeCommand::print);
  }

  /** Prints an outcome for people. */
  static void print(ObjectNode outcome) {
    String grant = outcome.path("permit").asText();
    System.out.println(
        outcome.path("status").asText(outcome.path("error").asText())
            + (outcome.has("permit") ? ", grant " + grant : "")
            + (outcome.path("again").asBoolean() ? " (as was answered before)" : ""));
    outcome.path("why").forEach(reason -> System.out.println("  " + reason.asText()));
  }
}
