package leadferry.adapter;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** One line of the wire, taken apart in place: a name and name=value fields. */
final class Line {
  /** How much of a malformed line is shown. */
  private static final int MOST_SHOWN_BYTES = 60;

  /** Digits that a whole number, or a decimal read without the slow way, may have. */
  private static final int MOST_WHOLE_DIGITS = 18;

  private static final int MOST_DECIMAL_DIGITS = 16;

  private byte[] buffer = {};
  private int start;
  private int end;
  private int nameEnd;
  private int fields;
  private int[] keyStart = new int[16];
  private int[] keyEnd = new int[16];
  private int[] valueEnd = new int[16];

  /**
   * Points this at {@code bytes[from, limit)} and finds the fields; {@code conf} runs to the end.
   */
  void parse(byte[] bytes, int from, int limit) {
    buffer = bytes;
    start = from;
    end = limit;
    fields = 0;
    nameEnd = indexOf(' ', start, end);
    if (nameEnd == start) {
      throw malformed("a line without a name");
    }
    int index = nameEnd;
    while (index < end) {
      index = parseField(index + 1);
    }
  }

  /** Finds the field that begins at {@code key} and gives its end. */
  private int parseField(int key) {
    int equals = key;
    while (equals < end && buffer[equals] != '=' && buffer[equals] != ' ') {
      equals++;
    }
    if (equals >= end || buffer[equals] != '=' || equals == key) {
      throw malformed("a field is not name=value");
    }
    boolean runsToTheEnd = matches(key, equals, "conf") || matches(key, equals, "text");
    int stop = runsToTheEnd ? end : indexOf(' ', equals, end);
    add(key, equals, stop);
    return stop;
  }

  private void add(int key, int equals, int stop) {
    if (fields == keyStart.length) {
      keyStart = Arrays.copyOf(keyStart, 2 * fields);
      keyEnd = Arrays.copyOf(keyEnd, 2 * fields);
      valueEnd = Arrays.copyOf(valueEnd, 2 * fields);
    }
    keyStart[fields] = key;
    keyEnd[fields] = equals;
    valueEnd[fields] = stop;
    fields++;
  }

  /** Where the byte first stands in that range; {@code limit} where it does not. */
  private int indexOf(char wanted, int from, int limit) {
    int index = from;
    while (index < limit && buffer[index] != wanted) {
      index++;
    }
    return index;
  }

  private boolean matches(int from, int limit, String text) {
    if (limit - from != text.length()) {
      return false;
    }
    for (int i = 0; i < text.length(); i++) {
      if (buffer[from + i] != text.charAt(i)) {
        return false;
      }
    }
    return true;
  }

  boolean named(String name) {
    return matches(start, nameEnd, name);
  }

  String name() {
    return text(start, nameEnd);
  }

  private int find(String key) {
    for (int i = 0; i < fields; i++) {
      if (matches(keyStart[i], keyEnd[i], key)) {
        return i;
      }
    }
    return -1;
  }

  private int require(String key) {
    int field = find(key);
    if (field < 0) {
      throw malformed("field '" + key + "' is missing");
    }
    return field;
  }

  long number(String key) {
    int field = require(key);
    return integer(keyEnd[field] + 1, valueEnd[field], key);
  }

  long number(String key, long absent) {
    int field = find(key);
    return field < 0 ? absent : integer(keyEnd[field] + 1, valueEnd[field], key);
  }

  private long integer(int from, int limit, String key) {
    boolean negative = from < limit && buffer[from] == '-';
    int first = negative ? from + 1 : from;
    if (first >= limit || limit - first > MOST_WHOLE_DIGITS) {
      throw malformed("field '" + key + "' is not a whole number");
    }
    long value = 0;
    for (int i = first; i < limit; i++) {
      int digit = buffer[i] - '0';
      if (digit < 0 || digit > 9) {
        throw malformed("field '" + key + "' is not a whole number");
      }
      value = 10 * value + digit;
    }
    return negative ? -value : value;
  }

  double decimal(String key) {
    int field = require(key);
    return decimal(keyEnd[field] + 1, valueEnd[field], key);
  }

  double decimal(String key, double absent) {
    int field = find(key);
    return field < 0 ? absent : decimal(keyEnd[field] + 1, valueEnd[field], key);
  }

  /** Plain digits with a fraction are the rule; anything else goes the slow way. */
  private double decimal(int from, int limit, String key) {
    if (from >= limit) {
      throw notNumber(key);
    }
    long whole = 0;
    double scale = 1;
    boolean fraction = false;
    for (int i = from; i < limit; i++) {
      int digit = buffer[i];
      if (digit == '.' && !fraction && limit - from > 1) {
        fraction = true;
      } else if (digit >= '0' && digit <= '9' && limit - from <= MOST_DECIMAL_DIGITS) {
        whole = 10 * whole + (digit - '0');
        scale = fraction ? 10 * scale : scale;
      } else {
        return anyDecimal(from, limit, key);
      }
    }
    return whole / scale;
  }

  private double anyDecimal(int from, int limit, String key) {
    double value;
    try {
      value = Double.parseDouble(text(from, limit));
    } catch (NumberFormatException e) {
      throw notNumber(key);
    }
    if (!Double.isFinite(value)) {
      throw notNumber(key);
    }
    return value;
  }

  private MalformedInputException notNumber(String key) {
    return malformed("field '" + key + "' is not a number");
  }

  boolean flag(String key) {
    int field = find(key);
    return field >= 0 && valueEnd[field] == keyEnd[field] + 2 && buffer[keyEnd[field] + 1] == '1';
  }

  String string(String key) {
    int field = require(key);
    return text(keyEnd[field] + 1, valueEnd[field]);
  }

  String string(String key, String absent) {
    int field = find(key);
    return field < 0 ? absent : text(keyEnd[field] + 1, valueEnd[field]);
  }

  /** The figures of a report field, by the order of {@code names}; null if there is none. */
  double[] report(String key, String... names) {
    int field = find(key);
    if (field < 0) {
      return null;
    }
    double[] figures = new double[names.length];
    Arrays.fill(figures, Double.NaN);
    int stop = valueEnd[field];
    int index = keyEnd[field] + 1;
    while (index < stop) {
      int comma = indexOf(',', index, stop);
      readFigure(index, comma, key, names, figures);
      index = comma + 1;
    }
    return figures;
  }

  /** Reads one name:value of a report; a name that is not known is skipped, and so is "-". */
  private void readFigure(int from, int limit, String key, String[] names, double[] figures) {
    int colon = indexOf(':', from, limit);
    if (colon < limit) {
      for (int i = 0; i < names.length; i++) {
        if (matches(from, colon, names[i])) {
          figures[i] = decimal(colon + 1, limit, key);
        }
      }
    } else if (limit > from && !matches(from, limit, "-")) {
      throw malformed("field '" + key + "' is not name:value pairs");
    }
  }

  private String text(int from, int limit) {
    return new String(buffer, from, limit - from, StandardCharsets.UTF_8);
  }

  MalformedInputException malformed(String why) {
    String shown = text(start, Math.min(end, start + MOST_SHOWN_BYTES));
    return new MalformedInputException("malformed line: " + why + ": " + shown);
  }
}
