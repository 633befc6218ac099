package leadferry.fuzz;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * Parses requests strictly by the grammar of RFC 9112 and stops at the first byte that violates it.
 * Written from the ABNF, independently of the server, as the reference of the fuzz test.
 */
final class StrictReader {
  /** Parsed request; header names are in lower case, in their order of arrival. */
  record Request(
      String method, String target, String version, List<String[]> headers, String body) {
    List<String> headerValues(String name) {
      return headers.stream().filter(h -> h[0].equals(name)).map(h -> h[1]).toList();
    }
  }

  private static final String TCHAR = "[!#$%&'*+.^_`|~0-9A-Za-z-]";
  private static final Pattern REQUEST_LINE =
      Pattern.compile("(" + TCHAR + "+) ([\\x21-\\x7e]+) (HTTP/[0-9]\\.[0-9])");
  private static final Pattern FIELD =
      Pattern.compile("(" + TCHAR + "+):[ \\t]*([\\x20-\\x7e\\x80-\\xff\\t]*?)[ \\t]*");

  /** Chunk extensions are ignored (7.1.1), so only their octets have to be valid. */
  private static final Pattern CHUNK =
      Pattern.compile("0*([0-9A-Fa-f]{1,8})(?:[ \\t]*;[\\x20-\\x7e\\x80-\\xff\\t]*)?");

  private final String text;
  private int position;

  private StrictReader(byte[] bytes) {
    text = new String(bytes, StandardCharsets.ISO_8859_1);
  }

  /** Returns the requests at the beginning of the bytes, up to the first violation or the end. */
  static List<Request> parse(byte[] bytes) {
    StrictReader reader = new StrictReader(bytes);
    List<Request> requests = new ArrayList<>();
    Request next;
    while ((next = reader.readRequest()) != null) {
      requests.add(next);
    }
    return requests;
  }

  /** Returns the next line without its CR LF, or null if no line ends or a bare CR or LF occurs. */
  private String readLine() {
    int end = text.indexOf("\r\n", position);
    String line = end < 0 ? null : text.substring(position, end);
    if (line == null || line.indexOf('\r') >= 0 || line.indexOf('\n') >= 0) {
      return null;
    }
    position = end + 2;
    return line;
  }

  private List<String[]> readFields() {
    List<String[]> fields = new ArrayList<>();
    while (true) {
      String line = readLine();
      if (line == null) {
        return null;
      }
      if (line.isEmpty()) {
        return fields;
      }
      var matcher = FIELD.matcher(line);
      if (!matcher.matches()) {
        return null;
      }
      fields.add(new String[] {matcher.group(1).toLowerCase(Locale.ROOT), matcher.group(2)});
    }
  }

  private Request readRequest() {
    if (text.startsWith("\r\n", position)) {
      position += 2; // section 2.2: one empty line may precede the request line
    }
    String requestLine = readLine();
    var matcher = requestLine == null ? null : REQUEST_LINE.matcher(requestLine);
    if (matcher == null || !matcher.matches()) {
      return null;
    }
    List<String[]> headers = readFields();
    if (headers == null) {
      return null;
    }
    Request head = new Request(matcher.group(1), matcher.group(2), matcher.group(3), headers, "");
    List<String> lengths = head.headerValues("content-length");
    List<String> codings = head.headerValues("transfer-encoding");
    String body;
    if (!codings.isEmpty()) {
      if (!lengths.isEmpty()
          || codings.size() != 1
          || !codings.get(0).equalsIgnoreCase("chunked")) {
        return null;
      }
      body = readChunkedBody();
    } else if (!lengths.isEmpty()) {
      if (lengths.size() != 1 || !lengths.get(0).matches("[0-9]{1,9}")) {
        return null;
      }
      int length = Integer.parseInt(lengths.get(0));
      body =
          position + length > text.length() ? null : text.substring(position, position += length);
    } else {
      body = "";
    }
    return body == null ? null : new Request(head.method, head.target, head.version, headers, body);
  }

  private String readChunkedBody() {
    StringBuilder body = new StringBuilder();
    while (true) {
      String line = readLine();
      var matcher = line == null ? null : CHUNK.matcher(line);
      if (matcher == null || !matcher.matches()) {
        return null;
      }
      long length = Long.parseLong(matcher.group(1), 16);
      if (length == 0) {
        return readFields() == null ? null : body.toString();
      }
      if (position + length + 2 > text.length()
          || !text.startsWith("\r\n", (int) (position + length))) {
        return null;
      }
      body.append(text, position, (int) (position + length));
      position += (int) length + 2;
    }
  }
}
