package leadferry.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Set;

/**
 * Checks of the framing that every request head must pass. Guards upstream hosts, and other clients
 * that share their connections, against heads that can be interpreted in two ways (RFC 9112,
 * request smuggling).
 */
public final class Framing {
  private static final int MAX_DIGITS = 9;

  private Framing() {}

  /**
   * Returns the status with which to reject the head, or 0 if it is valid.
   *
   * @param inspectedHeaders headers on which the filter bases decisions
   * @param allowsHttp10 whether HTTP/1.0 is accepted
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

  /**
   * Whether the head has no {@code Transfer-Encoding}, or exactly {@code chunked} in an HTTP/1.1
   * request without {@code Content-Length}.
   */
  private static boolean hasValidTransferEncoding(HttpHeaders headers, boolean isHttp10) {
    if (!headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
      return true;
    }
    return !isHttp10
        && !headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
            String.valueOf(singleValue(headers, HttpHeaderNames.TRANSFER_ENCODING)));
  }

  /** Returns the value of a header, or null if it is missing or occurs more than once. */
  public static String singleValue(HttpHeaders headers, CharSequence name) {
    List<String> all = headers.getAll(name);
    return all.size() == 1 ? all.get(0).trim() : null;
  }

  /**
   * Parses a non-negative decimal integer; returns NaN for any other text. A number of more than 9
   * digits is returned as {@link Double#MAX_VALUE}, which exceeds every time limit.
   */
  public static double parseWholeNumber(String text) {
    if (text == null || text.isEmpty() || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
      return Double.NaN;
    }
    return text.length() > MAX_DIGITS ? Double.MAX_VALUE : Integer.parseInt(text);
  }
}
