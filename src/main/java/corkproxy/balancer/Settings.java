package corkproxy.balancer;

import java.util.List;

/** What a deployment states at start. All times are milliseconds. */
public record Settings(
    List<RequestClass> classes,
    List<Tenant> tenants,
    Limits limits,
    Rules rules,
    Fees fees,
    boolean mustFollow,
    String zone,
    int position,
    int balancers,
    double overShareWorth,
    boolean worthByWork,
    boolean reportsOnAnswers,
    boolean reportsOnProbes) {

  /** Copies the lists, so that settings never change. */
  public Settings {
    classes = List.copyOf(classes);
    tenants = List.copyOf(tenants);
    balancers = Math.max(1, balancers);
  }

  /** What may be repeated. */
  public enum Semantics {
    IDEMPOTENT,
    DEDUPLICATED,
    AT_MOST_ONCE
  }

  /** The hosts that share the memory of a deduplicated request. */
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
      double lateWorth,
      boolean streamed) {}

  /** A tenant and its share. */
  public record Tenant(String name, double quotaPerSecond, double portion) {}

  /** What the deployment permits. */
  public record Limits(
      boolean cancel,
      boolean probes,
      boolean retryAfter,
      boolean parallelTries,
      int maxAttempts,
      double maxRetryAfter,
      int streamsPerConnection) {}

  /** The figures of the drain and cold-host rules. */
  public record Rules(
      double cold, double startCapacity, double fall, double fallMultiple, double askWithin) {}

  /** Prices that bear on choices. */
  public record Fees(double crossZone, double probe, double waste) {}
}
