package leadferry.loadbalancer;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Configuration of a load balancer as the deployment states it. All times are milliseconds.
 *
 * @param classes the request classes
 * @param tenants the tenants with a quota
 * @param limits what the deployment permits
 * @param warmUpRules the limits for endpoints that warm up and for retries of the discovery watch
 * @param shouldWatchDiscovery whether the load balancer itself subscribes to changes from discovery
 * @param zone the zone of this proxy, or null
 * @param proxyIndex the index of this proxy in its tier, starting at 0
 * @param proxyCount the number of proxies in the tier, at least 1
 * @param minPriorityWeight the lower bound of the priority weight of requests whose tenant is over
 *     its quota
 * @param isValueByWork whether a request's value counts per unit of work instead of per request;
 *     not used in decisions
 */
public record Settings(
    List<RequestClass> classes,
    List<Tenant> tenants,
    Limits limits,
    WarmUpRules warmUpRules,
    boolean shouldWatchDiscovery,
    String zone,
    int proxyIndex,
    int proxyCount,
    double minPriorityWeight,
    boolean isValueByWork) {

  /**
   * Copies the lists, which makes the settings immutable, and raises the proxy count to at least 1.
   */
  public Settings {
    classes = List.copyOf(classes);
    tenants = List.copyOf(tenants);
    proxyCount = Math.max(1, proxyCount);
  }

  /** Returns these settings for the proxy with this index in the tier. */
  public Settings withProxyIndex(int index) {
    return new Settings(
        classes,
        tenants,
        limits,
        warmUpRules,
        shouldWatchDiscovery,
        zone,
        index,
        proxyCount,
        minPriorityWeight,
        isValueByWork);
  }

  /** Returns these settings with other request classes. */
  public Settings withClasses(List<RequestClass> newClasses) {
    return new Settings(
        newClasses,
        tenants,
        limits,
        warmUpRules,
        shouldWatchDiscovery,
        zone,
        proxyIndex,
        proxyCount,
        minPriorityWeight,
        isValueByWork);
  }

  /**
   * Idle timeout of a connection, in shortest latency objectives. A connection that is idle for
   * longer is not worth its slot at the endpoint.
   */
  private static final double IDLE_TIMEOUT_OBJECTIVES = 2;

  /**
   * Lower bound of the idle timeout. With short latency objectives, traffic peaks come and go
   * within an objective, and each peak would cost new handshakes.
   */
  private static final double MIN_IDLE_TIMEOUT_MILLIS = 1_000;

  /** Value used for the shortest latency objective if there are no classes. */
  private static final double DEFAULT_OBJECTIVE_MILLIS = 400;

  /**
   * Returns the time in milliseconds for which an idle connection to an endpoint is kept open, at
   * most {@code maxMillis}.
   */
  public double idleTimeoutMillis(double maxMillis) {
    return Math.min(
        maxMillis,
        Math.max(MIN_IDLE_TIMEOUT_MILLIS, IDLE_TIMEOUT_OBJECTIVES * shortestObjectiveMillis()));
  }

  /**
   * Returns the shortest latency objective of all classes in milliseconds. It is the unit of the
   * time constants in this package.
   */
  public double shortestObjectiveMillis() {
    return classes.stream()
        .mapToDouble(RequestClass::latencyObjectiveMillis)
        .min()
        .orElse(DEFAULT_OBJECTIVE_MILLIS);
  }

  /** Returns the policy of each class, by the name of the class. */
  public Map<String, RequestPolicy> policies() {
    return classes.stream()
        .collect(
            Collectors.toMap(
                RequestClass::name,
                requestClass -> RequestPolicy.of(requestClass, limits),
                (first, repeated) -> first));
  }

  /**
   * Whether a request may be repeated after an attempt that may have been executed; the strictest
   * semantics come last.
   */
  public enum Semantics {
    IDEMPOTENT,
    DEDUPLICATED,
    AT_MOST_ONCE
  }

  /**
   * The endpoints that share the deduplication memory of a request class; the narrowest scope comes
   * last.
   */
  public enum KeyScope {
    ALL,
    ZONE,
    CELL
  }

  /**
   * A class of requests.
   *
   * @param name the name of the class
   * @param latencyObjectiveMillis the response time up to which a response has its full value
   * @param deadlineMillis the longest time for which clients wait for a response
   * @param semantics whether requests of the class may be repeated
   * @param keyScope the endpoints that recognize a repeated request of a deduplicated class
   * @param deduplicationWindowMillis how long endpoints recognize a repeated request
   * @param value the value of a response within the latency objective, relative to other classes
   * @param lateValue the value of a response after the latency objective; not used in decisions
   */
  public record RequestClass(
      String name,
      double latencyObjectiveMillis,
      double deadlineMillis,
      Semantics semantics,
      KeyScope keyScope,
      double deduplicationWindowMillis,
      double value,
      double lateValue) {
    /**
     * Returns for how long, in milliseconds, a request may be repeated after an attempt that may
     * have been executed: unlimited for idempotent classes, the deduplication window for
     * deduplicated ones, and 0 for at-most-once ones.
     */
    public double repeatWindowMillis() {
      return switch (semantics) {
        case IDEMPOTENT -> Double.MAX_VALUE;
        case DEDUPLICATED -> deduplicationWindowMillis;
        case AT_MOST_ONCE -> 0;
      };
    }

    /** Returns this class, restricted to what {@code other} allows for a request as well. */
    RequestClass strictest(RequestClass other) {
      return new RequestClass(
          name,
          latencyObjectiveMillis,
          Math.min(deadlineMillis, other.deadlineMillis),
          semantics.compareTo(other.semantics) >= 0 ? semantics : other.semantics,
          keyScope.compareTo(other.keyScope) >= 0 ? keyScope : other.keyScope,
          Math.min(deduplicationWindowMillis, other.deduplicationWindowMillis),
          value,
          lateValue);
    }

    /**
     * Returns this class with {@code timeLimitMillis} as both its latency objective and its
     * deadline.
     */
    public RequestClass withTimeLimit(double timeLimitMillis) {
      return new RequestClass(
          name,
          timeLimitMillis,
          timeLimitMillis,
          semantics,
          keyScope,
          deduplicationWindowMillis,
          value,
          lateValue);
    }

    /**
     * Returns a class for a name that the settings do not contain, with at-most-once semantics,
     * which are the strictest.
     */
    static RequestClass unknown(String name, double budgetMillis) {
      double timeLimitMillis = Math.max(1, budgetMillis);
      return new RequestClass(
          name, timeLimitMillis, timeLimitMillis, Semantics.AT_MOST_ONCE, KeyScope.ALL, 0, 1, 0);
    }
  }

  /**
   * A tenant and its quota.
   *
   * @param name the name of the tenant
   * @param quotaPerSecond the requests per second that the tenant may send; not used in decisions
   * @param quotaShare the share of all requests that the tenant may send, from 0 to 1
   */
  public record Tenant(String name, double quotaPerSecond, double quotaShare) {}

  /**
   * Features and limits that the deployment permits.
   *
   * @param canCancel whether attempts may be cancelled
   * @param canSendRetryAfter whether rejections may carry a Retry-After hint
   * @param canRunParallelAttempts whether two attempts of a request may be open at the same time
   * @param maxAttempts the maximum number of attempts per request
   * @param maxRetryAfterMillis the largest Retry-After hint
   * @param streamsPerConnection the number of requests that one connection carries at the same time
   */
  public record Limits(
      boolean canCancel,
      boolean canSendRetryAfter,
      boolean canRunParallelAttempts,
      int maxAttempts,
      double maxRetryAfterMillis,
      int streamsPerConnection) {}

  /**
   * Limits for endpoints that warm up and for retries of the discovery watch.
   *
   * @param warmUpMillis how long an endpoint warms up after its process started
   * @param initialCapacityShare the share of its full capacity that an endpoint has when it starts
   * @param overloadWindowMillis the window over which the load of a warming endpoint is counted
   * @param overloadMultiple the load that overloads a warming endpoint, as a multiple of its
   *     current capacity
   * @param maxWatchDelayMillis the time within which discovery must be asked again after a failed
   *     watch
   */
  public record WarmUpRules(
      double warmUpMillis,
      double initialCapacityShare,
      double overloadWindowMillis,
      double overloadMultiple,
      double maxWatchDelayMillis) {}
}
