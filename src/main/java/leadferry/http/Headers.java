package leadferry.http;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * What each header is to this program: the one table of those that it reads, sets or judges by, and
 * of those that belong to one connection only.
 *
 * <p>Guards rule 2 against a caller that names a header in {@code Connection} (RFC 9110, 7.6.1):
 * what is named there must not be passed on, so a request that was judged with its key would go out
 * without it, and no host could tell its repeats apart.
 */
public final class Headers {
  static final HttpHeaders EMPTY = DefaultHttpHeadersFactory.trailersFactory().newEmptyHeaders();

  /**
   * Those that frame a message, name it or bound it: no route may set or remove one. Lower case.
   */
  public static final Set<String> PROTECTED =
      Set.of(
          "host",
          "content-length",
          "transfer-encoding",
          "connection",
          "x-timeout-ms",
          "te",
          "upgrade",
          "trailer",
          "expect",
          "idempotency-key",
          "x-request-id",
          "keep-alive",
          "proxy-connection");

  /** Those that anything here goes by; a filter may have more. Lower case. */
  private static final Set<String> INSPECTED =
      Set.of(
          "host",
          "content-length",
          "transfer-encoding",
          "expect",
          "x-timeout-ms",
          "idempotency-key",
          "x-request-id",
          "x-priority-class",
          "x-tenant-id",
          "x-route-key",
          "x-retried",
          "x-cost",
          "x-attrs",
          "x-server-load",
          "x-not-processed",
          "forwarded",
          "x-forwarded-for",
          "x-forwarded-host",
          "x-forwarded-proto",
          "via");

  private static final CharSequence[] HOP_BY_HOP = {
    HttpHeaderNames.CONNECTION,
    "Keep-Alive",
    "Proxy-Connection",
    HttpHeaderNames.TE,
    HttpHeaderNames.TRAILER,
    HttpHeaderNames.TRANSFER_ENCODING,
    HttpHeaderNames.UPGRADE
  };

  private Headers() {}

  /** Whether a header, in lower case, is one that this program goes by. */
  static boolean isInspected(String name, Set<String> inspectedByFilter) {
    return INSPECTED.contains(name) || inspectedByFilter.contains(name);
  }

  /**
   * Whether the options of {@code Connection} are tokens and none names a header that this program
   * goes by. {@code byFilter} holds further ones, in lower case.
   */
  static boolean hasValidConnectionOptions(HttpHeaders headers, Set<String> inspectedByFilter) {
    List<String> lines = headers.getAll(HttpHeaderNames.CONNECTION);
    for (int i = 0; i < lines.size(); i++) {
      for (String option : lines.get(i).split(",")) {
        String name = option.strip().toLowerCase(Locale.ROOT);
        if (!name.isEmpty()
            && (!HeadScanner.isToken(name) || isInspected(name, inspectedByFilter))) {
          return false;
        }
      }
    }
    return true;
  }

  /**
   * Whether no trailer of a request is one that this program, or what frames a message, goes by.
   */
  static boolean hasValidTrailers(HttpHeaders trailers, Set<String> inspectedByFilter) {
    for (String name : trailers.names()) {
      String lower = name.toLowerCase(Locale.ROOT);
      if (PROTECTED.contains(lower) || isInspected(lower, inspectedByFilter)) {
        return false;
      }
    }
    return true;
  }

  /** The trailers of an answer that may be passed on. */
  static HttpHeaders forwardableTrailers(HttpHeaders trailers) {
    if (trailers.isEmpty()) {
      return EMPTY;
    }
    HttpHeaders forwardable = DefaultHttpHeadersFactory.trailersFactory().newHeaders();
    for (Map.Entry<String, String> trailer : trailers) {
      if (!PROTECTED.contains(trailer.getKey().toLowerCase(Locale.ROOT))) {
        forwardable.add(trailer.getKey(), trailer.getValue());
      }
    }
    return forwardable;
  }

  /** Removes what belongs to the connection that it came on. */
  static void removeHopByHop(HttpHeaders headers) {
    for (String named : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String token : named.split(",")) {
        if (!token.isBlank() && !token.trim().equalsIgnoreCase("close")) {
          headers.remove(token.trim());
        }
      }
    }
    for (CharSequence name : HOP_BY_HOP) {
      headers.remove(name);
    }
  }
}
