package leadferry.loadbalancer;

import java.util.List;

/** What a deployment states at start. All times are milliseconds. */
public record Settings(
    List<RequestClass> classes,
    List<Tenant> tenants,
    Limits limits,
    Rules rules,
    boolean mustFollow,
    String zone,
    int position,
    int balancers,
    double overShareWorth,
    boolean worthByWork) {

  /** Copies the lists, so that settings never change. */
  public Settings {
    classes = List.copyOf(classes);
    tenants = List.copyOf(tenants);
    balancers = Math.max(1, balancers);
  }

  /** The same for the instance at this position of the tier. */
  public Settings at(int place) {
    return new Settings(
        classes,
        tenants,
        limits,
        rules,
        mustFollow,
        zone,
        place,
        balancers,
        overShareWorth,
        worthByWork);
  }

  /** The same with these classes. */
  public Settings with(List<RequestClass> others) {
    return new Settings(
        others,
        tenants,
        limits,
        rules,
        mustFollow,
        zone,
        position,
        balancers,
        overShareWorth,
        worthByWork);
  }

  /** A connection that carries nothing is worth its place at an endpoint for so long. */
  private static final double IDLE_TIMEOUT_AIMS = 2;

  /** Where aims are short, peaks come and go within them, and each would cost handshakes. */
  private static final double LEAST_IDLE_TIMEOUT_MILLIS = 1_000;

  /** What the shortest aim is taken for where there is no class. */
  private static final double DEFAULT_AIM_MILLIS = 400;

  /**
   * How long (ms) a connection to an endpoint is kept that carries nothing: {@code most} where that
   * is less.
   */
  public double idleTimeoutMillis(double most) {
    return Math.min(
        most, Math.max(LEAST_IDLE_TIMEOUT_MILLIS, IDLE_TIMEOUT_AIMS * shortestAimMillis()));
  }

  /** The shortest latency objective (aim) of all classes, by which the module's times go. */
  public double shortestAimMillis() {
    return classes.stream().mapToDouble(RequestClass::aim).min().orElse(DEFAULT_AIM_MILLIS);
  }

  /** What may be repeated. */
  public enum Semantics {
    IDEMPOTENT,
    DEDUPLICATED,
    AT_MOST_ONCE
  }

  /** The endpoints that share the memory of a deduplicated request. */
  public enum Scope {
    ALL,
    ZONE,
    CELL
  }

  /** A class of requests. */
  public record RequestClass(
      String name,
      double aim,
      double deadline,
      Semantics semantics,
      Scope scope,
      double repeatWindow,
      double value,
      double lateWorth) {
    /**
     * How long (ms) after an attempt that may have run another one may go out: for ever, the
     * window, or never.
     */
    public double repeatsWithin() {
      return switch (semantics) {
        case IDEMPOTENT -> Double.MAX_VALUE;
        case DEDUPLICATED -> repeatWindow;
        case AT_MOST_ONCE -> 0;
      };
    }

    /** The same under another name. */
    public RequestClass named(String other) {
      return new RequestClass(
          other, aim, deadline, semantics, scope, repeatWindow, value, lateWorth);
    }

    /** The same with so much time (ms) for an answer to be of use, and to come at all. */
    public RequestClass within(double time) {
      return new RequestClass(name, time, time, semantics, scope, repeatWindow, value, lateWorth);
    }

    /** A class that the settings do not name: taken for the strictest kind. */
    static RequestClass unknown(String name, double budget) {
      double wait = Math.max(1, budget);
      return new RequestClass(name, wait, wait, Semantics.AT_MOST_ONCE, Scope.ALL, 0, 1, 0);
    }
  }

  /** A tenant and its share. */
  public record Tenant(String name, double quotaPerSecond, double portion) {}

  /** What the deployment permits. */
  public record Limits(
      boolean cancel,
      boolean retryAfter,
      boolean parallelTries,
      int maxAttempts,
      double maxRetryAfter,
      int streamsPerConnection) {}

  /** The figures of the drain and slow-start rules. */
  public record Rules(
      double cold, double startCapacity, double fall, double fallMultiple, double askWithin) {}
}
