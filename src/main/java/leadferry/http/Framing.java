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
   * The status to reject the head with, or 0; {@code judged} are headers that the filter goes by,
   * {@code old} tells whether HTTP/1.0 is spoken.
   */
  static int rejectionStatus(
      HttpRequest request, Set<String> inspectedHeaders, boolean allowsHttp10) {
    HttpHeaders headers = request.headers();
    boolean isHttp10 = request.protocolVersion().equals(HttpVersion.HTTP_1_0);
    if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1) && !(isHttp10 && allowsHttp10)) {
      return 505;
    }
    if (headers.getAll(HttpHeaderNames.HOST).size() > 1
        || !hasValidTransferEncoding(headers, isHttp10)
        || !Headers.hasValidConnectionOptions(headers, inspectedHeaders)) {
      return 400;
    }
    if (headers.contains(HttpHeaderNames.EXPECT)
        && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(
            String.valueOf(singleValue(headers, HttpHeaderNames.EXPECT)))) {
      return 417;
    }
    return 0;
  }

  /** Whether there is none, or {@code chunked} alone, not in HTTP/1.0 and without a length. */
  private static boolean hasValidTransferEncoding(HttpHeaders headers, boolean isHttp10) {
    if (!headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
      return true;
    }
    return !isHttp10
        && !headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
            String.valueOf(singleValue(headers, HttpHeaderNames.TRANSFER_ENCODING)));
  }

  /** The one value of a header, or null where it has none or several. */
  public static String singleValue(HttpHeaders headers, CharSequence name) {
    List<String> all = headers.getAll(name);
    return all.size() == 1 ? all.get(0).trim() : null;
  }

  /** A whole number that is not negative, or NaN; what does not fit is more than anyone waits. */
  public static double parseWholeNumber(String text) {
    if (text == null || text.isEmpty() || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
      return Double.NaN;
    }
    return text.length() > MAX_DIGITS ? Double.MAX_VALUE : Integer.parseInt(text);
  }
}
