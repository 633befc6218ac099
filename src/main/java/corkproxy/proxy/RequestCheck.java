package corkproxy.proxy;

import corkproxy.balancer.Settings;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.function.Function;

/**
 * What has to hold of a request before anything of it is taken. Guards hosts, and the other clients
 * that share their connections, against whatever could be read in two ways or is of no use to a
 * host (RFC 9112, request smuggling), and the module against names that clients make up. It does
 * harm to a client that strays from the protocol without need: it gets an error of its own.
 */
final class RequestCheck {
  /** Bodies hold at most this much, of requests and of answers. */
  static final int MAX_BODY = 64 * 1024;

  private static final int MAX_ID = 128;
  private static final int MAX_DIGITS = 9;
  private static final String HEALTH = "/_health";

  private final int fault;
  private final boolean health;
  private final Settings.RequestClass type;
  private final double timeout;

  private RequestCheck(int fault, boolean health, Settings.RequestClass type, double timeout) {
    this.fault = fault;
    this.health = health;
    this.type = type;
    this.timeout = timeout;
  }

  /** The status to reject the request with, or 0. */
  int fault() {
    return fault;
  }

  boolean health() {
    return health;
  }

  Settings.RequestClass type() {
    return type;
  }

  /** How long (ms) the client waits; no longer than its class may take. */
  double timeout() {
    return timeout;
  }

  /** Checks a head; {@code folded} tells that one of its lines was continued in the next one. */
  static RequestCheck of(
      HttpRequest request, boolean folded, Function<String, Settings.RequestClass> types) {
    int framing = framing(request, folded);
    if (framing != 0) {
      return rejected(framing);
    }
    if (request.uri().equals(HEALTH)) {
      return request.method().equals(HttpMethod.GET)
          ? new RequestCheck(0, true, null, 0)
          : rejected(405);
    }
    HttpHeaders h = request.headers();
    String id = single(h, "X-Request-ID");
    if (id == null || id.isBlank() || id.length() > MAX_ID) {
      return rejected(400);
    }
    String name = className(request.uri());
    if (h.contains("X-Priority-Class") && !name.equals(single(h, "X-Priority-Class"))) {
      return rejected(400);
    }
    Settings.RequestClass type = types.apply(name);
    if (type == null) {
      return rejected(404);
    }
    boolean safe = type.semantics() == Settings.Semantics.IDEMPOTENT;
    if (!request.method().equals(safe ? HttpMethod.GET : HttpMethod.POST)) {
      return rejected(405);
    }
    String key = single(h, "Idempotency-Key");
    if (type.semantics() == Settings.Semantics.DEDUPLICATED && (key == null || key.isBlank())) {
      return rejected(400);
    }
    double timeout = type.deadline();
    if (h.contains("X-Timeout-Ms")) {
      timeout = Math.min(timeout, whole(single(h, "X-Timeout-Ms")));
    }
    return Double.isNaN(timeout) ? rejected(400) : new RequestCheck(0, false, type, timeout);
  }

  private static RequestCheck rejected(int status) {
    return new RequestCheck(status, false, null, 0);
  }

  /** What could hide another request, or can't be held. Netty has checked the lengths' form. */
  private static int framing(HttpRequest request, boolean folded) {
    HttpHeaders h = request.headers();
    if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
      return 505;
    }
    boolean encoded = h.contains(HttpHeaderNames.TRANSFER_ENCODING);
    if (folded
        || h.getAll(HttpHeaderNames.HOST).size() > 1
        || (encoded && h.contains(HttpHeaderNames.CONTENT_LENGTH))
        || (encoded
            && !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                String.valueOf(single(h, HttpHeaderNames.TRANSFER_ENCODING))))) {
      return 400;
    }
    return HttpUtil.getContentLength(request, 0L) > MAX_BODY ? 413 : 0;
  }

  /** The first part of the path. */
  private static String className(String path) {
    int from = path.startsWith("/") ? 1 : 0;
    int to = from;
    while (to < path.length() && path.charAt(to) != '/' && path.charAt(to) != '?') {
      to++;
    }
    return path.substring(from, to);
  }

  /** The one value of a header, or null where it has none or several. */
  private static String single(HttpHeaders h, CharSequence name) {
    List<String> all = h.getAll(name);
    return all.size() == 1 ? all.get(0).trim() : null;
  }

  /** A whole number that is not negative, or NaN; what does not fit is more than anyone waits. */
  private static double whole(String s) {
    if (s == null || s.isEmpty() || !s.chars().allMatch(c -> c >= '0' && c <= '9')) {
      return Double.NaN;
    }
    return s.length() > MAX_DIGITS ? Double.MAX_VALUE : Integer.parseInt(s);
  }
}
