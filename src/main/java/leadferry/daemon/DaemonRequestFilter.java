package leadferry.daemon;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
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
import leadferry.loadbalancer.Settings;
import leadferry.routing.NormalizedPath;
import leadferry.routing.RequestAttributes;
import leadferry.routing.RouteRule;
import leadferry.routing.WeightedSplit;

/**
 * From a request's head to the pool that takes it: path, host, class, route, limits, split. One
 * listener's on one worker under one version. May refuse before any attempt; never sends.
 */
final class DaemonRequestFilter implements RequestFilter {
  /** A host name, or an address in brackets, with a port or none. */
  private static final int MAX_HOST_LENGTH = 255;

  private static final String HTTP_SCHEME = "http://";
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

  /** The request at hand as routes see it; used anew for each, on one loop. */
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
    if (!convertToOriginForm(head)) {
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
    String host = requestedHost(head);
    if (path == null || host == null || (query >= 0 && !hasOnlyQueryCharacters(uri, query))) {
      return FilterResult.reject(400);
    }
    view.head = head;
    view.host = host;
    view.path = path.matchPath();
    String claimed = head.headers().get(listener.classHeader());
    view.className = claimed != null && snapshot.classes.containsKey(claimed) ? claimed : null;
    RouteRule<ConfigurationSnapshot.RouteTarget> rule = routes.find(view);
    if (rule == null) {
      return FilterResult.respond(404, 0, NO_ROUTE);
    }
    return route(head, client, path, query < 0 ? "" : uri.substring(query), rule);
  }

  /**
   * Makes an absolute-form target one of origin form (RFC 9112, 3.2.2): its authority takes the
   * place of {@code Host}, before anything judges by either. False where it is none that can be
   * served here.
   */
  private static boolean convertToOriginForm(HttpRequest head) {
    String uri = head.uri();
    if (!uri.regionMatches(true, 0, HTTP_SCHEME, 0, HTTP_SCHEME.length())) {
      return true;
    }
    int end = HTTP_SCHEME.length();
    while (end < uri.length() && uri.charAt(end) != '/' && uri.charAt(end) != '?') {
      end++;
    }
    String authority = uri.substring(HTTP_SCHEME.length(), end);
    boolean old = head.protocolVersion().equals(HttpVersion.HTTP_1_0);
    if (authority.isEmpty()
        || (!old && Framing.singleValue(head.headers(), HttpHeaderNames.HOST) == null)) {
      return false; // HTTP/1.1 has a Host all the same
    }
    head.headers().set(HttpHeaderNames.HOST, authority);
    String rest = uri.substring(end);
    head.setUri(rest.startsWith("/") ? rest : "/" + rest);
    return true;
  }

  private FilterResult route(
      HttpRequest head,
      InetSocketAddress client,
      NormalizedPath path,
      String query,
      RouteRule<ConfigurationSnapshot.RouteTarget> rule) {
    HttpHeaders h = head.headers();
    DaemonConfig.Route route = rule.target().route();
    String name =
        !route.className().isEmpty()
            ? route.className()
            : view.className != null ? view.className : DaemonConfig.DEFAULT_CLASS;
    Settings.RequestClass type = snapshot.classes.get(name);
    FilterResult.Origin origin = rule.target().origins().get(name);
    String key = Framing.singleValue(h, "Idempotency-Key");
    if (type.semantics() == Settings.Semantics.DEDUPLICATED && (key == null || key.isBlank())) {
      return FilterResult.respond(400, 0, origin); // nothing tells its repeats apart
    }
    double timeout = type.deadlineMillis();
    if (h.contains("X-Timeout-Ms")) {
      timeout = Math.min(timeout, Framing.parseWholeNumber(Framing.singleValue(h, "X-Timeout-Ms")));
    }
    if (!(timeout >= 1)) {
      return FilterResult.respond(400, 0, origin);
    }
    if (hasRepeatedHeader(h, listener.classHeader())
        || hasRepeatedHeader(h, listener.tenantHeader())
        || hasRepeatedHeader(h, route.splitHeader())) {
      return FilterResult.respond(400, 0, origin); // a host may go by the other one
    }
    String tenant = h.get(listener.tenantHeader(), "");
    InetAddress caller =
        client == null ? null : listener.forwarding().clientAddress(h, client.getAddress());
    String address = caller == null ? "" : caller.getHostAddress();
    LimitDecision grant =
        snapshot.limiter.acquire(
            new ClientIdentity(listener.name(), route.name(), tenant, name, address),
            System.nanoTime());
    if (grant.refusedBy() != null) {
      return FilterResult.respond(
          429,
          grant.retryAfterMillis(),
          new FilterResult.Origin(route.name(), name, grant.refusedBy()));
    }
    String pool = rule.target().split().pick(splitKey(route, h, tenant, address));
    boolean safe = type.semantics() == Settings.Semantics.IDEMPOTENT;
    RequestArrival arrival =
        new RequestArrival(0, name, tenant.isEmpty() ? null : tenant, timeout, Double.NaN, false);
    Dispatcher target = countAndGetDispatcher(pool);
    if (target == null) {
      grant.release();
      return FilterResult.respond(503, 0, origin);
    }
    if (caller != null) {
      listener.forwarding().writeHeaders(h, client.getAddress(), caller);
    }
    rewrite(head, route, rule, path, query);
    return FilterResult.forward(
        target,
        arrival,
        fallbackPools(route.fallback(), 0, pool, arrival, safe),
        route.stream() ? Streaming.ALWAYS : Streaming.NEVER,
        origin,
        grant::release);
  }

  private static boolean hasRepeatedHeader(HttpHeaders h, String name) {
    return h.contains(name) && h.getAll(name).size() > 1;
  }

  /** The worker's pool, which counts what comes to it. */
  private Dispatcher countAndGetDispatcher(String pool) {
    ConfigurationSnapshot.PoolSnapshot p = snapshot.pools.get(pool);
    p.retryBudget().onRequest();
    snapshot.retryBudget.onRequest();
    return worker.dispatcher(pool);
  }

  private FallbackPools fallbackPools(
      List<String> names, int from, String first, RequestArrival arrival, boolean safe) {
    if (from >= names.size()) {
      return null;
    }
    return mayHaveRun -> {
      if (mayHaveRun && !safe) {
        return null;
      }
      for (int i = from; i < names.size(); i++) {
        Dispatcher d = names.get(i).equals(first) ? null : worker.dispatcher(names.get(i));
        if (d != null) {
          return new FallbackPools.NextPool(
              d, arrival, fallbackPools(names, i + 1, first, arrival, safe));
        }
      }
      return null;
    };
  }

  private long splitKey(DaemonConfig.Route route, HttpHeaders h, String tenant, String address) {
    if (route.split().size() == 1) {
      return 0;
    }
    String key =
        switch (route.splitBy()) {
          case KEY -> h.get(route.splitHeader());
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
      String to = NormalizedPath.toOctetChars(route.rewritePrefix());
      to =
          to.endsWith("/") && (rest.startsWith("/") || (rest.isEmpty() && to.length() > 1))
              ? to.substring(0, to.length() - 1)
              : to;
      forward = NormalizedPath.percentEncode(to + rest);
    }
    head.setUri(forward + query);
    HttpHeaders h = head.headers();
    for (String name : route.removeHeaders()) {
      h.remove(name);
    }
    for (Map.Entry<String, String> e : route.setHeaders().entrySet()) {
      h.set(e.getKey(), e.getValue());
    }
  }

  /** The host asked for in lower case without port or last dot, or null where it can't be one. */
  private static String requestedHost(HttpRequest head) {
    String h = Framing.singleValue(head.headers(), HttpHeaderNames.HOST);
    if (head.protocolVersion().equals(HttpVersion.HTTP_1_0)
        && !head.headers().contains(HttpHeaderNames.HOST)) {
      head.headers().set(HttpHeaderNames.HOST, ""); // what goes on is HTTP/1.1, which has one
      return "";
    }
    if (h == null || h.length() > MAX_HOST_LENGTH) {
      return null;
    }
    int end = h.length();
    boolean upper = false;
    boolean bracket = h.startsWith("[");
    for (int i = 0; i < end; i++) {
      char c = h.charAt(i);
      if (c == ':' && (!bracket || h.charAt(i - 1) == ']')) {
        for (int j = i + 1; j < h.length(); j++) {
          if (h.charAt(j) < '0' || h.charAt(j) > '9') {
            return null;
          }
        }
        end = i;
      } else if (c >= 'A' && c <= 'Z') {
        upper = true;
      } else if (!((c >= 'a' && c <= 'z')
          || (c >= '0' && c <= '9')
          || c == '.'
          || c == '-'
          || c == '_'
          || (bracket && (c == '[' || c == ']' || c == ':')))) {
        return null;
      }
    }
    end -= end > 0 && h.charAt(end - 1) == '.' ? 1 : 0;
    if (end == 0 || (bracket && h.charAt(end - 1) != ']')) {
      return null;
    }
    String name = end == h.length() ? h : h.substring(0, end);
    return upper ? name.toLowerCase(Locale.ROOT) : name;
  }

  private static boolean hasOnlyQueryCharacters(String s, int from) {
    for (int i = from; i < s.length(); i++) {
      char c = s.charAt(i);
      if (c <= ' ' || c == 0x7f || c == '#') {
        return false;
      }
    }
    return true;
  }
}
