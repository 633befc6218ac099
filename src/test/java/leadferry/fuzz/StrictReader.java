package leadferry.fuzz;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * Reads requests from bytes by the grammar of RFC 9112 and nothing else: the first thing that is
 * not of it ends the reading. Written apart from the front, by the ABNF, as the other opinion.
 */
final class StrictReader {
  /** A request: names of headers in lower case, in order. */
  record Request(
      String method, String target, String version, List<String[]> headers, String body) {
    List<String> all(String name) {
      return headers.stream().filter(h -> h[0].equals(name)).map(h -> h[1]).toList();
    }
  }

  private static final String TCHAR = "[!#$%&'*+.^_`|~0-9A-Za-z-]";
  private static final Pattern LINE =
      Pattern.compile("(" + TCHAR + "+) ([\\x21-\\x7e]+) (HTTP/[0-9]\\.[0-9])");
  private static final Pattern FIELD =
      Pattern.compile("(" + TCHAR + "+):[ \\t]*([\\x20-\\x7e\\x80-\\xff\\t]*?)[ \\t]*");

  /**
   * Extensions are passed over without being read (7.1.1), so only their octets have to be sound.
   */
  private static final Pattern CHUNK =
      Pattern.compile("0*([0-9A-Fa-f]{1,8})(?:[ \\t]*;[\\x20-\\x7e\\x80-\\xff\\t]*)?");

  private final String text;
  private int at;

  private StrictReader(byte[] bytes) {
    text = new String(bytes, StandardCharsets.ISO_8859_1);
  }

  /** The requests that stand at the beginning of these bytes, up to the first fault or the end. */
  static List<Request> parse(byte[] bytes) {
    StrictReader r = new StrictReader(bytes);
    List<Request> out = new ArrayList<>();
    Request next;
    while ((next = r.request()) != null) {
      out.add(next);
    }
    return out;
  }

  /** A line without its CR LF; null where none ends, or a bare CR or LF stands in it. */
  private String line() {
    int end = text.indexOf("\r\n", at);
    String l = end < 0 ? null : text.substring(at, end);
    if (l == null || l.indexOf('\r') >= 0 || l.indexOf('\n') >= 0) {
      return null;
    }
    at = end + 2;
    return l;
  }

  private List<String[]> fields() {
    List<String[]> out = new ArrayList<>();
    while (true) {
      String l = line();
      if (l == null) {
        return null;
      }
      if (l.isEmpty()) {
        return out;
      }
      var m = FIELD.matcher(l);
      if (!m.matches()) {
        return null;
      }
      out.add(new String[] {m.group(1).toLowerCase(Locale.ROOT), m.group(2)});
    }
  }

  private Request request() {
    if (text.startsWith("\r\n", at)) {
      at += 2; // section 2.2: one empty line ahead
    }
    String first = line();
    var m = first == null ? null : LINE.matcher(first);
    if (m == null || !m.matches()) {
      return null;
    }
    List<String[]> h = fields();
    if (h == null) {
      return null;
    }
    Request head = new Request(m.group(1), m.group(2), m.group(3), h, "");
    List<String> lengths = head.all("content-length");
    List<String> codings = head.all("transfer-encoding");
    String body;
    if (!codings.isEmpty()) {
      if (!lengths.isEmpty()
          || codings.size() != 1
          || !codings.get(0).equalsIgnoreCase("chunked")) {
        return null;
      }
      body = chunks();
    } else if (!lengths.isEmpty()) {
      if (lengths.size() != 1 || !lengths.get(0).matches("[0-9]{1,9}")) {
        return null;
      }
      int n = Integer.parseInt(lengths.get(0));
      body = at + n > text.length() ? null : text.substring(at, at += n);
    } else {
      body = "";
    }
    return body == null ? null : new Request(head.method, head.target, head.version, h, body);
  }

  private String chunks() {
    StringBuilder out = new StringBuilder();
    while (true) {
      String l = line();
      var m = l == null ? null : CHUNK.matcher(l);
      if (m == null || !m.matches()) {
        return null;
      }
      long n = Long.parseLong(m.group(1), 16);
      if (n == 0) {
        return fields() == null ? null : out.toString();
      }
      if (at + n + 2 > text.length() || !text.startsWith("\r\n", (int) (at + n))) {
        return null;
      }
      out.append(text, at, (int) (at + n));
      at += (int) n + 2;
    }
  }
}
