package leadferry.adapter;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** One line of the wire, taken apart in place: a name and name=value fields. */
final class Line {
  private static final int MAX_TEXT = 60;

  private byte[] buf = {};
  private int start;
  private int end;
  private int nameEnd;
  private int count;
  private int[] keyStart = new int[16];
  private int[] keyEnd = new int[16];
  private int[] valueEnd = new int[16];

  /** Points this at {@code buf[start, end)} and finds the fields; {@code conf} runs to the end. */
  void parse(byte[] buf, int start, int end) {
    this.buf = buf;
    this.start = start;
    this.end = end;
    count = 0;
    int i = start;
    while (i < end && buf[i] != ' ') {
      i++;
    }
    nameEnd = i;
    if (nameEnd == start) {
      throw malformed("a line without a name");
    }
    while (i < end) {
      int key = ++i;
      while (i < end && buf[i] != '=' && buf[i] != ' ') {
        i++;
      }
      if (i >= end || buf[i] != '=' || i == key) {
        throw malformed("a field is not name=value");
      }
      int equals = i;
      boolean text = matches(key, equals, "conf") || matches(key, equals, "text");
      while (i < end && (text || buf[i] != ' ')) {
        i++;
      }
      add(key, equals, i);
    }
  }

  private void add(int key, int equals, int valEnd) {
    if (count == keyStart.length) {
      keyStart = Arrays.copyOf(keyStart, 2 * count);
      keyEnd = Arrays.copyOf(keyEnd, 2 * count);
      valueEnd = Arrays.copyOf(valueEnd, 2 * count);
    }
    keyStart[count] = key;
    keyEnd[count] = equals;
    valueEnd[count++] = valEnd;
  }

  private boolean matches(int from, int to, String s) {
    if (to - from != s.length()) {
      return false;
    }
    for (int i = 0; i < s.length(); i++) {
      if (buf[from + i] != s.charAt(i)) {
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
    for (int i = 0; i < count; i++) {
      if (matches(keyStart[i], keyEnd[i], key)) {
        return i;
      }
    }
    return -1;
  }

  private int need(String key) {
    int i = find(key);
    if (i < 0) {
      throw malformed("field '" + key + "' is missing");
    }
    return i;
  }

  long number(String key) {
    int i = need(key);
    return integer(keyEnd[i] + 1, valueEnd[i], key);
  }

  long number(String key, long absent) {
    int i = find(key);
    return i < 0 ? absent : integer(keyEnd[i] + 1, valueEnd[i], key);
  }

  private long integer(int from, int to, String key) {
    boolean minus = from < to && buf[from] == '-';
    long v = 0;
    int i = minus ? from + 1 : from;
    if (i >= to || to - i > 18) {
      throw malformed("field '" + key + "' is not a whole number");
    }
    for (; i < to; i++) {
      int digit = buf[i] - '0';
      if (digit < 0 || digit > 9) {
        throw malformed("field '" + key + "' is not a whole number");
      }
      v = 10 * v + digit;
    }
    return minus ? -v : v;
  }

  double decimal(String key) {
    int i = need(key);
    return decimal(keyEnd[i] + 1, valueEnd[i], key);
  }

  double decimal(String key, double absent) {
    int i = find(key);
    return i < 0 ? absent : decimal(keyEnd[i] + 1, valueEnd[i], key);
  }

  private double decimal(int from, int to, String key) {
    // Plain digits with a fraction are the rule; anything else goes the slow way.
    long whole = 0;
    double scale = 1;
    boolean fraction = false;
    if (from >= to) {
      throw malformed("field '" + key + "' is not a number");
    }
    for (int i = from; i < to; i++) {
      int b = buf[i];
      if (b == '.' && !fraction && to - from > 1) {
        fraction = true;
      } else if (b >= '0' && b <= '9' && to - from < 17) {
        whole = 10 * whole + (b - '0');
        if (fraction) {
          scale *= 10;
        }
      } else {
        try {
          double v = Double.parseDouble(text(from, to));
          if (!Double.isFinite(v)) {
            throw malformed("field '" + key + "' is not a number");
          }
          return v;
        } catch (NumberFormatException e) {
          throw malformed("field '" + key + "' is not a number");
        }
      }
    }
    return whole / scale;
  }

  boolean flag(String key) {
    int i = find(key);
    return i >= 0 && valueEnd[i] == keyEnd[i] + 2 && buf[keyEnd[i] + 1] == '1';
  }

  String string(String key) {
    int i = need(key);
    return text(keyEnd[i] + 1, valueEnd[i]);
  }

  String string(String key, String absent) {
    int i = find(key);
    return i < 0 ? absent : text(keyEnd[i] + 1, valueEnd[i]);
  }

  /** The figures of a report field, by the order of {@code names}; null if there is none. */
  double[] report(String key, String... names) {
    int f = find(key);
    if (f < 0) {
      return null;
    }
    double[] values = new double[names.length];
    Arrays.fill(values, Double.NaN);
    int i = keyEnd[f] + 1;
    int stop = valueEnd[f];
    while (i < stop) {
      int colon = i;
      while (colon < stop && buf[colon] != ':' && buf[colon] != ',') {
        colon++;
      }
      int comma = colon;
      while (comma < stop && buf[comma] != ',') {
        comma++;
      }
      if (colon < comma) {
        for (int k = 0; k < names.length; k++) {
          if (matches(i, colon, names[k])) {
            values[k] = decimal(colon + 1, comma, key);
          }
        }
      } else if (comma > i && !matches(i, comma, "-")) {
        throw malformed("field '" + key + "' is not name:value pairs");
      }
      i = comma + 1;
    }
    return values;
  }

  private String text(int from, int to) {
    return new String(buf, from, to - from, StandardCharsets.UTF_8);
  }

  MalformedInputException malformed(String why) {
    String shown = text(start, Math.min(end, start + MAX_TEXT));
    return new MalformedInputException("malformed line: " + why + ": " + shown);
  }
}
