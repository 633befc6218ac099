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
import leadferry.loadbalancer.RequestPolicy;
import leadferry.loadbalancer.Settings;

/**
 * Validates requests of the platform's protocol before any part of them is accepted. Guards
 * upstream hosts against requests that they can't use, and the load balancer against class names
 * that clients invent. A client that violates the protocol needlessly gets a specific error status.
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
  private final RequestPolicyResolver policyResolver;
  private final OperatorState operatorState;
  private boolean draining;

  PlatformRequestFilter(Dispatcher dispatcher, Settings settings, OperatorState operatorState) {
    this.dispatcher = dispatcher;
    this.operatorState = operatorState;
    this.policyResolver = new RequestPolicyResolver(settings);
  }

  /**
   * Applies new settings to later requests. The settings that they replace are respected too, until
   * {@link #endOldestSettingsTransition} is called for them.
   */
  void applySettings(Settings next) {
    policyResolver.replaceSettings(next);
    dispatcher.updateSettings(next);
  }

  /** Stops respecting the oldest replaced settings; called once for each change of settings. */
  void endOldestSettingsTransition() {
    policyResolver.dropOldestReplaced();
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
    RequestPolicy policy = policyResolver.resolve(name, request.method(), keyed);
    if (policy == null) {
      return rejectUnknownForm(name, request.method());
    }
    double timeoutMillis = timeoutMillis(headers, policy.requestClass());
    if (Double.isNaN(timeoutMillis)) {
      return FilterResult.reject(400);
    }
    RequestArrival arrival = arrival(headers, policy, timeoutMillis);
    return FilterResult.forward(dispatcher, arrival, null, Streaming.LARGE, null, null);
  }

  /** Rejects a request that has the form of no class with this name. */
  private FilterResult rejectUnknownForm(String name, HttpMethod method) {
    if (!policyResolver.isKnown(name)) {
      return FilterResult.reject(404);
    }
    boolean onlyKeyMissing = policyResolver.resolve(name, method, true) != null;
    return FilterResult.reject(onlyKeyMissing ? 400 : 405);
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

  /**
   * Returns the deadline (ms) of the class or of the request, whichever is shorter; NaN for a
   * malformed header.
   */
  private static double timeoutMillis(HttpHeaders headers, Settings.RequestClass requestClass) {
    double deadlineMillis = requestClass.deadlineMillis();
    return headers.contains(TIMEOUT_MILLIS)
        ? Math.min(
            deadlineMillis, Framing.parseWholeNumber(Framing.singleValue(headers, TIMEOUT_MILLIS)))
        : deadlineMillis;
  }

  private static RequestArrival arrival(
      HttpHeaders headers, RequestPolicy policy, double timeoutMillis) {
    return new RequestArrival(
        0,
        policy,
        headers.get(TENANT_ID),
        timeoutMillis,
        costMillis(headers.get(COST_MICROS)),
        "1".equals(headers.get(RETRIED)));
  }

  /**
   * Returns the expected work (ms), which clients state in microseconds; NaN if it is absent or
   * malformed.
   */
  private static double costMillis(String text) {
    try {
      double micros = text == null ? Double.NaN : Double.parseDouble(text.trim());
      return micros >= 0 && Double.isFinite(micros) ? micros / MICROS_PER_MILLI : Double.NaN;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }

  /** Returns the first segment of the path, which names the class. */
  private static String className(String path) {
    int start = path.startsWith("/") ? 1 : 0;
    int end = start;
    while (end < path.length() && path.charAt(end) != '/' && path.charAt(end) != '?') {
      end++;
    }
    return path.substring(start, end);
  }
}
