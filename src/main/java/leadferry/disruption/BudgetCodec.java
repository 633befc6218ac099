package leadferry.disruption;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Maps a {@link Budget} to and from its JSON form in snapshots, log entries and the operator's
 * file.
 *
 * <pre>
 *   name       name
 *   of         targetType
 *   where      selector
 *   by         groupBy
 *   max_out    maxUnavailable
 *   max_share  maxUnavailableShare
 *   min_in     minAvailable
 * </pre>
 */
final class BudgetCodec {
  private BudgetCodec() {}

  /** Adds the keys of the budget to a JSON object. */
  static void encode(Budget budget, ObjectNode json) {
    json.put("name", budget.name())
        .put("of", budget.targetType().storedName())
        .put("by", budget.groupBy())
        .put("max_out", budget.maxUnavailable())
        .put("max_share", budget.maxUnavailableShare())
        .put("min_in", budget.minAvailable());
    ObjectNode selector = json.putObject("where");
    new TreeMap<>(budget.selector()).forEach(selector::put);
  }

  /**
   * Reads a budget.
   *
   * @param errors receives one line for each invalid value
   * @return the budget, or null if there was an error
   */
  static Budget decode(JsonNode json, List<String> errors) {
    int errorsBefore = errors.size();
    String name = decodeName(json, errors);
    TargetType targetType = decodeTargetType(name, json, errors);
    String groupBy = decodeGroupBy(name, json, errors);
    Map<String, String> selector = decodeSelector(name, json, errors);
    int maxUnavailable = json.path("max_out").asInt(Budget.NO_COUNT_BOUND);
    double maxUnavailableShare = json.path("max_share").asDouble(Budget.NO_SHARE_BOUND);
    int minAvailable = json.path("min_in").asInt(0);
    if (maxUnavailable < 0 && maxUnavailableShare > 1 && minAvailable <= 0) {
      errors.add("budget " + name + ": no bound (expected: max_out, max_share or min_in)");
    }
    if (maxUnavailableShare < 0 || minAvailable < 0) {
      errors.add("budget " + name + ": below 0 (expected: bounds of 0 or more)");
    }
    if (errors.size() > errorsBefore) {
      return null;
    }
    return new Budget(
        name, targetType, selector, groupBy, maxUnavailable, maxUnavailableShare, minAvailable);
  }

  private static String decodeName(JsonNode json, List<String> errors) {
    String name = json.path("name").asText("");
    if (!name.matches(DisruptionState.NAME_PATTERN)) {
      errors.add("budget name: '" + name + "' (expected: letters, digits, _, - and ., at most 64)");
    }
    return name;
  }

  private static TargetType decodeTargetType(String name, JsonNode json, List<String> errors) {
    String storedName = json.path("of").asText("");
    TargetType targetType = TargetType.fromStoredName(storedName);
    if (targetType == null) {
      errors.add("budget " + name + ", of: '" + storedName + "' (expected: proxy or host)");
    }
    return targetType;
  }

  private static String decodeGroupBy(String name, JsonNode json, List<String> errors) {
    String groupBy = json.path("by").asText(Budget.ALL);
    if (!groupBy.equals(Budget.ALL) && !Budget.LABELS.contains(groupBy)) {
      errors.add(
          "budget " + name + ", by: '" + groupBy + "' (expected: all, zone, pod, pool or kind)");
    }
    return groupBy;
  }

  private static Map<String, String> decodeSelector(
      String name, JsonNode json, List<String> errors) {
    Map<String, String> selector = new TreeMap<>();
    for (Map.Entry<String, JsonNode> entry : json.path("where").properties()) {
      String label = entry.getKey();
      if (!Budget.LABELS.contains(label)) {
        errors.add(
            "budget " + name + ", where: '" + label + "' (expected: zone, pod, pool or kind)");
      }
      selector.put(label, entry.getValue().asText());
    }
    return selector;
  }
}
