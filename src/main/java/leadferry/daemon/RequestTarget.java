package leadferry.daemon;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Locale;
import leadferry.http.Framing;

/**
 * Reads the target of a request: its form, its host and its query (RFC 9112, 3.2). Knows nothing of
 * routes.
 */
final class RequestTarget {
  /**
   * Maximum length of a {@code Host} value: a name, or an address in brackets, with an optional
   * port.
   */
  private static final int MAX_HOST_LENGTH = 255;

  private static final String HTTP_SCHEME = "http://";

  private RequestTarget() {}

  /**
   * Rewrites an absolute-form target to origin form (RFC 9112, 3.2.2). The target's authority
   * replaces the {@code Host} header before any rule reads either.
   *
   * @return false if the target can't be served here
   */
  static boolean convertToOriginForm(HttpRequest head) {
    String uri = head.uri();
    if (!uri.regionMatches(true, 0, HTTP_SCHEME, 0, HTTP_SCHEME.length())) {
      return true;
    }
    int authorityEnd = HTTP_SCHEME.length();
    while (authorityEnd < uri.length()
        && uri.charAt(authorityEnd) != '/'
        && uri.charAt(authorityEnd) != '?') {
      authorityEnd++;
    }
    String authority = uri.substring(HTTP_SCHEME.length(), authorityEnd);
    boolean isHttp10 = head.protocolVersion().equals(HttpVersion.HTTP_1_0);
    if (authority.isEmpty()
        || (!isHttp10 && Framing.singleValue(head.headers(), HttpHeaderNames.HOST) == null)) {
      return false; // HTTP/1.1 requires a Host header with an absolute-form target too
    }
    head.headers().set(HttpHeaderNames.HOST, authority);
    String rest = uri.substring(authorityEnd);
    head.setUri(rest.startsWith("/") ? rest : "/" + rest);
    return true;
  }

  /**
   * Returns the requested host in lower case without port and trailing dot, or null if it is
   * invalid.
   */
  static String requestedHost(HttpRequest head) {
    if (head.protocolVersion().equals(HttpVersion.HTTP_1_0)
        && !head.headers().contains(HttpHeaderNames.HOST)) {
      // The request is forwarded as HTTP/1.1, which requires a Host header.
      head.headers().set(HttpHeaderNames.HOST, "");
      return "";
    }
    String host = Framing.singleValue(head.headers(), HttpHeaderNames.HOST);
    return host == null || host.length() > MAX_HOST_LENGTH ? null : normalizeHost(host);
  }

  private static String normalizeHost(String host) {
    boolean isBracketed = host.startsWith("[");
    int nameEnd = nameEnd(host, isBracketed);
    for (int i = 0; i < host.length(); i++) {
      char character = host.charAt(i);
      boolean isValid =
          i < nameEnd
              ? isNameCharacter(character) || (isBracketed && isAddressCharacter(character))
              : i == nameEnd || isDigit(character);
      if (!isValid) {
        return null;
      }
    }
    int end = nameEnd > 0 && host.charAt(nameEnd - 1) == '.' ? nameEnd - 1 : nameEnd;
    if (end == 0 || (isBracketed && host.charAt(end - 1) != ']')) {
      return null;
    }
    return host.substring(0, end).toLowerCase(Locale.ROOT);
  }

  /** Returns the index of the colon before the port, or the length if there is no port. */
  private static int nameEnd(String host, boolean isBracketed) {
    if (!isBracketed) {
      int colon = host.indexOf(':');
      return colon < 0 ? host.length() : colon;
    }
    int bracket = host.indexOf("]:");
    return bracket < 0 ? host.length() : bracket + 1;
  }

  private static boolean isNameCharacter(char character) {
    return isLetter(character)
        || isDigit(character)
        || character == '.'
        || character == '-'
        || character == '_';
  }

  /** Whether an address in brackets may contain the character in addition to those of names. */
  private static boolean isAddressCharacter(char character) {
    return character == '[' || character == ']' || character == ':';
  }

  private static boolean isLetter(char character) {
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
  }

  private static boolean isDigit(char character) {
    return character >= '0' && character <= '9';
  }

  /** Whether the query that starts at index {@code from} has no character that must be encoded. */
  static boolean hasOnlyQueryCharacters(String uri, int from) {
    for (int i = from; i < uri.length(); i++) {
      char character = uri.charAt(i);
      if (character <= ' ' || character == 0x7f || character == '#') {
        return false;
      }
    }
    return true;
  }
}
