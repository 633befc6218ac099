package leadferry.http;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Classification of headers: those that the load balancer reads, sets or bases decisions on, and
 * those that are limited to one connection.
 *
 * <p>Guards the rule that no effect of a request happens twice (rule 2 of package {@code engine})
 * against a client that names such a header in {@code Connection} (RFC 9110, 7.6.1). A header named
 * there must not be forwarded. If it were the idempotency key, the load balancer would treat the
 * request as repeatable but forward it without the key, and no upstream host could recognize a
 * repeat.
 */
public final class Headers {
  static final HttpHeaders EMPTY = DefaultHttpHeadersFactory.trailersFactory().newEmptyHeaders();

  /**
   * Headers that frame a message, identify it or limit its time; no route may set or remove them.
   * Lower case.
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

  /** Headers that the load balancer bases decisions on; a filter may add more. Lower case. */
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

  /** Whether the load balancer or its filter bases decisions on a header (lower case). */
  static boolean isInspected(String name, Set<String> inspectedByFilter) {
    return INSPECTED.contains(name) || inspectedByFilter.contains(name);
  }

  /**
   * Whether all options of {@code Connection} are tokens and none names an inspected header. {@code
   * inspectedByFilter} adds names in lower case.
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

  /** Whether no trailer of a request is an inspected header or a protected one. */
  static boolean hasValidTrailers(HttpHeaders trailers, Set<String> inspectedByFilter) {
    for (String name : trailers.names()) {
      String lower = name.toLowerCase(Locale.ROOT);
      if (PROTECTED.contains(lower) || isInspected(lower, inspectedByFilter)) {
        return false;
      }
    }
    return true;
  }

  /** Returns the trailers of a response that may be forwarded. */
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

  /** Removes headers that are limited to the connection on which they were received. */
  static void removeHopByHop(HttpHeaders headers) {
    for (String options : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String token : options.split(",")) {
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
