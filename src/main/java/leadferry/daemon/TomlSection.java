package leadferry.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A table of the operator's file while it is read. Each getter notes a fault where the value is not
 * what it should be and goes on with the default, so that one reading finds all faults; {@link
 * #rejectUnknownKeys} notes keys that nobody asked for.
 */
final class TomlSection {
  /** What all sections of one file share. */
  static final class Source {
    final String file;
    final TomlTree tree;
    final List<ConfigurationError> errors = new ArrayList<>();

    Source(String file, TomlTree lines) {
      this.file = file;
      this.tree = lines;
    }

    void addError(String path, String found, String expected) {
      errors.add(new ConfigurationError(file, tree.lineOf(path), path, found, expected));
    }
  }

  private final Source source;
  private final String path;
  private final JsonNode node;
  private final Set<String> requestedKeys = new LinkedHashSet<>();

  TomlSection(Source source, String path, JsonNode node) {
    this.source = source;
    this.path = path;
    this.node = node;
    if (!node.isMissingNode() && !node.isObject()) {
      source.addError(path, describe(node), "a table");
    }
  }

  String path(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  boolean has(String key) {
    return node.has(key);
  }

  void addError(String key, String found, String expected) {
    source.addError(key.isEmpty() ? path : path(key), found, expected);
  }

  private JsonNode child(String key) {
    requestedKeys.add(key);
    return node.path(key);
  }

  TomlSection table(String key) {
    JsonNode n = child(key);
    return new TomlSection(source, path(key), n);
  }

  /** Tables by name, as in {@code [pool.roster]}, in the order of the file. */
  Map<String, TomlSection> tablesByName(String key) {
    JsonNode n = child(key);
    Map<String, TomlSection> out = new LinkedHashMap<>();
    if (!n.isMissingNode() && !n.isObject()) {
      source.addError(path(key), describe(n), "tables by name, as in [" + key + ".NAME]");
      return out;
    }
    for (Iterator<Map.Entry<String, JsonNode>> i = n.fields(); i.hasNext(); ) {
      Map.Entry<String, JsonNode> e = i.next();
      out.put(e.getKey(), new TomlSection(source, path(key) + "." + e.getKey(), e.getValue()));
    }
    return out;
  }

  /** Tables in a row, as in {@code [[route]]}. */
  List<TomlSection> tables(String key) {
    JsonNode n = child(key);
    List<TomlSection> out = new ArrayList<>();
    if (!n.isMissingNode() && !n.isArray()) {
      source.addError(path(key), describe(n), "an array of tables, as in [[" + key + "]]");
      return out;
    }
    for (int i = 0; i < n.size(); i++) {
      out.add(new TomlSection(source, path(key) + "[" + i + "]", n.get(i)));
    }
    return out;
  }

  double number(String key, double otherwise, double least, double most) {
    JsonNode n = child(key);
    if (n.isMissingNode()) {
      return otherwise;
    }
    double v = n.isNumber() ? n.asDouble() : Double.NaN;
    if (!(v >= least && v <= most)) {
      source.addError(
          path(key), describe(n), "a number from " + describe(least) + " to " + describe(most));
      return otherwise;
    }
    return v;
  }

  int integer(String key, int otherwise, int least, int most) {
    JsonNode n = child(key);
    if (n.isMissingNode()) {
      return otherwise;
    }
    if (!n.isIntegralNumber() || !n.canConvertToInt() || n.asInt() < least || n.asInt() > most) {
      source.addError(path(key), describe(n), "a whole number from " + least + " to " + most);
      return otherwise;
    }
    return n.asInt();
  }

  boolean flag(String key, boolean otherwise) {
    JsonNode n = child(key);
    if (n.isMissingNode()) {
      return otherwise;
    }
    if (!n.isBoolean()) {
      source.addError(path(key), describe(n), "true or false");
      return otherwise;
    }
    return n.asBoolean();
  }

  /** A text that is not empty; {@code otherwise} null makes it one that must be there. */
  String string(String key, String otherwise, String expected) {
    JsonNode n = child(key);
    if (n.isMissingNode() && otherwise != null) {
      return otherwise;
    }
    if (!n.isTextual() || n.asText().isBlank()) {
      source.addError(path(key), n.isMissingNode() ? "missing" : describe(n), expected);
      return otherwise == null ? "" : otherwise;
    }
    return n.asText();
  }

  /** One of several words. */
  <E extends Enum<E>> E enumValue(String key, E otherwise, Class<E> type) {
    JsonNode n = child(key);
    if (n.isMissingNode()) {
      return otherwise;
    }
    for (E e : type.getEnumConstants()) {
      if (n.asText().equals(enumValue(e))) {
        return e;
      }
    }
    source.addError(
        path(key),
        describe(n),
        Arrays.stream(type.getEnumConstants())
            .map(TomlSection::enumValue)
            .collect(Collectors.joining(", ")));
    return otherwise;
  }

  private static String enumValue(Enum<?> e) {
    return e.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Texts in an array. */
  List<String> strings(String key) {
    JsonNode n = child(key);
    List<String> out = new ArrayList<>();
    if (n.isMissingNode()) {
      return out;
    }
    if (!n.isArray()) {
      source.addError(path(key), describe(n), "an array of texts");
      return out;
    }
    for (int i = 0; i < n.size(); i++) {
      if (!n.get(i).isTextual() || n.get(i).asText().isBlank()) {
        source.addError(path(key) + "[" + i + "]", describe(n.get(i)), "a text");
      } else {
        out.add(n.get(i).asText());
      }
    }
    return out;
  }

  /** Names in an array, each of those that are known. */
  Set<String> knownNames(String key, Collection<String> known, String what) {
    Set<String> out = new LinkedHashSet<>();
    List<String> texts = strings(key);
    for (int i = 0; i < texts.size(); i++) {
      requireKnown(key + "[" + i + "]", texts.get(i), known, what);
      out.add(texts.get(i));
    }
    return out;
  }

  /** Notes a fault unless the name is known. */
  void requireKnown(String key, String name, Collection<String> known, String what) {
    if (!known.contains(name)) {
      String near = nearestName(name, known);
      addError(
          key,
          "'" + name + "'",
          "the name of a " + what + (near == null ? "" : ", perhaps '" + near + "'"));
    }
  }

  /** The keys of this table, all of which are asked for. */
  Set<String> keys() {
    Set<String> out = new LinkedHashSet<>();
    node.fieldNames().forEachRemaining(out::add);
    requestedKeys.addAll(out);
    return out;
  }

  /** A table of texts. */
  Map<String, String> stringMap(String key) {
    JsonNode n = child(key);
    Map<String, String> out = new LinkedHashMap<>();
    if (!n.isMissingNode() && !n.isObject()) {
      source.addError(path(key), describe(n), "a table of texts");
      return out;
    }
    for (Iterator<Map.Entry<String, JsonNode>> i = n.fields(); i.hasNext(); ) {
      Map.Entry<String, JsonNode> e = i.next();
      if (e.getValue().isTextual()) {
        out.put(e.getKey(), e.getValue().asText());
      } else {
        source.addError(path(key) + "." + e.getKey(), describe(e.getValue()), "a text");
      }
    }
    return out;
  }

  /** Notes every key that was not asked for, with the nearest one that would have been. */
  void rejectUnknownKeys() {
    for (Iterator<String> i = node.fieldNames(); i.hasNext(); ) {
      String key = i.next();
      if (!requestedKeys.contains(key)) {
        String near = nearestName(key, requestedKeys);
        addError(
            key,
            "unknown key",
            near == null ? "one of " + String.join(", ", requestedKeys) : "perhaps '" + near + "'");
      }
    }
  }

  static String nearestName(String name, Collection<String> known) {
    String best = null;
    int least = Math.max(2, name.length() / 2) + 1;
    for (String k : known) {
      int d = distance(name, k);
      if (d < least) {
        least = d;
        best = k;
      }
    }
    return best;
  }

  /** Insertions, deletions and exchanges between two words (Levenshtein). */
  private static int distance(String a, String b) {
    int[] row = new int[b.length() + 1];
    for (int j = 0; j <= b.length(); j++) {
      row[j] = j;
    }
    for (int i = 1; i <= a.length(); i++) {
      int diagonal = row[0];
      row[0] = i;
      for (int j = 1; j <= b.length(); j++) {
        int up = row[j];
        int change = a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1;
        row[j] = Math.min(Math.min(row[j] + 1, row[j - 1] + 1), diagonal + change);
        diagonal = up;
      }
    }
    return row[b.length()];
  }

  static String describe(JsonNode n) {
    if (n instanceof MissingNode) {
      return "missing";
    }
    String s = n.isTextual() ? "'" + n.asText() + "'" : n.toString();
    return s.length() > 80 ? s.substring(0, 77) + "..." : s;
  }

  private static String describe(double d) {
    return d == Math.rint(d) && Math.abs(d) < 1e15 ? Long.toString((long) d) : Double.toString(d);
  }
}
