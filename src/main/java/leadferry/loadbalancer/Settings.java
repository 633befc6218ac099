package leadferry.loadbalancer;

import java.util.List;

/** What a deployment states at start. All times are milliseconds. */
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

  /** Copies the lists, so that settings never change. */
  public Settings {
    classes = List.copyOf(classes);
    tenants = List.copyOf(tenants);
    proxyCount = Math.max(1, proxyCount);
  }

  /** The same for the instance at this position of the tier. */
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

  /** The same with these classes. */
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

  /** A connection that carries nothing is worth its place at an endpoint for so long. */
  private static final double IDLE_TIMEOUT_OBJECTIVES = 2;

  /** Where aims are short, peaks come and go within them, and each would cost handshakes. */
  private static final double MIN_IDLE_TIMEOUT_MILLIS = 1_000;

  /** What the shortest aim is taken for where there is no class. */
  private static final double DEFAULT_OBJECTIVE_MILLIS = 400;

  /**
   * How long (ms) a connection to an endpoint is kept that carries nothing: {@code most} where that
   * is less.
   */
  public double idleTimeoutMillis(double maxMillis) {
    return Math.min(
        maxMillis,
        Math.max(MIN_IDLE_TIMEOUT_MILLIS, IDLE_TIMEOUT_OBJECTIVES * shortestObjectiveMillis()));
  }

  /** The shortest latency objective (aim) of all classes, by which the module's times go. */
  public double shortestObjectiveMillis() {
    return classes.stream()
        .mapToDouble(RequestClass::latencyObjectiveMillis)
        .min()
        .orElse(DEFAULT_OBJECTIVE_MILLIS);
  }

  /** What may be repeated. */
  public enum Semantics {
    IDEMPOTENT,
    DEDUPLICATED,
    AT_MOST_ONCE
  }

  /** The endpoints that share the memory of a deduplicated request. */
  public enum KeyScope {
    ALL,
    ZONE,
    CELL
  }

  /** A class of requests. */
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
     * How long (ms) after an attempt that may have run another one may go out: for ever, the
     * window, or never.
     */
    public double repeatWindowMillis() {
      return switch (semantics) {
        case IDEMPOTENT -> Double.MAX_VALUE;
        case DEDUPLICATED -> deduplicationWindowMillis;
        case AT_MOST_ONCE -> 0;
      };
    }

    /** The same under another name. */
    public RequestClass withName(String newName) {
      return new RequestClass(
          newName,
          latencyObjectiveMillis,
          deadlineMillis,
          semantics,
          keyScope,
          deduplicationWindowMillis,
          value,
          lateValue);
    }

    /** The same with so much time (ms) for an answer to be of use, and to come at all. */
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

    /** A class that the settings do not name: taken for the strictest kind. */
    static RequestClass unknown(String name, double budgetMillis) {
      double timeLimitMillis = Math.max(1, budgetMillis);
      return new RequestClass(
          name, timeLimitMillis, timeLimitMillis, Semantics.AT_MOST_ONCE, KeyScope.ALL, 0, 1, 0);
    }
  }

  /** A tenant and its share. */
  public record Tenant(String name, double quotaPerSecond, double quotaShare) {}

  /** What the deployment permits. */
  public record Limits(
      boolean canCancel,
      boolean canSendRetryAfter,
      boolean canRunParallelAttempts,
      int maxAttempts,
      double maxRetryAfterMillis,
      int streamsPerConnection) {}

  /** The figures of the drain and slow-start rules. */
  public record WarmUpRules(
      double warmUpMillis,
      double initialCapacityShare,
      double overloadWindowMillis,
      double overloadMultiple,
      double maxWatchDelayMillis) {}
}
