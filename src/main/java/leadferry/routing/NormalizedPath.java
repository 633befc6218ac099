package leadferry.routing;

import java.nio.charset.StandardCharsets;

/**
 * The one form of a path that routes are matched against and that the host is sure to see.
 *
 * <p>A path that a proxy and a host read in two ways takes a request past the route that was meant
 * for it. So either a path has one reading, or it is turned away. Reserved octets that are encoded
 * would be cut differently before and after decoding (RFC 3986, 2.2), dot segments and doubled
 * slashes are resolved by some hosts and not by others (RFC 3986, 5.2.4), and some decode twice.
 *
 * <pre>
 *   /a/b%20c      matched as "/a/b c"       sent on as it came
 *   /a/%62        matched as "/a/b"         sent on as it came: every host decodes it so
 *   /a/../b //b   strict: turned away       resolving: matched and sent on as "/b"
 *   %2F %5C %00 \  turned away in both, and what would decode to an escape, as %2561
 *   /a/..;x/b     turned away in both: some hosts drop what follows the semicolon first
 * </pre>
 */
public final class NormalizedPath {
  /** What becomes of dot segments and empty segments. */
  public enum Mode {
    /** The request is turned away. */
    STRICT,
    /** They are resolved, and the host is sent the resolved path. */
    RESOLVE
  }

  private final String matchPath;
  private final String forwardPath;

  private NormalizedPath(String matchPath, String forwardPath) {
    this.matchPath = matchPath;
    this.forwardPath = forwardPath;
  }

  /** The path that routes match: octets decoded, one char an octet. */
  public String matchPath() {
    return matchPath;
  }

  /** The path to send on. */
  public String forwardPath() {
    return forwardPath;
  }

  /** The form of a raw path without its query, or null where it has no single reading. */
  public static NormalizedPath normalize(String rawPath, Mode mode) {
    int n = rawPath.length();
    if (n == 0 || rawPath.charAt(0) != '/') {
      return null;
    }
    boolean plain = true;
    for (int i = 0; i < n; i++) {
      char c = rawPath.charAt(i);
      if (c <= ' ' || c >= 0x7f || c == '\\' || c == '#') {
        return null;
      }
      plain &= c != '%';
    }
    String matchPath = plain ? rawPath : decode(rawPath);
    if (matchPath == null) {
      return null;
    }
    int odd = oddSegment(matchPath);
    if (odd == 0) {
      return new NormalizedPath(matchPath, rawPath);
    }
    if (mode == Mode.STRICT || odd == 2) {
      return null;
    }
    String resolved = resolve(matchPath);
    return resolved == null ? null : new NormalizedPath(resolved, percentEncode(resolved));
  }

  /** Text of the operator's, in the form that matched paths have. */
  public static String toOctetChars(String text) {
    return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
  }

  private static String decode(String raw) {
    StringBuilder out = new StringBuilder(raw.length());
    for (int i = 0; i < raw.length(); i++) {
      char c = raw.charAt(i);
      if (c != '%') {
        out.append(c);
        continue;
      }
      int octet = octet(raw, i);
      if (octet < 0x20 || octet == 0x7f || octet == '/' || octet == '\\') {
        return null;
      }
      out.append((char) octet);
      i += 2;
    }
    return escapesLeft(out) ? null : out.toString();
  }

  /** The octet that the escape at {@code i} stands for, or -1. */
  private static int octet(String s, int i) {
    if (i + 2 >= s.length()) {
      return -1;
    }
    int high = Character.digit(s.charAt(i + 1), 16);
    int low = Character.digit(s.charAt(i + 2), 16);
    return high < 0 || low < 0 ? -1 : high << 4 | low;
  }

  /** Whether an escape is left: a host that decodes twice would see another octet there. */
  private static boolean escapesLeft(StringBuilder s) {
    for (int i = 0; i + 2 < s.length(); i++) {
      if (s.charAt(i) == '%'
          && Character.digit(s.charAt(i + 1), 16) >= 0
          && Character.digit(s.charAt(i + 2), 16) >= 0) {
        return true;
      }
    }
    return false;
  }

  /** 0 where every segment is plain, 1 where some are dots or empty, 2 where dots hide. */
  private static int oddSegment(String path) {
    int odd = 0;
    int from = 1;
    while (from <= path.length()) {
      int to = path.indexOf('/', from);
      to = to < 0 ? path.length() : to;
      int dots = from;
      while (dots < to && path.charAt(dots) == '.') {
        dots++;
      }
      int count = dots - from;
      if (count >= 1 && count <= 2) {
        if (dots == to) {
          odd = 1;
        } else if (path.charAt(dots) == ';') {
          return 2;
        }
      }
      if (to == from && to < path.length()) {
        odd = 1; // an empty segment that is not the last
      }
      from = to + 1;
    }
    return odd;
  }

  /** Without dot segments and doubled slashes; null where it would climb out of the root. */
  private static String resolve(String path) {
    StringBuilder out = new StringBuilder(path.length());
    int from = 1;
    while (from <= path.length()) {
      int to = path.indexOf('/', from);
      boolean last = to < 0;
      to = last ? path.length() : to;
      String segment = path.substring(from, to);
      if (segment.equals("..")) {
        int cut = out.lastIndexOf("/");
        if (cut < 0) {
          return null;
        }
        out.setLength(cut);
      } else if (!segment.equals(".") && !segment.isEmpty()) {
        out.append('/').append(segment);
      }
      if (last && (segment.isEmpty() || segment.equals(".") || segment.equals(".."))) {
        out.append('/');
      }
      from = to + 1;
    }
    return out.length() == 0 ? "/" : out.toString();
  }

  /** Escapes whatever may not stand in a path as it is (RFC 3986, 3.3). */
  public static String percentEncode(String path) {
    StringBuilder out = new StringBuilder(path.length() + 8);
    for (int i = 0; i < path.length(); i++) {
      char c = path.charAt(i);
      if ((c >= 'a' && c <= 'z')
          || (c >= 'A' && c <= 'Z')
          || (c >= '0' && c <= '9')
          || "/-._~!$&'()*+,;=:@".indexOf(c) >= 0) {
        out.append(c);
      } else {
        out.append('%')
            .append(Character.toUpperCase(Character.forDigit(c >> 4 & 15, 16)))
            .append(Character.toUpperCase(Character.forDigit(c & 15, 16)));
      }
    }
    return out.toString();
  }
}
