package leadferry.adapter;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** One line of the wire format, parsed in place: a name and name=value fields. */
final class WireLine {
  /** Maximum number of bytes of a malformed line that an error message quotes. */
  private static final int MAX_SHOWN_BYTES = 60;

  /** Maximum number of digits of an integer. */
  private static final int MAX_INTEGER_DIGITS = 18;

  /**
   * Maximum number of characters of a decimal that is parsed without {@link Double#parseDouble}.
   */
  private static final int MAX_DECIMAL_DIGITS = 16;

  private byte[] buffer = {};
  private int start;
  private int end;
  private int nameEnd;
  private int fieldCount;
  private int[] keyStart = new int[16];
  private int[] keyEnd = new int[16];
  private int[] valueEnd = new int[16];

  /**
   * Points this line to {@code bytes[from, limit)} and finds its fields. The value of {@code conf}
   * or {@code text} extends to the end of the line.
   */
  void parse(byte[] bytes, int from, int limit) {
    buffer = bytes;
    start = from;
    end = limit;
    fieldCount = 0;
    nameEnd = indexOf(' ', start, end);
    if (nameEnd == start) {
      throw malformed("line has no name");
    }
    int index = nameEnd;
    while (index < end) {
      index = parseField(index + 1);
    }
  }

  /**
   * Finds the field whose key begins at index {@code key}. Returns the index of the end of the
   * field.
   */
  private int parseField(int key) {
    int equals = key;
    while (equals < end && buffer[equals] != '=' && buffer[equals] != ' ') {
      equals++;
    }
    if (equals >= end || buffer[equals] != '=' || equals == key) {
      throw malformed("field is not of the form name=value");
    }
    boolean isLastField = matches(key, equals, "conf") || matches(key, equals, "text");
    int stop = isLastField ? end : indexOf(' ', equals, end);
    add(key, equals, stop);
    return stop;
  }

  private void add(int key, int equals, int stop) {
    if (fieldCount == keyStart.length) {
      keyStart = Arrays.copyOf(keyStart, 2 * fieldCount);
      keyEnd = Arrays.copyOf(keyEnd, 2 * fieldCount);
      valueEnd = Arrays.copyOf(valueEnd, 2 * fieldCount);
    }
    keyStart[fieldCount] = key;
    keyEnd[fieldCount] = equals;
    valueEnd[fieldCount] = stop;
    fieldCount++;
  }

  /**
   * Returns the index of the first byte {@code wanted} in the range, or {@code limit} if the range
   * contains none.
   */
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

  boolean hasName(String name) {
    return matches(start, nameEnd, name);
  }

  String name() {
    return text(start, nameEnd);
  }

  private int indexOfField(String key) {
    for (int i = 0; i < fieldCount; i++) {
      if (matches(keyStart[i], keyEnd[i], key)) {
        return i;
      }
    }
    return -1;
  }

  private int requireField(String key) {
    int field = indexOfField(key);
    if (field < 0) {
      throw malformed("field '" + key + "' is missing");
    }
    return field;
  }

  long number(String key) {
    int field = requireField(key);
    return integer(keyEnd[field] + 1, valueEnd[field], key);
  }

  long number(String key, long defaultValue) {
    int field = indexOfField(key);
    return field < 0 ? defaultValue : integer(keyEnd[field] + 1, valueEnd[field], key);
  }

  private long integer(int from, int limit, String key) {
    boolean negative = from < limit && buffer[from] == '-';
    int first = negative ? from + 1 : from;
    if (first >= limit || limit - first > MAX_INTEGER_DIGITS) {
      throw malformed("field '" + key + "' is not an integer");
    }
    long value = 0;
    for (int i = first; i < limit; i++) {
      int digit = buffer[i] - '0';
      if (digit < 0 || digit > 9) {
        throw malformed("field '" + key + "' is not an integer");
      }
      value = 10 * value + digit;
    }
    return negative ? -value : value;
  }

  double decimal(String key) {
    int field = requireField(key);
    return decimal(keyEnd[field] + 1, valueEnd[field], key);
  }

  double decimal(String key, double defaultValue) {
    int field = indexOfField(key);
    return field < 0 ? defaultValue : decimal(keyEnd[field] + 1, valueEnd[field], key);
  }

  /**
   * Parses a decimal. Plain digits with an optional fraction are the common case; anything else is
   * left to {@link Double#parseDouble}.
   */
  private double decimal(int from, int limit, String key) {
    if (from >= limit) {
      throw notANumber(key);
    }
    long whole = 0;
    double scale = 1;
    boolean fraction = false;
    for (int i = from; i < limit; i++) {
      int digit = buffer[i];
      if (digit == '.' && !fraction && limit - from > 1) {
        fraction = true;
      } else if (digit >= '0' && digit <= '9' && limit - from <= MAX_DECIMAL_DIGITS) {
        whole = 10 * whole + (digit - '0');
        scale = fraction ? 10 * scale : scale;
      } else {
        return parseDecimal(from, limit, key);
      }
    }
    return whole / scale;
  }

  private double parseDecimal(int from, int limit, String key) {
    double value;
    try {
      value = Double.parseDouble(text(from, limit));
    } catch (NumberFormatException e) {
      throw notANumber(key);
    }
    if (!Double.isFinite(value)) {
      throw notANumber(key);
    }
    return value;
  }

  private MalformedInputException notANumber(String key) {
    return malformed("field '" + key + "' is not a number");
  }

  boolean isSet(String key) {
    int field = indexOfField(key);
    return field >= 0 && valueEnd[field] == keyEnd[field] + 2 && buffer[keyEnd[field] + 1] == '1';
  }

  String string(String key) {
    int field = requireField(key);
    return text(keyEnd[field] + 1, valueEnd[field]);
  }

  String string(String key, String defaultValue) {
    int field = indexOfField(key);
    return field < 0 ? defaultValue : text(keyEnd[field] + 1, valueEnd[field]);
  }

  /**
   * Returns the figures of the load report in the field {@code key}, in the order of {@code names}.
   * A figure that the report lacks is NaN. Returns null if there is no such field.
   */
  double[] figures(String key, String... names) {
    int field = indexOfField(key);
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

  /** Reads one name:value pair of a load report. Unknown names and "-" are skipped. */
  private void readFigure(int from, int limit, String key, String[] names, double[] figures) {
    int colon = indexOf(':', from, limit);
    if (colon < limit) {
      for (int i = 0; i < names.length; i++) {
        if (matches(from, colon, names[i])) {
          figures[i] = decimal(colon + 1, limit, key);
        }
      }
    } else if (limit > from && !matches(from, limit, "-")) {
      throw malformed("field '" + key + "' is not a list of name:value pairs");
    }
  }

  private String text(int from, int limit) {
    return new String(buffer, from, limit - from, StandardCharsets.UTF_8);
  }

  MalformedInputException malformed(String reason) {
    String shown = text(start, Math.min(end, start + MAX_SHOWN_BYTES));
    return new MalformedInputException("malformed line: " + reason + ": " + shown);
  }
}
