package leadferry.loadbalancer;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the slowness of an endpoint: its response times as a multiple of the mean of their
 * class. The estimate of an endpoint decays towards that of its kind of machine. Otherwise, a proxy
 * with little traffic would never again choose an endpoint that was slow once.
 */
final class ResponseTimeEstimate {
  /**
   * Least weight of a response: the estimate covers about the last ten responses of the endpoint.
   */
  private static final double MIN_WEIGHT = 0.1;

  /**
   * Least weight of a response in the estimate of the kind of machine: covers about the last 20.
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

  /** Upper bound of the multiple from a single response. */
  private static final double MAX_MULTIPLE = 8;

  /** Lower bound of the mean response time of a class. */
  private static final double MIN_MEAN_MILLIS = 0.1;

  /** Slowness of a kind of machine: the prior for endpoints with few responses. */
  private static final class MachineKind {
    double slowness = 1;
    int sampleCount;
  }

  private final Map<String, MachineKind> machineKinds = new HashMap<>();

  /** Records a response after {@code spentMillis} of a class whose mean is {@code meanMillis}. */
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

  /** Returns the expected multiple of the mean response time at the endpoint. */
  double slowness(Endpoint endpoint, double nowMillis) {
    MachineKind machineKind = machineKinds.get(endpoint.machineKind);
    double prior = machineKind == null ? 1 : machineKind.slowness;
    return prior
        + (endpoint.slowness - prior)
            * Math.exp(-(nowMillis - endpoint.lastSampleMillis) / DECAY_MILLIS);
  }
}
