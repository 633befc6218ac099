package leadferry.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Validates a configuration file that replaces the one in force. The file read at startup may omit
 * keys that have a harmless default. A replacement has the same author as the file before it. A key
 * that only the replacement omits therefore indicates a broken file, and the default of that key
 * would be a rule that nobody chose.
 */
final class ConfigCheck {
  private static final Set<String> SEMANTICS = Set.of("idempotent", "deduplicated", "at_most_once");

  /** Keys that the platform's protocol declares optional. */
  private static final Set<String> OPTIONAL =
      Set.of("aimStretch", "passesDeadline", "warmKeys", "fleet");

  private static final String KNOWN_LIST = "known";

  private final List<String> faults = new ArrayList<>();

  private ConfigCheck() {}

  /**
   * Returns every error of {@code next} as {@code key: expectation}. The list is empty if {@code
   * next} may replace {@code inForce}.
   */
  static List<String> faults(JsonNode inForce, JsonNode next) {
    ConfigCheck check = new ConfigCheck();
    check.requireSameKeys("", inForce, next);
    JsonNode settings = next.path("settings");
    check.requirePositive(
        "settings.limits.maxAttempts", settings.path("limits").path("maxAttempts"));
    check.requireClasses(inForce.path("settings").path("classes"), settings.path("classes"));
    return check.faults;
  }

  /**
   * Requires {@code next} to have each key in force, with a value of the same type. Skips the
   * entries of the known endpoint list.
   */
  private void requireSameKeys(String prefix, JsonNode inForce, JsonNode next) {
    Iterator<Map.Entry<String, JsonNode>> fields = inForce.fields();
    while (fields.hasNext()) {
      Map.Entry<String, JsonNode> field = fields.next();
      String key = prefix + field.getKey();
      JsonNode oldValue = field.getValue();
      JsonNode newValue = next.path(field.getKey());
      boolean missing = newValue.isMissingNode();
      boolean sameType = oldValue.isNull() || newValue.getNodeType() == oldValue.getNodeType();
      if (missing && !OPTIONAL.contains(field.getKey())) {
        faults.add(key + ": missing");
      } else if (!missing && !sameType) {
        faults.add(key + ": expected " + oldValue.getNodeType());
      } else if (newValue.isObject() && !key.equals(KNOWN_LIST)) {
        requireSameKeys(key + ".", oldValue, newValue);
      }
    }
  }

  private void requireClasses(JsonNode inForce, JsonNode next) {
    if (next.isEmpty()) {
      faults.add("settings.classes: empty (expected: at least one class)");
    }
    Set<String> requiredKeys = commonKeys(inForce);
    Set<String> names = new HashSet<>();
    for (int i = 0; i < next.size(); i++) {
      requireClass("settings.classes[" + i + "].", next.get(i), requiredKeys, names);
    }
  }

  private void requireClass(
      String prefix, JsonNode requestClass, Set<String> requiredKeys, Set<String> names) {
    for (String key : requiredKeys) {
      if (requestClass.path(key).isMissingNode()) {
        faults.add(prefix + key + ": missing");
      }
    }
    String name = requestClass.path("name").asText("");
    if (name.isEmpty() || !names.add(name)) {
      faults.add(prefix + "name: expected a name that no other class has");
    }
    if (!SEMANTICS.contains(requestClass.path("semantics").asText(""))) {
      faults.add(prefix + "semantics: expected one of " + SEMANTICS);
    }
    requirePositive(prefix + "deadline", requestClass.path("deadline"));
    requirePositive(prefix + "aim", requestClass.path("aim"));
    if (requestClass.path("repeatWindow").asDouble(0) < 0) {
      faults.add(prefix + "repeatWindow: expected 0 or more");
    }
  }

  /**
   * Returns the keys that every class of the configuration in force has, without the optional ones.
   */
  private static Set<String> commonKeys(JsonNode classes) {
    Set<String> common = null;
    for (JsonNode requestClass : classes) {
      Set<String> keys = new HashSet<>();
      requestClass.fieldNames().forEachRemaining(keys::add);
      if (common == null) {
        common = keys;
      } else {
        common.retainAll(keys);
      }
    }
    Set<String> required = common == null ? new HashSet<>() : common;
    required.removeAll(OPTIONAL);
    return required;
  }

  private void requirePositive(String key, JsonNode value) {
    if (!value.isNumber() || !(value.asDouble() > 0)) {
      faults.add(key + ": expected a number above 0");
    }
  }
}
