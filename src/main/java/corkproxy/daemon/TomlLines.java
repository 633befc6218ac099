package corkproxy.daemon;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * In which line each key of a TOML text stands. Jackson's reader keeps no places of values, so this
 * goes over a text that it has found sound once more: it follows headers, keys, strings, arrays and
 * inline tables (TOML 1.0) and takes no notice of values. Unknown paths are answered with the line
 * of the nearest path above them.
 */
final class TomlLines {
  /** A bracket that is open: an array with the index it is at, or an inline table. */
  private static final class Level {
    final String path;
    final boolean array;
    int index;

    Level(String path, boolean array) {
      this.path = path;
      this.array = array;
    }
  }

  private final Map<String, Integer> lines = new HashMap<>();
  private final Map<String, Integer> tables = new HashMap<>();
  private final String text;
  private int at;
  private int line = 1;

  private TomlLines(String text) {
    this.text = text;
  }

  static TomlLines of(String text) {
    TomlLines t = new TomlLines(text);
    t.scan();
    return t;
  }

  /** The line of a key's path, or of the nearest one above it, or 0. */
  int line(String path) {
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

  private void scan() {
    String table = "";
    while (skipBlank(true)) {
      if (peek() == '[') {
        table = header();
      } else {
        keyValue(table);
      }
    }
  }

  private String header() {
    int here = line;
    at++;
    boolean array = at < text.length() && peek() == '[';
    at += array ? 1 : 0;
    List<String> keys = keys();
    StringBuilder path = new StringBuilder();
    for (int i = 0; i < keys.size(); i++) {
      path.append(path.length() == 0 ? "" : ".").append(keys.get(i));
      boolean last = i == keys.size() - 1;
      Integer count = tables.get(path.toString());
      if (last && array) {
        int index = count == null ? 0 : count + 1;
        tables.put(path.toString(), index);
        path.append('[').append(index).append(']');
      } else if (count != null) {
        path.append('[').append(count).append(']');
      }
    }
    lines.putIfAbsent(path.toString(), here);
    skipLine();
    return path.toString();
  }

  private void keyValue(String table) {
    int here = line;
    String path = table;
    for (String k : keys()) {
      path = path.isEmpty() ? k : path + "." + k;
      lines.putIfAbsent(path, here);
    }
    skipBlank(false);
    if (at < text.length() && peek() == '=') {
      at++;
    } else {
      skipLine();
      return;
    }
    value(path);
  }

  /** Goes to the end of a value, noting the keys of what it holds. */
  private void value(String path) {
    Deque<Level> open = new ArrayDeque<>();
    String here = path;
    boolean key = false;
    while (skipBlank(!open.isEmpty())) {
      char c = peek();
      if (c == '\n') {
        return;
      }
      if (key && c != '}' && !open.isEmpty()) {
        Level table = open.peek();
        String p = table.path;
        int l = line;
        for (String k : keys()) {
          p = p + "." + k;
          lines.putIfAbsent(p, l);
        }
        here = p;
        key = false;
        skipBlank(true);
        at += at < text.length() && peek() == '=' ? 1 : 0;
        continue;
      }
      switch (c) {
        case '[' -> {
          at++;
          open.push(new Level(here, true));
          here = here + "[0]";
          skipBlank(true);
          lines.putIfAbsent(here, line);
        }
        case '{' -> {
          at++;
          open.push(new Level(here, false));
          key = true;
        }
        case ']', '}' -> {
          at++;
          key = false;
          if (!open.isEmpty()) {
            here = open.pop().path;
          }
          if (open.isEmpty()) {
            return;
          }
        }
        case ',' -> {
          at++;
          Level l = open.peek();
          if (l != null && l.array) {
            l.index++;
            here = l.path + "[" + l.index + "]";
            skipBlank(true);
            lines.putIfAbsent(here, line);
          } else {
            key = true;
          }
        }
        case '"', '\'' -> {
          string();
          if (open.isEmpty()) {
            return;
          }
        }
        default -> {
          while (at < text.length() && ",]}#\n".indexOf(peek()) < 0) {
            at++;
          }
          if (open.isEmpty()) {
            return;
          }
        }
      }
    }
  }

  /** A dotted key, up to what stands behind it. */
  private List<String> keys() {
    List<String> keys = new ArrayList<>(2);
    while (at < text.length()) {
      skipBlank(false);
      if (at >= text.length()) {
        break;
      }
      if (peek() == '"' || peek() == '\'') {
        int from = at;
        string();
        keys.add(text.substring(Math.min(from + 1, at), Math.max(from + 1, at - 1)));
      } else {
        int from = at;
        while (at < text.length() && (Character.isLetterOrDigit(peek()) || peek() == '_' || peek() == '-')) {
          at++;
        }
        keys.add(text.substring(from, at));
      }
      skipBlank(false);
      if (at < text.length() && peek() == '.') {
        at++;
      } else {
        break;
      }
    }
    return keys;
  }

  private void string() {
    char quote = peek();
    String triple = String.valueOf(quote).repeat(3);
    boolean multi = text.startsWith(triple, at);
    at += multi ? 3 : 1;
    while (at < text.length()) {
      char c = peek();
      if (c == '\\' && quote == '"') {
        at++;
      } else if (multi ? text.startsWith(triple, at) : c == quote) {
        at += multi ? 3 : 1;
        while (multi && at < text.length() && peek() == quote) {
          at++;
        }
        return;
      }
      line += at < text.length() && peek() == '\n' ? 1 : 0;
      at++;
    }
  }

  /** Skips white space and comments, over ends of lines if told; false at the end of the text. */
  private boolean skipBlank(boolean overLines) {
    while (at < text.length()) {
      char c = peek();
      if (c == '#') {
        while (at < text.length() && peek() != '\n') {
          at++;
        }
      } else if (c == '\n' && overLines) {
        line++;
        at++;
      } else if (c == ' ' || c == '\t' || c == '\r') {
        at++;
      } else {
        return true;
      }
    }
    return false;
  }

  private void skipLine() {
    while (at < text.length() && peek() != '\n') {
      at++;
    }
  }

  private char peek() {
    return text.charAt(at);
  }
}
