package leadferry.release;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Commands that change targets and check their version, from key {@code carry} of a plan.
 *
 * @param executor process that changes the targets
 * @param changeCommand program that changes a target, with its arguments; empty for agents
 * @param checkCommand program that prints the version of a target, with its arguments; empty if
 *     targets report their version themselves
 * @param timeoutMillis time limit (ms) of each program
 */
public record ChangeCommands(
    Executor executor,
    List<String> changeCommand,
    Optional<List<String>> checkCommand,
    long timeoutMillis) {
  private static final long DEFAULT_TIMEOUT_MILLIS = 60_000;
  private static final String AGENT = "agent";

  /** Process that changes targets. */
  public enum Executor {
    /** The driver runs a command. */
    DRIVER,
    /** The agent of the target fetches its action and reports the result. */
    AGENT
  }

  /** Reads key {@code carry} of a validated plan. */
  static ChangeCommands read(JsonNode json) {
    JsonNode check = json.path("check");
    return new ChangeCommands(
        json.path("by").asText().equals(AGENT) ? Executor.AGENT : Executor.DRIVER,
        readArguments(json.path("command")),
        check.isArray() ? Optional.of(readArguments(check)) : Optional.empty(),
        json.path("timeout_ms").asLong(DEFAULT_TIMEOUT_MILLIS));
  }

  private static List<String> readArguments(JsonNode json) {
    List<String> arguments = new ArrayList<>();
    json.forEach(argument -> arguments.add(argument.asText()));
    return arguments;
  }
}
