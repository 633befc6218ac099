package leadferry.routing;

import java.nio.charset.StandardCharsets;

/**
 * A request path in a single form, which the routes match and which the upstream host interprets in
 * the same way.
 *
 * <p>A path that the proxy and the upstream host interpret differently can bypass the route that
 * applies to it. A path without a single interpretation is therefore rejected. Encoded reserved
 * octets split a path differently before and after decoding (RFC 3986, 2.2). Dot segments and
 * doubled slashes are resolved by some servers only (RFC 3986, 5.2.4). Some servers decode twice.
 *
 * <pre>
 *   /a/b%20c       matched as "/a/b c"     forwarded unchanged
 *   /a/%62         matched as "/a/b"       forwarded unchanged: every server decodes it this way
 *   /a/../b //b    STRICT: rejected        RESOLVE: matched and forwarded as "/b"
 *   %2F %5C %00 \  rejected in both modes, as is an octet that decodes to an escape, such as %2561
 *   /a/..;x/b      rejected in both modes: some servers remove the part after the semicolon first
 * </pre>
 */
public final class NormalizedPath {
  /** How dot segments and empty segments are handled. */
  public enum Mode {
    /** Rejects the path. */
    STRICT,
    /** Resolves the segments; the upstream host receives the resolved path. */
    RESOLVE
  }

  private final String matchPath;
  private final String forwardPath;

  private NormalizedPath(String matchPath, String forwardPath) {
    this.matchPath = matchPath;
    this.forwardPath = forwardPath;
  }

  /** Returns the path that routes match: decoded, one char per octet. */
  public String matchPath() {
    return matchPath;
  }

  /** Returns the path to send to the upstream host. */
  public String forwardPath() {
    return forwardPath;
  }

  /**
   * Normalizes a raw path without its query; returns null if the path has no single interpretation.
   */
  public static NormalizedPath normalize(String rawPath, Mode mode) {
    int length = rawPath.length();
    if (length == 0 || rawPath.charAt(0) != '/') {
      return null;
    }
    boolean isLiteral = true;
    for (int i = 0; i < length; i++) {
      char character = rawPath.charAt(i);
      if (character <= ' ' || character >= 0x7f || character == '\\' || character == '#') {
        return null;
      }
      isLiteral &= character != '%';
    }
    String matchPath = isLiteral ? rawPath : decode(rawPath);
    if (matchPath == null) {
      return null;
    }
    int oddity = segmentOddity(matchPath);
    if (oddity == 0) {
      return new NormalizedPath(matchPath, rawPath);
    }
    if (mode == Mode.STRICT || oddity == 2) {
      return null;
    }
    String resolved = resolve(matchPath);
    return resolved == null ? null : new NormalizedPath(resolved, percentEncode(resolved));
  }

  /**
   * Converts a path in the operator's file to the form of matched paths: its UTF-8 octets, one char
   * each.
   */
  public static String toOctetChars(String text) {
    return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
  }

  private static String decode(String rawPath) {
    StringBuilder decoded = new StringBuilder(rawPath.length());
    for (int i = 0; i < rawPath.length(); i++) {
      char character = rawPath.charAt(i);
      if (character != '%') {
        decoded.append(character);
        continue;
      }
      int octet = decodeEscape(rawPath, i);
      if (octet < 0x20 || octet == 0x7f || octet == '/' || octet == '\\') {
        return null;
      }
      decoded.append((char) octet);
      i += 2;
    }
    return containsEscape(decoded) ? null : decoded.toString();
  }

  /** Returns the octet that the escape at {@code escapeStart} encodes, or -1 if it is invalid. */
  private static int decodeEscape(String text, int escapeStart) {
    if (escapeStart + 2 >= text.length()) {
      return -1;
    }
    int high = Character.digit(text.charAt(escapeStart + 1), 16);
    int low = Character.digit(text.charAt(escapeStart + 2), 16);
    return high < 0 || low < 0 ? -1 : high << 4 | low;
  }

  /**
   * Returns whether the decoded path still contains an escape. A server that decodes twice would
   * read a different octet there.
   */
  private static boolean containsEscape(StringBuilder decoded) {
    for (int i = 0; i + 2 < decoded.length(); i++) {
      if (decoded.charAt(i) == '%'
          && Character.digit(decoded.charAt(i + 1), 16) >= 0
          && Character.digit(decoded.charAt(i + 2), 16) >= 0) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns 0 if every segment is plain, 1 if some are dot segments or empty, and 2 if a dot
   * segment is followed by a semicolon.
   */
  private static int segmentOddity(String path) {
    int oddity = 0;
    int segmentStart = 1;
    while (segmentStart <= path.length()) {
      int segmentEnd = path.indexOf('/', segmentStart);
      segmentEnd = segmentEnd < 0 ? path.length() : segmentEnd;
      int dotsEnd = segmentStart;
      while (dotsEnd < segmentEnd && path.charAt(dotsEnd) == '.') {
        dotsEnd++;
      }
      int dotCount = dotsEnd - segmentStart;
      if (dotCount >= 1 && dotCount <= 2) {
        if (dotsEnd == segmentEnd) {
          oddity = 1;
        } else if (path.charAt(dotsEnd) == ';') {
          return 2;
        }
      }
      if (segmentEnd == segmentStart && segmentEnd < path.length()) {
        oddity = 1; // an empty segment that is not the last
      }
      segmentStart = segmentEnd + 1;
    }
    return oddity;
  }

  /** Removes dot segments and doubled slashes; returns null if the path would leave the root. */
  private static String resolve(String path) {
    StringBuilder resolved = new StringBuilder(path.length());
    int segmentStart = 1;
    while (segmentStart <= path.length()) {
      int segmentEnd = path.indexOf('/', segmentStart);
      boolean isLast = segmentEnd < 0;
      segmentEnd = isLast ? path.length() : segmentEnd;
      String segment = path.substring(segmentStart, segmentEnd);
      if (segment.equals("..")) {
        int parentEnd = resolved.lastIndexOf("/");
        if (parentEnd < 0) {
          return null;
        }
        resolved.setLength(parentEnd);
      } else if (!segment.equals(".") && !segment.isEmpty()) {
        resolved.append('/').append(segment);
      }
      if (isLast && (segment.isEmpty() || segment.equals(".") || segment.equals(".."))) {
        resolved.append('/');
      }
      segmentStart = segmentEnd + 1;
    }
    return resolved.length() == 0 ? "/" : resolved.toString();
  }

  /** Percent-encodes each octet that is not allowed literally in a path (RFC 3986, 3.3). */
  public static String percentEncode(String path) {
    StringBuilder encoded = new StringBuilder(path.length() + 8);
    for (int i = 0; i < path.length(); i++) {
      char character = path.charAt(i);
      if ((character >= 'a' && character <= 'z')
          || (character >= 'A' && character <= 'Z')
          || (character >= '0' && character <= '9')
          || "/-._~!$&'()*+,;=:@".indexOf(character) >= 0) {
        encoded.append(character);
      } else {
        encoded
            .append('%')
            .append(Character.toUpperCase(Character.forDigit(character >> 4 & 15, 16)))
            .append(Character.toUpperCase(Character.forDigit(character & 15, 16)));
      }
    }
    return encoded.toString();
  }
}
