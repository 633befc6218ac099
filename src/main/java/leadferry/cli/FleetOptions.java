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

/** Which fleet is asked and how: the options that all of its commands share, and the asking. */
final class FleetOptions {
  private static final long WATCH_MILLIS = 500;
  private static final double LONGEST_TIMEOUT_SECONDS = 86_400;

  @Option(names = "--fleet", required = true, description = "The fleet's name.")
  private String fleet;

  @Option(
      names = {"--replica", "--keeper"},
      required = true,
      paramLabel = "NAME=IP:PORT",
      description = "A replica of the agreed state; may be repeated.")
  private Map<String, String> replicas = new LinkedHashMap<>();

  @Option(
      names = "--timeout-s",
      defaultValue = "10",
      description = "How long an answer is waited for.")
  private double timeoutSeconds;

  @Option(names = "--json", description = "The answer as JSON on standard output.")
  private boolean json;

  @CommandLine.Spec(CommandLine.Spec.Target.MIXEE)
  private CommandLine.Model.CommandSpec spec;

  private long deadlineNanos;

  /** A client of these replicas; the time for an answer counts from here on. */
  ReplicaClient openClient() {
    Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    replicas.forEach((name, text) -> addresses.put(name, address(name, text)));
    if (!(timeoutSeconds > 0 && timeoutSeconds <= LONGEST_TIMEOUT_SECONDS)) {
      throw new CommandLine.ParameterException(
          commandLine(), "--timeout-s " + timeoutSeconds + " (expected: above 0, at most 86400)");
    }
    deadlineNanos = nextDeadline();
    return new ReplicaClient(fleet, addresses, push -> {});
  }

  private InetSocketAddress address(String name, String text) {
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

  /** When (ns) the time for an answer is over. */
  long deadlineNanos() {
    return deadlineNanos;
  }

  CommandLine commandLine() {
    return spec.commandLine();
  }

  /** Asks and prints; {@code printer} prints the answer for people. The exit status. */
  int sendAndPrint(ObjectNode request, Consumer<ObjectNode> printer) {
    try (ReplicaClient client = openClient()) {
      return printResponse(client.call(request, deadlineNanos), printer);
    } catch (UnreachableException e) {
      return printUnreachable(e, request);
    }
  }

  /** Asks again and again and prints what has changed; ends only with this process. */
  int pollAndPrintChanges(ObjectNode request, Consumer<ObjectNode> printer)
      throws InterruptedException {
    String last = "";
    try (ReplicaClient client = openClient()) {
      while (true) {
        ObjectNode answer = askOnce(client, request);
        String text = Json.text(answer);
        if (!text.equals(last)) {
          last = text;
          printChange(answer, printer);
        }
        Thread.sleep(WATCH_MILLIS);
      }
    }
  }

  private ObjectNode askOnce(ReplicaClient client, ObjectNode request) {
    try {
      ObjectNode answer = client.call(request, nextDeadline());
      answer.remove("id");
      return answer;
    } catch (UnreachableException e) {
      return Json.object().put("status", "unreachable").put("why", e.getMessage());
    }
  }

  private void printChange(ObjectNode answer, Consumer<ObjectNode> printer) {
    if (json) {
      System.out.println(Json.text(answer));
      return;
    }
    System.out.println("-- " + Instant.now());
    if (answer.path("status").asText().equals("unreachable")) {
      System.out.println("no replica can be reached: " + answer.path("why").asText());
    } else {
      printer.accept(answer);
    }
  }

  /** Prints an answer; the exit status. */
  int printResponse(ObjectNode answer, Consumer<ObjectNode> printer) {
    answer.remove("id");
    if (json) {
      System.out.println(Json.text(answer));
    } else {
      printer.accept(answer);
    }
    String withoutStatus = answer.has("error") ? "malformed" : "done";
    return FleetExitStatus.forOutcome(answer.path("status").asText(withoutStatus));
  }

  /** Prints that no answer came, and whether the request may have been carried out. */
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
      System.out.println("undecided (" + cause.getMessage() + "): ask again with --id " + callId);
    } else {
      System.out.println("no replica can be reached: " + cause.getMessage());
    }
    return undecided ? FleetExitStatus.UNDECIDED : FleetExitStatus.UNREACHABLE;
  }

  /** The same options for each replica alone, with that much time at most. */
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
