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
 * Validates a request of the platform's protocol before anything of it is taken. Guards upstreams
 * against requests that are of no use to them, and the load balancer against names that clients
 * make up. A client that strays from the protocol without need gets an error of its own.
 */
final class PlatformRequestFilter implements RequestFilter {
  private static final int MAX_ID_CHARACTERS = 128;
  private static final String HEALTH_PATH = "/_health";
  private static final double MICROS_PER_MILLI = 1_000;

  private static final String REQUEST_ID = "X-Request-ID";
  private static final String PRIORITY_CLASS = "X-Priority-Class";
  private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  private static final String TIMEOUT_MILLIS = "X-Timeout-Ms";
  private static final String TENANT_ID = "X-Tenant-Id";
  private static final String COST_MICROS = "X-Cost";
  private static final String RETRIED = "X-Retried";

  private final Dispatcher dispatcher;
  private final RequestClassResolver classResolver;
  private final OperatorState operatorState;
  private boolean draining;

  PlatformRequestFilter(Dispatcher dispatcher, Settings settings, OperatorState operatorState) {
    this.dispatcher = dispatcher;
    this.operatorState = operatorState;
    this.classResolver = new RequestClassResolver(settings);
  }

  /**
   * Other settings hold for what comes from now on; {@link #endSettingsTransition} ends their
   * grace.
   */
  void applySettings(Settings next) {
    dispatcher.updateSettings(classResolver.replaceSettings(next));
  }

  /** Requests of the form before the last change of settings are no longer taken. */
  void endSettingsTransition() {
    Settings settled = classResolver.endTransition();
    if (settled != null) {
      dispatcher.updateSettings(settled);
    }
  }

  void startDraining() {
    draining = true;
  }

  @Override
  public Set<String> inspectedHeaders() {
    return Set.of();
  }

  @Override
  public boolean isReady() {
    return !draining && !operatorState.isDraining() && dispatcher.hasSendableHost();
  }

  @Override
  public FilterResult evaluate(HttpRequest request, InetSocketAddress client) {
    if (request.uri().equals(HEALTH_PATH)) {
      return request.method().equals(HttpMethod.GET)
          ? FilterResult.respond(isReady() ? 200 : 503, 0)
          : FilterResult.reject(405);
    }
    HttpHeaders headers = request.headers();
    String name = className(request.uri());
    if (!hasValidId(headers) || !hasClass(headers, name)) {
      return FilterResult.reject(400);
    }
    String key = Framing.singleValue(headers, IDEMPOTENCY_KEY);
    boolean keyed = key != null && !key.isBlank();
    Settings.RequestClass requestClass = classResolver.resolve(name, request.method(), keyed);
    if (requestClass == null) {
      return FilterResult.reject(404);
    }
    if (!RequestClassResolver.matchesForm(requestClass, request.method(), keyed)) {
      boolean onlyKeyMissing =
          RequestClassResolver.matchesForm(requestClass, request.method(), true);
      return FilterResult.reject(onlyKeyMissing ? 400 : 405);
    }
    double timeoutMillis = timeoutMillis(headers, requestClass);
    if (Double.isNaN(timeoutMillis)) {
      return FilterResult.reject(400);
    }
    RequestArrival arrival = arrival(headers, requestClass, timeoutMillis);
    return FilterResult.forward(dispatcher, arrival, null, Streaming.LARGE, null, null);
  }

  private static boolean hasValidId(HttpHeaders headers) {
    String id = Framing.singleValue(headers, REQUEST_ID);
    return id != null && !id.isBlank() && id.length() <= MAX_ID_CHARACTERS;
  }

  /** Whether the header that names the class is absent, or agrees with the path. */
  private static boolean hasClass(HttpHeaders headers, String name) {
    return !headers.contains(PRIORITY_CLASS)
        || name.equals(Framing.singleValue(headers, PRIORITY_CLASS));
  }

  /** The deadline of the class or of the request, the shorter; NaN for a malformed header. */
  private static double timeoutMillis(HttpHeaders headers, Settings.RequestClass requestClass) {
    double deadlineMillis = requestClass.deadlineMillis();
    return headers.contains(TIMEOUT_MILLIS)
        ? Math.min(
            deadlineMillis, Framing.parseWholeNumber(Framing.singleValue(headers, TIMEOUT_MILLIS)))
        : deadlineMillis;
  }

  private static RequestArrival arrival(
      HttpHeaders headers, Settings.RequestClass requestClass, double timeoutMillis) {
    return new RequestArrival(
        0,
        requestClass.name(),
        headers.get(TENANT_ID),
        timeoutMillis,
        costMillis(headers.get(COST_MICROS)),
        "1".equals(headers.get(RETRIED)));
  }

  /** The expected work, which clients state in microseconds; NaN where it is not stated. */
  private static double costMillis(String text) {
    try {
      double micros = text == null ? Double.NaN : Double.parseDouble(text.trim());
      return micros >= 0 && Double.isFinite(micros) ? micros / MICROS_PER_MILLI : Double.NaN;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }

  /** The first part of the path. */
  private static String className(String path) {
    int start = path.startsWith("/") ? 1 : 0;
    int end = start;
    while (end < path.length() && path.charAt(end) != '/' && path.charAt(end) != '?') {
      end++;
    }
    return path.substring(start, end);
  }
}
