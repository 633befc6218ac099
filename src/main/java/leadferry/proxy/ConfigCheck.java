package leadferry.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Judges a configuration that comes while another is in force. What starts a process may leave out
 * what has a harmless default; what replaces a configuration comes from the same hand as the one
 * before it, so a key that has gone is a file that is broken, and a default in its place would be a
 * rule that nobody chose.
 */
final class ConfigCheck {
  private static final Set<String> SEMANTICS = Set.of("idempotent", "deduplicated", "at_most_once");

  /** Keys that the wire's page lets be absent. */
  private static final Set<String> OPTIONAL =
      Set.of("aimStretch", "passesDeadline", "warmKeys", "fleet");

  private final List<String> faults = new ArrayList<>();

  private ConfigCheck() {}

  /**
   * Every fault of {@code next}, as {@code key: what was expected}; none if it may replace the
   * other.
   */
  static List<String> faults(JsonNode inForce, JsonNode next) {
    ConfigCheck check = new ConfigCheck();
    check.keys("", inForce, next);
    JsonNode settings = next.path("settings");
    check.above0("settings.limits.maxAttempts", settings.path("limits").path("maxAttempts"));
    check.classes(inForce.path("settings").path("classes"), settings.path("classes"));
    return check.faults;
  }

  /**
   * What is there must be there again, of the same kind; which hosts are known is another matter.
   */
  private void keys(String at, JsonNode had, JsonNode has) {
    for (Iterator<Map.Entry<String, JsonNode>> i = had.fields(); i.hasNext(); ) {
      Map.Entry<String, JsonNode> e = i.next();
      String key = at + e.getKey();
      JsonNode is = has.path(e.getKey());
      if (is.isMissingNode() && !OPTIONAL.contains(e.getKey())) {
        faults.add(key + ": missing");
      } else if (!is.isMissingNode()
          && !e.getValue().isNull()
          && is.getNodeType() != e.getValue().getNodeType()) {
        faults.add(key + ": expected " + e.getValue().getNodeType());
      } else if (is.isObject() && !key.equals("known")) {
        keys(key + ".", e.getValue(), is);
      }
    }
  }

  private void classes(JsonNode had, JsonNode has) {
    if (has.isEmpty()) {
      faults.add("settings.classes: expected one at least");
    }
    Set<String> names = new HashSet<>();
    for (int i = 0; i < has.size(); i++) {
      JsonNode c = has.get(i);
      String at = "settings.classes[" + i + "].";
      for (String key : shared(had)) {
        if (c.path(key).isMissingNode()) {
          faults.add(at + key + ": missing");
        }
      }
      String name = c.path("name").asText("");
      if (name.isEmpty() || !names.add(name)) {
        faults.add(at + "name: expected one that no other class has");
      }
      if (!SEMANTICS.contains(c.path("semantics").asText(""))) {
        faults.add(at + "semantics: expected one of " + SEMANTICS);
      }
      above0(at + "deadline", c.path("deadline"));
      above0(at + "aim", c.path("aim"));
      if (c.path("repeatWindow").asDouble(0) < 0) {
        faults.add(at + "repeatWindow: expected 0 or more");
      }
    }
  }

  /** Keys that each class of the configuration in force has. */
  private static Set<String> shared(JsonNode classes) {
    Set<String> all = null;
    for (JsonNode c : classes) {
      Set<String> keys = new HashSet<>();
      c.fieldNames().forEachRemaining(keys::add);
      if (all == null) {
        all = keys;
      } else {
        all.retainAll(keys);
      }
    }
    Set<String> shared = all == null ? new HashSet<>() : all;
    shared.removeAll(OPTIONAL);
    return shared;
  }

  private void above0(String key, JsonNode n) {
    if (!n.isNumber() || !(n.asDouble() > 0)) {
      faults.add(key + ": expected a number above 0");
    }
  }
}
