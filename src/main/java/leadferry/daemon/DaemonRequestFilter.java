package leadferry.daemon;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import leadferry.engine.Dispatcher;
import leadferry.engine.FallbackPools;
import leadferry.http.FilterResult;
import leadferry.http.Framing;
import leadferry.http.RequestFilter;
import leadferry.http.Streaming;
import leadferry.limits.ClientIdentity;
import leadferry.limits.LimitDecision;
import leadferry.loadbalancer.RequestArrival;
import leadferry.loadbalancer.RequestPolicy;
import leadferry.loadbalancer.Settings;
import leadferry.routing.NormalizedPath;
import leadferry.routing.RequestAttributes;
import leadferry.routing.RouteRule;
import leadferry.routing.WeightedSplit;

/**
 * Decides from a request's head which pool serves it: path, host, class, route, limits, split.
 *
 * <p>An instance belongs to one listener on one worker under one configuration snapshot. It may
 * reject a request before any attempt; it sends nothing itself.
 */
final class DaemonRequestFilter implements RequestFilter {
  private static final FilterResult.Origin NO_ROUTE = new FilterResult.Origin(null, null, null);

  private final Worker worker;
  private final ConfigurationSnapshot snapshot;
  private final DaemonConfig.Listener listener;
  private final leadferry.routing.RouteTable<ConfigurationSnapshot.RouteTarget> routes;
  private final Set<String> inspectedHeaders;
  private final RequestView view = new RequestView();
  private final SplittableRandom random = new SplittableRandom();

  DaemonRequestFilter(
      Worker worker, ConfigurationSnapshot version, DaemonConfig.Listener listener) {
    this.worker = worker;
    this.snapshot = version;
    this.listener = listener;
    this.inspectedHeaders = version.inspectedHeaders.get(listener.name());
    this.routes = version.routes.get(listener.name());
  }

  /** Present request as the route table reads it; reused for each request on one event loop. */
  private static final class RequestView implements RequestAttributes {
    private HttpRequest head;
    private String host;
    private String path;
    private String className;

    @Override
    public String host() {
      return host;
    }

    @Override
    public String path() {
      return path;
    }

    @Override
    public String method() {
      return head.method().name();
    }

    @Override
    public String className() {
      return className;
    }

    @Override
    public String header(String name) {
      return head.headers().get(name);
    }
  }

  @Override
  public Set<String> inspectedHeaders() {
    return inspectedHeaders;
  }

  @Override
  public boolean isReady() {
    return worker.isServing();
  }

  @Override
  public FilterResult evaluate(HttpRequest head, InetSocketAddress client) {
    if (!RequestTarget.convertToOriginForm(head)) {
      return FilterResult.reject(400);
    }
    String uri = head.uri();
    if (uri.equals(listener.healthPath())) {
      return FilterResult.respond(isReady() ? 200 : 503, 0);
    }
    if (head.method().equals(HttpMethod.CONNECT)) {
      return FilterResult.reject(405);
    }
    int query = uri.indexOf('?');
    NormalizedPath path =
        NormalizedPath.normalize(query < 0 ? uri : uri.substring(0, query), listener.pathMode());
    String host = RequestTarget.requestedHost(head);
    if (path == null
        || host == null
        || (query >= 0 && !RequestTarget.hasOnlyQueryCharacters(uri, query))) {
      return FilterResult.reject(400);
    }
    view.head = head;
    view.host = host;
    view.path = path.matchPath();
    String declaredClass = head.headers().get(listener.classHeader());
    view.className =
        declaredClass != null && snapshot.classes.containsKey(declaredClass) ? declaredClass : null;
    RouteRule<ConfigurationSnapshot.RouteTarget> rule = routes.find(view);
    if (rule == null) {
      return FilterResult.respond(404, 0, NO_ROUTE);
    }
    return route(head, client, path, query < 0 ? "" : uri.substring(query), rule);
  }

  private FilterResult route(
      HttpRequest head,
      InetSocketAddress client,
      NormalizedPath path,
      String query,
      RouteRule<ConfigurationSnapshot.RouteTarget> rule) {
    HttpHeaders headers = head.headers();
    DaemonConfig.Route route = rule.target().route();
    String className =
        !route.className().isEmpty()
            ? route.className()
            : view.className != null ? view.className : DaemonConfig.DEFAULT_CLASS;
    Settings.RequestClass requestClass = snapshot.classes.get(className);
    FilterResult.Origin origin = rule.target().origins().get(className);
    String idempotencyKey = Framing.singleValue(headers, "Idempotency-Key");
    if (requestClass.semantics() == Settings.Semantics.DEDUPLICATED
        && (idempotencyKey == null || idempotencyKey.isBlank())) {
      return FilterResult.respond(400, 0, origin); // without a key, a retry can't be recognised
    }
    double timeoutMillis = requestClass.deadlineMillis();
    if (headers.contains("X-Timeout-Ms")) {
      timeoutMillis =
          Math.min(
              timeoutMillis,
              Framing.parseWholeNumber(Framing.singleValue(headers, "X-Timeout-Ms")));
    }
    if (!(timeoutMillis >= 1)) {
      return FilterResult.respond(400, 0, origin);
    }
    if (hasRepeatedHeader(headers, listener.classHeader())
        || hasRepeatedHeader(headers, listener.tenantHeader())
        || hasRepeatedHeader(headers, route.splitHeader())) {
      return FilterResult.respond(400, 0, origin); // the upstream host might use the other value
    }
    String tenant = headers.get(listener.tenantHeader(), "");
    InetAddress clientAddress =
        client == null ? null : listener.forwarding().clientAddress(headers, client.getAddress());
    String address = clientAddress == null ? "" : clientAddress.getHostAddress();
    LimitDecision decision =
        snapshot.limiter.acquire(
            new ClientIdentity(listener.name(), route.name(), tenant, className, address),
            System.nanoTime());
    if (decision.refusedBy() != null) {
      return FilterResult.respond(
          429,
          decision.retryAfterMillis(),
          new FilterResult.Origin(route.name(), className, decision.refusedBy()));
    }
    String pool = rule.target().split().pick(splitKey(route, headers, tenant, address));
    RequestArrival arrival =
        new RequestArrival(
            0,
            policyIn(pool, requestClass),
            tenant.isEmpty() ? null : tenant,
            timeoutMillis,
            Double.NaN,
            false);
    Dispatcher dispatcher = countAndGetDispatcher(pool);
    if (dispatcher == null) {
      decision.release();
      return FilterResult.respond(503, 0, origin);
    }
    if (clientAddress != null) {
      listener.forwarding().writeHeaders(headers, client.getAddress(), clientAddress);
    }
    rewrite(head, route, rule, path, query);
    return FilterResult.forward(
        dispatcher,
        arrival,
        fallbackPools(route.fallback(), 0, pool, arrival),
        route.stream() ? Streaming.ALWAYS : Streaming.NEVER,
        origin,
        decision::release);
  }

  private static boolean hasRepeatedHeader(HttpHeaders headers, String name) {
    return headers.contains(name) && headers.getAll(name).size() > 1;
  }

  /**
   * Counts the request in the retry budgets and returns the dispatcher of its pool, or null if the
   * worker has no such pool.
   */
  private Dispatcher countAndGetDispatcher(String pool) {
    ConfigurationSnapshot.PoolSnapshot poolSnapshot = snapshot.pools.get(pool);
    poolSnapshot.retryBudget().onRequest();
    snapshot.retryBudget.onRequest();
    return worker.dispatcher(pool);
  }

  /** Returns what this snapshot's settings of a pool allow for a request of the class. */
  private RequestPolicy policyIn(String pool, Settings.RequestClass requestClass) {
    return RequestPolicy.of(requestClass, snapshot.pools.get(pool).config().settings().limits());
  }

  private FallbackPools fallbackPools(
      List<String> names, int from, String first, RequestArrival arrival) {
    if (from >= names.size()) {
      return null;
    }
    Settings.RequestClass requestClass = arrival.policy().requestClass();
    return mayHaveRun -> {
      if (mayHaveRun && requestClass.semantics() != Settings.Semantics.IDEMPOTENT) {
        return null;
      }
      for (int index = from; index < names.size(); index++) {
        Dispatcher dispatcher =
            names.get(index).equals(first) ? null : worker.dispatcher(names.get(index));
        if (dispatcher != null) {
          RequestArrival next = arrival.withPolicy(policyIn(names.get(index), requestClass));
          return new FallbackPools.NextPool(
              dispatcher, next, fallbackPools(names, index + 1, first, arrival));
        }
      }
      return null;
    };
  }

  private long splitKey(
      DaemonConfig.Route route, HttpHeaders headers, String tenant, String address) {
    if (route.split().size() == 1) {
      return 0;
    }
    String key =
        switch (route.splitBy()) {
          case KEY -> headers.get(route.splitHeader());
          case TENANT -> tenant.isEmpty() ? null : tenant;
          case ADDRESS -> address;
        };
    return key == null ? random.nextLong() : WeightedSplit.hash(key);
  }

  private void rewrite(
      HttpRequest head,
      DaemonConfig.Route route,
      RouteRule<ConfigurationSnapshot.RouteTarget> rule,
      NormalizedPath path,
      String query) {
    String forward = path.forwardPath();
    if (!route.rewritePrefix().isEmpty()) {
      String rest = path.matchPath().substring(rule.path().length());
      String replacement = NormalizedPath.toOctetChars(route.rewritePrefix());
      replacement =
          replacement.endsWith("/")
                  && (rest.startsWith("/") || (rest.isEmpty() && replacement.length() > 1))
              ? replacement.substring(0, replacement.length() - 1)
              : replacement;
      forward = NormalizedPath.percentEncode(replacement + rest);
    }
    head.setUri(forward + query);
    HttpHeaders headers = head.headers();
    for (String name : route.removeHeaders()) {
      headers.remove(name);
    }
    for (Map.Entry<String, String> header : route.setHeaders().entrySet()) {
      headers.set(header.getKey(), header.getValue());
    }
  }
}
