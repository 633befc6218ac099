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
 * Table of an operator's file while it is read.
 *
 * <p>A getter adds an error for an invalid value and returns the default, so one pass finds all
 * errors. {@link #rejectUnknownKeys} adds an error for each key that no getter has read.
 */
final class TomlSection {
  /** State shared by all sections of one file. */
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
    JsonNode value = child(key);
    return new TomlSection(source, path(key), value);
  }

  /** Returns tables by name, as in {@code [pool.roster]}, in the order of the file. */
  Map<String, TomlSection> tablesByName(String key) {
    JsonNode value = child(key);
    Map<String, TomlSection> tables = new LinkedHashMap<>();
    if (!value.isMissingNode() && !value.isObject()) {
      source.addError(path(key), describe(value), "tables by name, as in [" + key + ".NAME]");
      return tables;
    }
    for (Iterator<Map.Entry<String, JsonNode>> iterator = value.fields(); iterator.hasNext(); ) {
      Map.Entry<String, JsonNode> entry = iterator.next();
      tables.put(
          entry.getKey(),
          new TomlSection(source, path(key) + "." + entry.getKey(), entry.getValue()));
    }
    return tables;
  }

  /** Returns an array of tables, as in {@code [[route]]}. */
  List<TomlSection> tables(String key) {
    JsonNode value = child(key);
    List<TomlSection> tables = new ArrayList<>();
    if (!value.isMissingNode() && !value.isArray()) {
      source.addError(path(key), describe(value), "an array of tables, as in [[" + key + "]]");
      return tables;
    }
    for (int i = 0; i < value.size(); i++) {
      tables.add(new TomlSection(source, path(key) + "[" + i + "]", value.get(i)));
    }
    return tables;
  }

  double number(String key, double defaultValue, double minimum, double maximum) {
    JsonNode value = child(key);
    if (value.isMissingNode()) {
      return defaultValue;
    }
    double number = value.isNumber() ? value.asDouble() : Double.NaN;
    if (!(number >= minimum && number <= maximum)) {
      source.addError(
          path(key),
          describe(value),
          "a number from " + describe(minimum) + " to " + describe(maximum));
      return defaultValue;
    }
    return number;
  }

  int integer(String key, int defaultValue, int minimum, int maximum) {
    JsonNode value = child(key);
    if (value.isMissingNode()) {
      return defaultValue;
    }
    if (!value.isIntegralNumber()
        || !value.canConvertToInt()
        || value.asInt() < minimum
        || value.asInt() > maximum) {
      source.addError(
          path(key), describe(value), "a whole number from " + minimum + " to " + maximum);
      return defaultValue;
    }
    return value.asInt();
  }

  boolean flag(String key, boolean defaultValue) {
    JsonNode value = child(key);
    if (value.isMissingNode()) {
      return defaultValue;
    }
    if (!value.isBoolean()) {
      source.addError(path(key), describe(value), "true or false");
      return defaultValue;
    }
    return value.asBoolean();
  }

  /** Returns a string that is not blank. The key is required if {@code defaultValue} is null. */
  String string(String key, String defaultValue, String expected) {
    JsonNode value = child(key);
    if (value.isMissingNode() && defaultValue != null) {
      return defaultValue;
    }
    if (!value.isTextual() || value.asText().isBlank()) {
      source.addError(path(key), value.isMissingNode() ? "missing" : describe(value), expected);
      return defaultValue == null ? "" : defaultValue;
    }
    return value.asText();
  }

  /** Returns the enum constant whose lower-case name stands at the key. */
  <E extends Enum<E>> E enumValue(String key, E defaultValue, Class<E> type) {
    JsonNode value = child(key);
    if (value.isMissingNode()) {
      return defaultValue;
    }
    for (E constant : type.getEnumConstants()) {
      if (value.asText().equals(settingName(constant))) {
        return constant;
      }
    }
    source.addError(
        path(key),
        describe(value),
        Arrays.stream(type.getEnumConstants())
            .map(TomlSection::settingName)
            .collect(Collectors.joining(", ")));
    return defaultValue;
  }

  private static String settingName(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns an array of strings, each of them not blank. */
  List<String> strings(String key) {
    JsonNode value = child(key);
    List<String> strings = new ArrayList<>();
    if (value.isMissingNode()) {
      return strings;
    }
    if (!value.isArray()) {
      source.addError(path(key), describe(value), "an array of texts");
      return strings;
    }
    for (int i = 0; i < value.size(); i++) {
      if (!value.get(i).isTextual() || value.get(i).asText().isBlank()) {
        source.addError(path(key) + "[" + i + "]", describe(value.get(i)), "a text");
      } else {
        strings.add(value.get(i).asText());
      }
    }
    return strings;
  }

  /** Returns an array of names and adds an error for each name that is not among the known ones. */
  Set<String> knownNames(String key, Collection<String> known, String kind) {
    Set<String> names = new LinkedHashSet<>();
    List<String> texts = strings(key);
    for (int i = 0; i < texts.size(); i++) {
      requireKnown(key + "[" + i + "]", texts.get(i), known, kind);
      names.add(texts.get(i));
    }
    return names;
  }

  /** Adds an error unless the name is among the known ones. */
  void requireKnown(String key, String name, Collection<String> known, String kind) {
    if (!known.contains(name)) {
      String suggestion = nearestName(name, known);
      addError(
          key,
          "'" + name + "'",
          "the name of a " + kind + (suggestion == null ? "" : ", perhaps '" + suggestion + "'"));
    }
  }

  /** Returns the keys of this table and marks all of them as read. */
  Set<String> keys() {
    Set<String> keys = new LinkedHashSet<>();
    node.fieldNames().forEachRemaining(keys::add);
    requestedKeys.addAll(keys);
    return keys;
  }

  /** Returns a table of strings. */
  Map<String, String> stringMap(String key) {
    JsonNode value = child(key);
    Map<String, String> entries = new LinkedHashMap<>();
    if (!value.isMissingNode() && !value.isObject()) {
      source.addError(path(key), describe(value), "a table of texts");
      return entries;
    }
    for (Iterator<Map.Entry<String, JsonNode>> iterator = value.fields(); iterator.hasNext(); ) {
      Map.Entry<String, JsonNode> entry = iterator.next();
      if (entry.getValue().isTextual()) {
        entries.put(entry.getKey(), entry.getValue().asText());
      } else {
        source.addError(path(key) + "." + entry.getKey(), describe(entry.getValue()), "a text");
      }
    }
    return entries;
  }

  /**
   * Adds an error for each key that no getter has read, with the most similar of the keys that
   * were.
   */
  void rejectUnknownKeys() {
    for (Iterator<String> iterator = node.fieldNames(); iterator.hasNext(); ) {
      String key = iterator.next();
      if (!requestedKeys.contains(key)) {
        String suggestion = nearestName(key, requestedKeys);
        addError(
            key,
            "unknown key",
            suggestion == null
                ? "one of " + String.join(", ", requestedKeys)
                : "perhaps '" + suggestion + "'");
      }
    }
  }

  static String nearestName(String name, Collection<String> known) {
    String best = null;
    int bestDistance = Math.max(2, name.length() / 2) + 1;
    for (String candidate : known) {
      int distance = distance(name, candidate);
      if (distance < bestDistance) {
        bestDistance = distance;
        best = candidate;
      }
    }
    return best;
  }

  /** Returns the Levenshtein distance of two words: insertions, deletions and substitutions. */
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

  static String describe(JsonNode value) {
    if (value instanceof MissingNode) {
      return "missing";
    }
    String text = value.isTextual() ? "'" + value.asText() + "'" : value.toString();
    return text.length() > 80 ? text.substring(0, 77) + "..." : text;
  }

  private static String describe(double number) {
    return number == Math.rint(number) && Math.abs(number) < 1e15
        ? Long.toString((long) number)
        : Double.toString(number);
  }
}
