package leadferry.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import java.net.InetSocketAddress;
import java.util.Set;
import leadferry.engine.Dispatcher;
import leadferry.http.FilterResult;
import leadferry.http.Framing;
import leadferry.http.RequestFilter;
import leadferry.http.Streaming;
import leadferry.loadbalancer.RequestArrival;
import leadferry.loadbalancer.Settings;

/**
 * What has to hold of a request of the platform's before anything of it is taken. Guards hosts
 * against what is of no use to them, and the module against names that clients make up. It does
 * harm to a client that strays from the protocol without need: it gets an error of its own.
 */
final class PlatformRequestFilter implements RequestFilter {
  private static final int MAX_ID = 128;
  private static final String HEALTH = "/_health";

  private final Dispatcher pool;
  private final SettingsReload types;
  private final OperatorState operators;
  private boolean draining;

  PlatformRequestFilter(Dispatcher pool, Settings settings, OperatorState operators) {
    this.pool = pool;
    this.operators = operators;
    this.types = new SettingsReload(settings);
  }

  /** Other settings hold for what comes from now on; {@link #settled} ends their grace. */
  void settings(Settings next) {
    pool.settings(types.change(next));
  }

  /** What the settings before last still allowed is over. */
  void settled() {
    Settings s = types.settled();
    if (s != null) {
      pool.settings(s);
    }
  }

  void drain() {
    draining = true;
  }

  @Override
  public Set<String> judgesBy() {
    return Set.of();
  }

  @Override
  public boolean ready() {
    return !draining && !operators.sentAway() && pool.anySendable();
  }

  @Override
  public FilterResult judge(HttpRequest request, InetSocketAddress client) {
    if (request.uri().equals(HEALTH)) {
      return request.method().equals(HttpMethod.GET)
          ? FilterResult.answer(ready() ? 200 : 503, 0)
          : FilterResult.reject(405);
    }
    HttpHeaders h = request.headers();
    String id = Framing.single(h, "X-Request-ID");
    if (id == null || id.isBlank() || id.length() > MAX_ID) {
      return FilterResult.reject(400);
    }
    String name = className(request.uri());
    if (h.contains("X-Priority-Class") && !name.equals(Framing.single(h, "X-Priority-Class"))) {
      return FilterResult.reject(400);
    }
    String key = Framing.single(h, "Idempotency-Key");
    boolean keyed = key != null && !key.isBlank();
    Settings.RequestClass type = types.of(name, request.method(), keyed);
    if (type == null) {
      return FilterResult.reject(404);
    }
    if (!SettingsReload.fits(type, request.method(), keyed)) {
      return FilterResult.reject(SettingsReload.fits(type, request.method(), true) ? 400 : 405);
    }
    double timeout = type.deadline();
    if (h.contains("X-Timeout-Ms")) {
      timeout = Math.min(timeout, Framing.whole(Framing.single(h, "X-Timeout-Ms")));
    }
    if (Double.isNaN(timeout)) {
      return FilterResult.reject(400);
    }
    RequestArrival arrival =
        new RequestArrival(
            0,
            type.name(),
            h.get("X-Tenant-Id"),
            timeout,
            estimate(h.get("X-Cost")),
            "1".equals(h.get("X-Retried")));
    return FilterResult.take(pool, arrival, null, Streaming.LARGE, null, null);
  }

  /** The work expected, which clients state in microseconds and the module takes in ms. */
  private static double estimate(String s) {
    try {
      double us = s == null ? Double.NaN : Double.parseDouble(s.trim());
      return us >= 0 && Double.isFinite(us) ? us / 1_000 : Double.NaN;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
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
}
