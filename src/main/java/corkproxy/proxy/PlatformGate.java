package corkproxy.proxy;

import corkproxy.balancer.Arrival;
import corkproxy.balancer.Settings;
import corkproxy.engine.Dispatcher;
import corkproxy.http.Framing;
import corkproxy.http.Gate;
import corkproxy.http.Streaming;
import corkproxy.http.Verdict;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import java.net.InetSocketAddress;
import java.util.Set;

/**
 * What has to hold of a request of the platform's before anything of it is taken. Guards hosts
 * against what is of no use to them, and the module against names that clients make up. It does
 * harm to a client that strays from the protocol without need: it gets an error of its own.
 */
final class PlatformGate implements Gate {
  private static final int MAX_ID = 128;
  private static final String HEALTH = "/_health";

  private final Dispatcher pool;
  private final Retuning types;
  private final Operators operators;
  private boolean draining;

  PlatformGate(Dispatcher pool, Settings settings, Operators operators) {
    this.pool = pool;
    this.operators = operators;
    this.types = new Retuning(settings);
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
  public Verdict judge(HttpRequest request, InetSocketAddress client) {
    if (request.uri().equals(HEALTH)) {
      return request.method().equals(HttpMethod.GET)
          ? Verdict.answer(ready() ? 200 : 503, 0)
          : Verdict.reject(405);
    }
    HttpHeaders h = request.headers();
    String id = Framing.single(h, "X-Request-ID");
    if (id == null || id.isBlank() || id.length() > MAX_ID) {
      return Verdict.reject(400);
    }
    String name = className(request.uri());
    if (h.contains("X-Priority-Class") && !name.equals(Framing.single(h, "X-Priority-Class"))) {
      return Verdict.reject(400);
    }
    String key = Framing.single(h, "Idempotency-Key");
    boolean keyed = key != null && !key.isBlank();
    Settings.RequestClass type = types.of(name, request.method(), keyed);
    if (type == null) {
      return Verdict.reject(404);
    }
    if (!Retuning.fits(type, request.method(), keyed)) {
      return Verdict.reject(Retuning.fits(type, request.method(), true) ? 400 : 405);
    }
    double timeout = type.deadline();
    if (h.contains("X-Timeout-Ms")) {
      timeout = Math.min(timeout, Framing.whole(Framing.single(h, "X-Timeout-Ms")));
    }
    if (Double.isNaN(timeout)) {
      return Verdict.reject(400);
    }
    Arrival arrival =
        new Arrival(
            0,
            type.name(),
            h.get("X-Tenant-Id"),
            timeout,
            estimate(h.get("X-Cost")),
            "1".equals(h.get("X-Retried")));
    return Verdict.take(pool, arrival, null, Streaming.LARGE, null, null);
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
