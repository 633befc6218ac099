package leadferry.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import leadferry.consensus.Json;
import leadferry.release.ReleasePlanCodec;

/**
 * Reads the plan of a release (TOML 1.0, {@code docs/RELEASES.md}) and selects its targets from the
 * present state of the fleet. The result is the plan's JSON form, which {@link ReleasePlanCodec}
 * reads.
 */
public final class ReleaseFile {
  private static final int DEFAULT_LIMIT_MILLIS = 300_000;
  private static final int MIN_LIMIT_MILLIS = 100;
  private static final int DEFAULT_LOST_TARGETS = 2;
  private static final int MAX_LOST_TARGETS = 100_000;
  private static final int MAX_MIN_REQUESTS = 1_000_000_000;
  private static final double DEFAULT_MAX_WORSE = 0.02;
  private static final double DEFAULT_MAX_BAD = 0.05;
  private static final double DEFAULT_SIGMAS = 3;
  private static final double MIN_SIGMAS = 0.5;
  private static final double MAX_SIGMAS = 10;
  private static final int DEFAULT_WAIT_MILLIS = 60_000;
  private static final int DEFAULT_COMMAND_MILLIS = 60_000;
  private static final int MIN_COMMAND_MILLIS = 100;
  private static final int MAX_COMMAND_MILLIS = 3_600_000;

  /** What changes a target; the file has the words in lower case. */
  private enum Executor {
    COMMAND("command"),
    AGENT("agent");

    private final String word;

    Executor(String word) {
      this.word = word;
    }
  }

  private ReleaseFile() {}

  /**
   * Reads a plan into its JSON form.
   *
   * @param status status of the fleet from the replicas: proxies and hosts with their labels
   * @throws ConfigurationException with every error found
   */
  public static ObjectNode read(Path file, JsonNode status) throws ConfigurationException {
    TomlSection.Source source =
        new TomlSection.Source(file.toString(), TomlTree.parse(file.toString(), text(file)));
    TomlSection root = new TomlSection(source, "", source.tree.root);
    TomlSection release = root.table("release");
    ObjectNode plan = Json.object();
    readIdentity(release, plan);
    readLimitsAndPolicies(release, plan);
    readGuard(release.table("guard"), plan.putObject("guard"));
    readCommands(release.table("carry"), plan.putObject("carry"));
    new ReleaseFileSteps(plan.path("of").asText(), status).read(release, plan.putArray("steps"));
    release.rejectUnknownKeys();
    root.rejectUnknownKeys();
    if (source.errors.isEmpty()) {
      addPlanErrors(plan, release);
    }
    if (!source.errors.isEmpty()) {
      source.errors.sort(Comparator.comparingInt(ConfigurationError::line));
      throw new ConfigurationException(source.errors);
    }
    return plan;
  }

  private static String text(Path file) throws ConfigurationException {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new ConfigurationException(
          List.of(
              new ConfigurationError(
                  file.toString(), 0, "", "can't be read: " + e, "TOML in UTF-8")));
    }
  }

  private static void readIdentity(TomlSection release, ObjectNode plan) {
    plan.put("name", release.string("name", null, "the release's own name in the fleet"));
    plan.put("of", release.string("of", null, "proxy or host"));
    plan.put("version", release.string("version", null, "what its targets are once it is done"));
    plan.put(
        "from", release.string("from", null, "what they were, and are again after a rollback"));
  }

  /**
   * Copies limits and policies. The code that reads the plan supplies the defaults of absent keys.
   */
  private static void readLimitsAndPolicies(TomlSection release, ObjectNode plan) {
    for (String key : List.of("action_ms", "longest_ms")) {
      if (release.has(key)) {
        plan.put(
            key, release.integer(key, DEFAULT_LIMIT_MILLIS, MIN_LIMIT_MILLIS, Integer.MAX_VALUE));
      }
    }
    plan.put("halt_lost", release.integer("halt_lost", DEFAULT_LOST_TARGETS, 0, MAX_LOST_TARGETS));
    for (String key : List.of("on_takeover", "on_missing", "on_wrong", "on_verdict")) {
      if (release.has(key)) {
        plan.put(key, release.string(key, null, "a word as docs/RELEASES.md tells"));
      }
    }
  }

  private static void readGuard(TomlSection guard, ObjectNode json) {
    json.put("least_requests", guard.integer("least_requests", 0, 0, MAX_MIN_REQUESTS))
        .put("max_worse", guard.number("max_worse", DEFAULT_MAX_WORSE, 0, 1))
        .put("max_bad", guard.number("max_bad", DEFAULT_MAX_BAD, 0, 1))
        .put("sigmas", guard.number("sigmas", DEFAULT_SIGMAS, MIN_SIGMAS, MAX_SIGMAS))
        .put("wait_ms", guard.integer("wait_ms", DEFAULT_WAIT_MILLIS, 0, Integer.MAX_VALUE));
    guard.rejectUnknownKeys();
  }

  private static void readCommands(TomlSection commands, ObjectNode json) {
    Executor executor = commands.enumValue("by", Executor.COMMAND, Executor.class);
    json.put("by", executor.word);
    List<String> change = commands.strings("command");
    if (!change.isEmpty()) {
      change.forEach(json.putArray("command")::add);
    } else if (executor == Executor.COMMAND) {
      commands.addError(
          "command",
          "missing",
          "the program that changes a target, with its arguments; {target} and {version} stand for these");
    }
    List<String> check = commands.strings("check");
    if (!check.isEmpty()) {
      check.forEach(json.putArray("check")::add);
    }
    json.put(
        "timeout_ms",
        commands.integer(
            "timeout_ms", DEFAULT_COMMAND_MILLIS, MIN_COMMAND_MILLIS, MAX_COMMAND_MILLIS));
    commands.rejectUnknownKeys();
  }

  private static void addPlanErrors(ObjectNode plan, TomlSection release) {
    List<String> errors = new ArrayList<>();
    ReleasePlanCodec.read(plan, errors);
    errors.forEach(error -> release.addError("", error, "a plan as docs/RELEASES.md tells"));
  }
}
