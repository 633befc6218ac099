package leadferry.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import leadferry.disruption.Budget;
import leadferry.disruption.TargetType;

/**
 * Reads the steps of a release file and selects their targets.
 *
 * <p>A step takes only targets that no earlier step has taken: the targets that it names, or those
 * that carry its labels, or a share of the latter.
 */
final class ReleaseFileSteps {
  private static final int MAX_AT_ONCE = 100_000;

  /** Label value of a target without a label of that kind. */
  private static final String NO_LABEL = "-";

  private final String targetType;
  private final Map<String, JsonNode> fleet = new LinkedHashMap<>();
  private final Set<String> taken = new HashSet<>();

  /**
   * Creates a reader.
   *
   * @param targetType type of the release's targets, as stored
   * @param status status of the fleet, which lists the targets
   */
  ReleaseFileSteps(String targetType, JsonNode status) {
    this.targetType = targetType;
    boolean proxies = TargetType.fromStoredName(targetType) == TargetType.PROXY;
    for (JsonNode member : status.path(proxies ? "proxies" : "hosts")) {
      fleet.put(member.path("name").asText(), member);
    }
  }

  void read(TomlSection release, ArrayNode steps) {
    Map<String, String> releaseLabels = labels(release);
    for (TomlSection section : release.tables("step")) {
      ObjectNode step =
          steps.addObject().put("name", section.string("name", null, "the step's name"));
      step.put("at_once", section.integer("at_once", 1, 1, MAX_AT_ONCE))
          .put("bake_ms", section.integer("bake_ms", 0, 0, Integer.MAX_VALUE));
      Map<String, String> stepLabels = labels(section);
      double share = section.number("share", 1, 0, 1);
      List<String> targets = namedTargets(section);
      if (targets.isEmpty()) {
        targets = targetsByLabels(releaseLabels, stepLabels, share);
        if (targets.isEmpty()) {
          section.addError("", "no " + targetType + " is left for it", "a step with targets");
        }
      }
      section.rejectUnknownKeys();
      targets.forEach(step.putArray("targets")::add);
    }
  }

  private List<String> namedTargets(TomlSection section) {
    List<String> targets = new ArrayList<>(section.strings("targets"));
    for (int index = 0; index < targets.size(); index++) {
      String key = "targets[" + index + "]";
      String target = targets.get(index);
      section.requireKnown(key, target, fleet.keySet(), targetType);
      if (!taken.add(target)) {
        section.addError(
            key, "'" + target + "', in a step before", "a target that no step before has");
      }
    }
    return targets;
  }

  private List<String> targetsByLabels(
      Map<String, String> releaseLabels, Map<String, String> stepLabels, double share) {
    List<String> left =
        fleet.entrySet().stream()
            .filter(member -> !taken.contains(member.getKey()))
            .filter(member -> carries(member.getValue(), releaseLabels))
            .filter(member -> carries(member.getValue(), stepLabels))
            .map(Map.Entry::getKey)
            .toList();
    List<String> targets = left.subList(0, (int) Math.ceil(share * left.size()));
    taken.addAll(targets);
    return targets;
  }

  private static boolean carries(JsonNode member, Map<String, String> labels) {
    return labels.entrySet().stream()
        .allMatch(label -> member.path(label.getKey()).asText(NO_LABEL).equals(label.getValue()));
  }

  private static Map<String, String> labels(TomlSection section) {
    Map<String, String> labels = section.stringMap("where");
    for (String label : labels.keySet()) {
      if (!Budget.LABELS.contains(label)) {
        section.addError("where." + label, "'" + label + "'", "zone, pod, pool or kind");
      }
    }
    return labels;
  }
}
