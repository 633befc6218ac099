package leadferry.release;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import leadferry.disruption.DisruptionState;
import leadferry.disruption.TargetType;

/**
 * Maps a {@link ReleasePlan} to and from the JSON form of entries, status views and snapshots. Some
 * stored keys differ from the names in the code: {@code of} is the target type, {@code from} the
 * previous version, {@code guard} the bounds of the canary analysis, and {@code carry} the commands
 * that change a target.
 */
public final class ReleasePlanCodec {
  /** Maximum number of targets in a plan. */
  private static final int MAX_TARGETS = 20_000;

  private static final int MAX_AT_ONCE = 100_000;
  private static final int MAX_LOST_TARGETS = 100_000;
  private static final int DEFAULT_LOST_TARGETS = 2;
  private static final long MIN_LIMIT_MILLIS = 100;
  private static final long MAX_LIMIT_MILLIS = 30L * 24 * 3_600_000;
  private static final long DEFAULT_ACTION_MILLIS = 300_000;
  private static final long DEFAULT_RELEASE_MILLIS = 24 * 3_600_000L;

  private final List<String> errors;

  private ReleasePlanCodec(List<String> errors) {
    this.errors = errors;
  }

  /** Writes the stored form of a plan. */
  public static void write(ReleasePlan plan, ObjectNode json) {
    ReleasePlan.Limits limits = plan.limits();
    ReleasePlan.Policies policies = plan.policies();
    json.put("name", plan.name())
        .put("of", plan.targetType().storedName())
        .put("version", plan.version())
        .put("from", plan.previousVersion())
        .put("action_ms", limits.actionTimeoutMillis())
        .put("longest_ms", limits.releaseTimeoutMillis())
        .put("halt_lost", limits.lostTargetsToHalt())
        .put("on_takeover", policies.haltOnTakeover() ? "halt" : "go")
        .put("on_missing", policies.skipLostTargets() ? "skip" : "wait")
        .put("on_wrong", policies.keepWrongVersionsOut() ? "hold" : "queue")
        .put("on_verdict", policies.rollBackOnVerdict() ? "back" : "halt");
    CanaryBoundsCodec.write(plan.canaryBounds(), json.putObject("guard"));
    json.set("carry", plan.changeCommands());
    ArrayNode steps = json.putArray("steps");
    for (ReleasePlan.Step step : plan.steps()) {
      ObjectNode stepJson =
          steps
              .addObject()
              .put("name", step.name())
              .put("at_once", step.maxConcurrent())
              .put("bake_ms", step.bakeMillis());
      step.targets().forEach(stepJson.putArray("targets")::add);
    }
  }

  /**
   * Reads a plan.
   *
   * @param errors receives one line for each invalid value
   * @return the plan, or null if there was an error
   */
  public static ReleasePlan read(JsonNode json, List<String> errors) {
    int errorsBefore = errors.size();
    ReleasePlan plan = new ReleasePlanCodec(errors).readPlan(json);
    return errors.size() > errorsBefore ? null : plan;
  }

  private ReleasePlan readPlan(JsonNode json) {
    String name = readText(json, "name", ReleasePlan.NAME_PATTERN);
    String version = readText(json, "version", DisruptionState.NAME_PATTERN);
    String previousVersion = readText(json, "from", DisruptionState.NAME_PATTERN);
    if (version.equals(previousVersion) && !version.isEmpty()) {
      errors.add("from: '" + previousVersion + "' (expected: another than version)");
    }
    TargetType targetType = TargetType.fromStoredName(json.path("of").asText(""));
    if (targetType == null) {
      errors.add("of: '" + json.path("of").asText("") + "' (expected: proxy or host)");
    }
    // Separate statements, because the errors are reported in the order of these reads.
    List<ReleasePlan.Step> steps = readSteps(json.path("steps"));
    CanaryAnalysis.Bounds canaryBounds = CanaryBoundsCodec.read(json.path("guard"), errors);
    ReleasePlan.Limits limits = readLimits(json);
    ReleasePlan.Policies policies = readPolicies(json);
    return new ReleasePlan(
        name,
        targetType,
        version,
        previousVersion,
        steps,
        limits,
        policies,
        canaryBounds,
        json.path("carry").deepCopy());
  }

  private List<ReleasePlan.Step> readSteps(JsonNode json) {
    List<ReleasePlan.Step> steps = new ArrayList<>();
    Map<String, String> stepByTarget = new HashMap<>();
    Set<String> names = new HashSet<>();
    for (JsonNode stepJson : json) {
      String name = readText(stepJson, "name", ReleasePlan.NAME_PATTERN);
      if (!names.add(name)) {
        errors.add("step " + name + ": a second time (expected: a name of its own)");
      }
      List<String> targets = readTargets(stepJson, name, stepByTarget);
      int atOnce = (int) readNumber(stepJson, "at_once", 1, 1, MAX_AT_ONCE);
      long bakeMillis = readNumber(stepJson, "bake_ms", 0, 0, MAX_LIMIT_MILLIS);
      steps.add(new ReleasePlan.Step(name, targets, atOnce, bakeMillis));
    }
    if (steps.isEmpty() || stepByTarget.size() > MAX_TARGETS) {
      errors.add(
          "steps: "
              + steps.size()
              + " with "
              + stepByTarget.size()
              + " targets (expected: one or more, and at most "
              + MAX_TARGETS
              + " targets)");
    }
    return steps;
  }

  private List<String> readTargets(
      JsonNode stepJson, String step, Map<String, String> stepByTarget) {
    List<String> targets = new ArrayList<>();
    for (JsonNode targetJson : stepJson.path("targets")) {
      String target = targetJson.asText();
      String other = stepByTarget.putIfAbsent(target, step);
      if (other != null) {
        errors.add(
            "step "
                + step
                + ", targets: "
                + target
                + " stands in step "
                + other
                + " already (expected: once)");
      }
      targets.add(target);
    }
    if (targets.isEmpty()) {
      errors.add("step " + step + ": no targets (expected: one or more)");
    }
    return targets;
  }

  private ReleasePlan.Limits readLimits(JsonNode json) {
    return new ReleasePlan.Limits(
        readNumber(json, "action_ms", DEFAULT_ACTION_MILLIS, MIN_LIMIT_MILLIS, MAX_LIMIT_MILLIS),
        readNumber(json, "longest_ms", DEFAULT_RELEASE_MILLIS, MIN_LIMIT_MILLIS, MAX_LIMIT_MILLIS),
        (int) readNumber(json, "halt_lost", DEFAULT_LOST_TARGETS, 0, MAX_LOST_TARGETS));
  }

  private ReleasePlan.Policies readPolicies(JsonNode json) {
    return new ReleasePlan.Policies(
        isSecondChoice(json, "on_takeover", "go", "halt"),
        isSecondChoice(json, "on_missing", "wait", "skip"),
        isSecondChoice(json, "on_wrong", "queue", "hold"),
        isSecondChoice(json, "on_verdict", "halt", "back"));
  }

  private String readText(JsonNode json, String key, String pattern) {
    String text = json.path(key).asText("");
    if (!text.matches(pattern)) {
      errors.add(key + ": '" + text + "' (expected: letters, digits, _, - and ., at most 64)");
    }
    return text;
  }

  private long readNumber(JsonNode json, String key, long defaultValue, long min, long max) {
    JsonNode value = json.path(key);
    if (value.isMissingNode()) {
      return defaultValue;
    }
    if (!value.canConvertToLong() || value.asLong() < min || value.asLong() > max) {
      errors.add(key + ": " + value + " (expected: " + min + " to " + max + ")");
      return defaultValue;
    }
    return value.asLong();
  }

  /** Returns whether a key has the second of its two values; a missing key stands for the first. */
  private boolean isSecondChoice(JsonNode json, String key, String first, String second) {
    String text = json.path(key).asText(first).toLowerCase(Locale.ROOT);
    if (!text.equals(first) && !text.equals(second)) {
      errors.add(key + ": '" + text + "' (expected: " + first + " or " + second + ")");
    }
    return text.equals(second);
  }
}
