package leadferry.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import leadferry.consensus.Json;
import leadferry.consensus.ReplicaClient;
import leadferry.consensus.ReplicaClient.UnreachableException;
import leadferry.engine.Addresses;
import picocli.CommandLine;
import picocli.CommandLine.Option;

/**
 * Options that all fleet commands share: the replicas, the timeout and the output format. Sends the
 * requests of these commands and prints the responses.
 */
final class FleetOptions {
  private static final long POLL_INTERVAL_MILLIS = 500;
  private static final double MAX_TIMEOUT_SECONDS = 86_400;

  @Option(names = "--fleet", required = true, description = "Name of the fleet.")
  private String fleet;

  @Option(
      names = {"--replica", "--keeper"},
      required = true,
      paramLabel = "NAME=IP:PORT",
      description = "Name and address of a replica of the control state; may be repeated.")
  private Map<String, String> replicas = new LinkedHashMap<>();

  @Option(
      names = "--timeout-s",
      defaultValue = "10",
      description = "Timeout of a response in seconds, at most 86400.")
  private double timeoutSeconds;

  @Option(names = "--json", description = "Prints the response as JSON on standard output.")
  private boolean json;

  @CommandLine.Spec(CommandLine.Spec.Target.MIXEE)
  private CommandLine.Model.CommandSpec spec;

  private long deadlineNanos;

  /** Opens a client of the replicas and starts the timeout of the response. */
  ReplicaClient openClient() {
    Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    replicas.forEach((name, text) -> addresses.put(name, parseAddress(name, text)));
    if (!(timeoutSeconds > 0 && timeoutSeconds <= MAX_TIMEOUT_SECONDS)) {
      throw new CommandLine.ParameterException(
          commandLine(), "--timeout-s " + timeoutSeconds + " (expected: above 0, at most 86400)");
    }
    deadlineNanos = nextDeadline();
    return new ReplicaClient(fleet, addresses, push -> {});
  }

  private InetSocketAddress parseAddress(String name, String text) {
    InetSocketAddress address = Addresses.parse(text);
    if (address == null || address.getPort() == 0) {
      throw new CommandLine.ParameterException(
          commandLine(), "--replica " + name + "=" + text + " (expected: NAME=IP:PORT)");
    }
    return address;
  }

  private long nextDeadline() {
    return System.nanoTime() + (long) (timeoutSeconds * 1e9);
  }

  /** Returns the {@link System#nanoTime} at which the timeout of the response expires. */
  long deadlineNanos() {
    return deadlineNanos;
  }

  CommandLine commandLine() {
    return spec.commandLine();
  }

  /**
   * Sends a request, prints the response and returns the exit status.
   *
   * @param printer prints the response as human-readable text
   */
  int sendAndPrint(ObjectNode request, Consumer<ObjectNode> printer) {
    try (ReplicaClient client = openClient()) {
      return printResponse(client.call(request, deadlineNanos), printer);
    } catch (UnreachableException e) {
      return printUnreachable(e, request);
    }
  }

  /**
   * Repeats a request twice a second and prints each response that differs from the previous one.
   * Returns only by an exception.
   */
  int pollAndPrintChanges(ObjectNode request, Consumer<ObjectNode> printer)
      throws InterruptedException {
    String lastText = "";
    try (ReplicaClient client = openClient()) {
      while (true) {
        ObjectNode response = poll(client, request);
        String text = Json.text(response);
        if (!text.equals(lastText)) {
          lastText = text;
          printChange(response, printer);
        }
        Thread.sleep(POLL_INTERVAL_MILLIS);
      }
    }
  }

  private ObjectNode poll(ReplicaClient client, ObjectNode request) {
    try {
      ObjectNode response = client.call(request, nextDeadline());
      response.remove("id");
      return response;
    } catch (UnreachableException e) {
      return Json.object().put("status", "unreachable").put("why", e.getMessage());
    }
  }

  private void printChange(ObjectNode response, Consumer<ObjectNode> printer) {
    if (json) {
      System.out.println(Json.text(response));
      return;
    }
    System.out.println("-- " + Instant.now());
    if (response.path("status").asText().equals("unreachable")) {
      System.out.println("no replica can be reached: " + response.path("why").asText());
    } else {
      printer.accept(response);
    }
  }

  /** Prints a response and returns the exit status. */
  int printResponse(ObjectNode response, Consumer<ObjectNode> printer) {
    response.remove("id");
    if (json) {
      System.out.println(Json.text(response));
    } else {
      printer.accept(response);
    }
    String defaultStatus = response.has("error") ? "malformed" : "done";
    return FleetExitStatus.forOutcome(response.path("status").asText(defaultStatus));
  }

  /**
   * Prints that no replica responded and whether the request may have been carried out. Returns the
   * exit status.
   */
  int printUnreachable(UnreachableException cause, ObjectNode request) {
    boolean undecided = cause.requestSent && request.path("op").asText().equals("submit");
    ObjectNode result =
        Json.object()
            .put("status", undecided ? "undecided" : "unreachable")
            .put("why", cause.getMessage());
    String callId = request.path("entry").path("call").asText();
    if (undecided) {
      result.put("call", callId);
    }
    if (json) {
      System.out.println(Json.text(result));
    } else if (undecided) {
      System.out.println(
          "undecided (" + cause.getMessage() + "): repeat the command with --id " + callId);
    } else {
      System.out.println("no replica can be reached: " + cause.getMessage());
    }
    return undecided ? FleetExitStatus.UNDECIDED : FleetExitStatus.UNREACHABLE;
  }

  /** Returns these options for each replica alone, with a timeout of at most the given seconds. */
  List<FleetOptions> splitByReplica(double maxTimeoutSeconds) {
    return replicas.entrySet().stream()
        .map(
            replica -> {
              FleetOptions single = new FleetOptions();
              single.fleet = fleet;
              single.replicas = Map.of(replica.getKey(), replica.getValue());
              single.timeoutSeconds = Math.min(maxTimeoutSeconds, timeoutSeconds);
              single.json = json;
              single.spec = spec;
              return single;
            })
        .toList();
  }
}
