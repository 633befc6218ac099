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

/** Tree of a TOML text, with the line of each key and of each array element. */
final class TomlTree {
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private final Map<String, Integer> lines = new HashMap<>();
  final JsonNode root;

  private TomlTree(TomlTable table) {
    root = table(table, "");
  }

  /**
   * Parses a text; {@code name} is the file name in errors.
   *
   * @throws ConfigurationException with every syntax error
   */
  static TomlTree parse(String name, String text) throws ConfigurationException {
    TomlParseResult parsed = Toml.parse(text);
    if (parsed.hasErrors()) {
      List<ConfigurationError> errors = new ArrayList<>();
      for (TomlParseError e : parsed.errors()) {
        errors.add(
            new ConfigurationError(name, e.position().line(), "", e.getMessage(), "TOML 1.0"));
      }
      throw new ConfigurationException(errors);
    }
    return new TomlTree(parsed);
  }

  /**
   * Returns the line of a key's path, as in {@code route[2].pool}, or that of its closest ancestor
   * with a line, or 0.
   */
  int lineOf(String path) {
    String prefix = path;
    while (!prefix.isEmpty()) {
      Integer line = lines.get(prefix);
      if (line != null) {
        return line;
      }
      int cut = Math.max(prefix.lastIndexOf('.'), prefix.lastIndexOf('['));
      prefix = cut < 0 ? "" : prefix.substring(0, cut);
    }
    return 0;
  }

  private ObjectNode table(TomlTable source, String path) {
    ObjectNode object = NODES.objectNode();
    for (String key : source.keySet()) {
      List<String> keyPath = List.of(key); // a path of one element, because keys may contain dots
      String childPath = path.isEmpty() ? key : path + "." + key;
      recordLine(childPath, source.inputPositionOf(keyPath));
      object.set(key, value(source.get(keyPath), childPath));
    }
    return object;
  }

  private ArrayNode array(TomlArray source, String path) {
    ArrayNode array = NODES.arrayNode(source.size());
    for (int i = 0; i < source.size(); i++) {
      String childPath = path + "[" + i + "]";
      recordLine(childPath, source.inputPositionOf(i));
      array.add(value(source.get(i), childPath));
    }
    return array;
  }

  private void recordLine(String path, TomlPosition position) {
    if (position != null) {
      lines.put(path, position.line());
    }
  }

  private JsonNode value(Object source, String path) {
    if (source instanceof TomlTable table) {
      return table(table, path);
    } else if (source instanceof TomlArray array) {
      return array(array, path);
    } else if (source instanceof String text) {
      return NODES.textNode(text);
    } else if (source instanceof Long integer) {
      return NODES.numberNode(integer);
    } else if (source instanceof Double number) {
      return NODES.numberNode(number);
    } else if (source instanceof Boolean flag) {
      return NODES.booleanNode(flag);
    }
    return NODES.pojoNode(source); // a date or time, which no key accepts
  }
}
