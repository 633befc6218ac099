package leadferry.release;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * How targets are changed, by the {@code carry} of a plan.
 *
 * @param executor who changes them
 * @param changeCommand the program that changes a target, with its arguments; empty for agents
 * @param checkCommand the program that prints a target's version, with its arguments; empty where
 *     targets tell their version themselves
 * @param timeoutMillis how long either may run
 */
public record ChangeCommands(
    Executor executor,
    List<String> changeCommand,
    Optional<List<String>> checkCommand,
    long timeoutMillis) {
  private static final long DEFAULT_TIMEOUT_MILLIS = 60_000;
  private static final String AGENT = "agent";

  /** Who changes targets. */
  public enum Executor {
    /** The driver runs a command. */
    DRIVER,
    /** The target's own agent asks what to do and reports. */
    AGENT
  }

  /** Reads the {@code carry} of a plan that was accepted. */
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
