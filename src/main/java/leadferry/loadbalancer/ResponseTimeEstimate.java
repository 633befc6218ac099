package leadferry.loadbalancer;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the slowness of each endpoint: the ratio of its response time to the mean response time
 * of the request class over all endpoints. A slowness of 1 is average. The estimate of an endpoint
 * decays towards that of its kind of machine. Otherwise, a proxy with little traffic would never
 * again choose an endpoint that was slow once.
 */
final class ResponseTimeEstimate {
  /**
   * Minimum weight of a response: the estimate covers about the last ten responses of the endpoint.
   */
  private static final double MIN_WEIGHT = 0.1;

  /**
   * Minimum weight of a response in the estimate of the kind of machine: covers about the last 20.
   */
  private static final double MIN_MACHINE_KIND_WEIGHT = 0.05;

  /**
   * Number of assumed earlier responses. The first responses weigh more; otherwise, a proxy with
   * little traffic would take a minute to learn.
   */
  private static final int PRIOR_SAMPLES = 2;

  /** Number of assumed earlier responses of a kind of machine. */
  private static final int PRIOR_MACHINE_KIND_SAMPLES = 4;

  /**
   * Time constant with which the estimate of an endpoint decays towards that of its kind of
   * machine.
   */
  private static final double DECAY_MILLIS = 10_000;

  /** Upper bound of the ratio of one response time to the mean of its request class. */
  private static final double MAX_MULTIPLE = 8;

  /** Lower bound of the mean response time by which a response time is divided. */
  private static final double MIN_MEAN_MILLIS = 0.1;

  /** Slowness of a kind of machine: the prior for endpoints with few responses. */
  private static final class MachineKind {
    double slowness = 1;
    int sampleCount;
  }

  private final Map<String, MachineKind> machineKinds = new HashMap<>();

  /**
   * Records a response that took {@code spentMillis}. {@code meanMillis} is the mean response time
   * of its request class.
   */
  void onResponse(Endpoint endpoint, double spentMillis, double meanMillis, double nowMillis) {
    double multiple = spentMillis / Math.max(MIN_MEAN_MILLIS, meanMillis);
    double cappedMultiple = Math.min(multiple, MAX_MULTIPLE);
    double ownSlowness = slowness(endpoint, nowMillis);
    endpoint.sampleCount++;
    double weight = Math.max(MIN_WEIGHT, 1.0 / (endpoint.sampleCount + PRIOR_SAMPLES));
    endpoint.slowness = ownSlowness + weight * (cappedMultiple - ownSlowness);
    endpoint.lastSampleMillis = nowMillis;
    MachineKind machineKind =
        machineKinds.computeIfAbsent(endpoint.machineKind, name -> new MachineKind());
    machineKind.sampleCount++;
    double kindWeight =
        Math.max(
            MIN_MACHINE_KIND_WEIGHT, 1.0 / (machineKind.sampleCount + PRIOR_MACHINE_KIND_SAMPLES));
    machineKind.slowness += kindWeight * (cappedMultiple - machineKind.slowness);
  }

  /**
   * Returns the slowness of the endpoint; 1 if neither the endpoint nor its kind of machine has
   * been measured.
   */
  double slowness(Endpoint endpoint, double nowMillis) {
    MachineKind machineKind = machineKinds.get(endpoint.machineKind);
    double prior = machineKind == null ? 1 : machineKind.slowness;
    return prior
        + (endpoint.slowness - prior)
            * Math.exp(-(nowMillis - endpoint.lastSampleMillis) / DECAY_MILLIS);
  }
}
