package leadferry.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** A TOML text as a tree, with the line in which each key and each element of an array stands. */
final class TomlTree {
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private final Map<String, Integer> lines = new HashMap<>();
  final JsonNode root;

  private TomlTree(TomlTable table) {
    root = table(table, "");
  }

  /**
   * Reads a text; {@code name} stands in faults.
   *
   * @throws FaultyFileException with every place at which it is no TOML
   */
  static TomlTree parse(String name, String text) throws ConfigurationException {
    TomlParseResult parsed = Toml.parse(text);
    if (parsed.hasErrors()) {
      List<ConfigurationError> faults = new ArrayList<>();
      for (TomlParseError e : parsed.errors()) {
        faults.add(
            new ConfigurationError(name, e.position().line(), "", e.getMessage(), "TOML 1.0"));
      }
      throw new ConfigurationException(faults);
    }
    return new TomlTree(parsed);
  }

  /**
   * The line of a key's path, as in {@code route[2].pool}, or of the nearest one above it, or 0.
   */
  int lineOf(String path) {
    String p = path;
    while (!p.isEmpty()) {
      Integer l = lines.get(p);
      if (l != null) {
        return l;
      }
      int cut = Math.max(p.lastIndexOf('.'), p.lastIndexOf('['));
      p = cut < 0 ? "" : p.substring(0, cut);
    }
    return 0;
  }

  private ObjectNode table(TomlTable t, String path) {
    ObjectNode out = NODES.objectNode();
    for (String key : t.keySet()) {
      List<String> here = List.of(key); // a path of one: keys may hold dots
      String below = path.isEmpty() ? key : path + "." + key;
      recordLine(below, t.inputPositionOf(here));
      out.set(key, value(t.get(here), below));
    }
    return out;
  }

  private ArrayNode array(TomlArray a, String path) {
    ArrayNode out = NODES.arrayNode(a.size());
    for (int i = 0; i < a.size(); i++) {
      String below = path + "[" + i + "]";
      recordLine(below, a.inputPositionOf(i));
      out.add(value(a.get(i), below));
    }
    return out;
  }

  private void recordLine(String path, TomlPosition position) {
    if (position != null) {
      lines.put(path, position.line());
    }
  }

  private JsonNode value(Object v, String path) {
    if (v instanceof TomlTable t) {
      return table(t, path);
    } else if (v instanceof TomlArray a) {
      return array(a, path);
    } else if (v instanceof String s) {
      return NODES.textNode(s);
    } else if (v instanceof Long l) {
      return NODES.numberNode(l);
    } else if (v instanceof Double n) {
      return NODES.numberNode(n);
    } else if (v instanceof Boolean b) {
      return NODES.booleanNode(b);
    }
    return NODES.pojoNode(v); // a date or time: nothing here takes one
  }
}
