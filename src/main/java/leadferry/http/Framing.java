package leadferry.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Set;

/**
 * What has to hold of any request's head. Guards hosts, and the other clients that share their
 * connections, against whatever could be read in two ways (RFC 9112, request smuggling).
 */
public final class Framing {
  private static final int MAX_DIGITS = 9;

  private Framing() {}

  /**
   * The status to reject the head with, or 0; {@code judged} are headers that the gate goes by,
   * {@code old} tells whether HTTP/1.0 is spoken.
   */
  static int fault(HttpRequest request, Set<String> judged, boolean old) {
    HttpHeaders h = request.headers();
    boolean is10 = request.protocolVersion().equals(HttpVersion.HTTP_1_0);
    if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1) && !(is10 && old)) {
      return 505;
    }
    boolean encoded = h.contains(HttpHeaderNames.TRANSFER_ENCODING);
    if (h.getAll(HttpHeaderNames.HOST).size() > 1
        || (encoded && (is10 || h.contains(HttpHeaderNames.CONTENT_LENGTH)))
        || (encoded
            && !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                String.valueOf(single(h, HttpHeaderNames.TRANSFER_ENCODING))))
        || !Headers.soundOptions(h, judged)) {
      return 400;
    }
    if (h.contains(HttpHeaderNames.EXPECT)
        && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(
            String.valueOf(single(h, HttpHeaderNames.EXPECT)))) {
      return 417;
    }
    return 0;
  }

  /** The one value of a header, or null where it has none or several. */
  public static String single(HttpHeaders h, CharSequence name) {
    List<String> all = h.getAll(name);
    return all.size() == 1 ? all.get(0).trim() : null;
  }

  /** A whole number that is not negative, or NaN; what does not fit is more than anyone waits. */
  public static double whole(String s) {
    if (s == null || s.isEmpty() || !s.chars().allMatch(c -> c >= '0' && c <= '9')) {
      return Double.NaN;
    }
    return s.length() > MAX_DIGITS ? Double.MAX_VALUE : Integer.parseInt(s);
  }
}
