package leadferry.loadbalancer;

import java.util.HashMap;
import java.util.Map;

/**
 * How slowly an endpoint answers: its response times as a multiple of their class's mean. An
 * endpoint's own figure fades towards that of its kind of machine, or one that was slow once would
 * never be chosen again by a proxy that sends little.
 */
final class ResponseTimeEstimate {
  /** Least weight of a response: about the endpoint's last ten count. */
  private static final double MIN_WEIGHT = 0.1;

  /** The same for the kind of machine: about the last twenty. */
  private static final double MIN_KIND_WEIGHT = 0.05;

  /** The first responses weigh more: a light proxy would otherwise take a minute to learn. */
  private static final int PRIOR_SAMPLES = 2;

  private static final int PRIOR_KIND_SAMPLES = 4;

  /** Time constant at which an endpoint's own figure fades towards its kind's. */
  private static final double DECAY_MILLIS = 10_000;

  /** The most that a single response can tell. */
  private static final double MAX_MULTIPLE = 8;

  /** A class whose mean is shorter than this counts as this long. */
  private static final double MIN_MEAN_MILLIS = 0.1;

  /** The slowness of a kind of machine, the prior for endpoints with few responses. */
  private static final class MachineKind {
    double slowness = 1;
    int sampleCount;
  }

  private final Map<String, MachineKind> machineKinds = new HashMap<>();

  /** A response has come after so long, where its class takes {@code meanMillis} in the mean. */
  void onResponse(Endpoint endpoint, double spentMillis, double meanMillis, double nowMillis) {
    double multiple = spentMillis / Math.max(MIN_MEAN_MILLIS, meanMillis);
    double capped = Math.min(multiple, MAX_MULTIPLE);
    double ownSlowness = slowness(endpoint, nowMillis);
    endpoint.sampleCount++;
    double weight = Math.max(MIN_WEIGHT, 1.0 / (endpoint.sampleCount + PRIOR_SAMPLES));
    endpoint.slowness = ownSlowness + weight * (capped - ownSlowness);
    endpoint.lastSampleMillis = nowMillis;
    MachineKind kind =
        machineKinds.computeIfAbsent(endpoint.machineKind, name -> new MachineKind());
    kind.sampleCount++;
    double kindWeight = Math.max(MIN_KIND_WEIGHT, 1.0 / (kind.sampleCount + PRIOR_KIND_SAMPLES));
    kind.slowness += kindWeight * (capped - kind.slowness);
  }

  /** The multiple of the mean response time expected of the endpoint. */
  double slowness(Endpoint endpoint, double nowMillis) {
    MachineKind kind = machineKinds.get(endpoint.machineKind);
    double prior = kind == null ? 1 : kind.slowness;
    return prior
        + (endpoint.slowness - prior)
            * Math.exp(-(nowMillis - endpoint.lastSampleMillis) / DECAY_MILLIS);
  }
}
