package leadferry.loadbalancer;

import java.util.HashMap;
import java.util.Map;

/**
 * How long the queue at an endpoint takes, and whether that is too long for a request to be useful.
 * Learnt for each kind of machine as milliseconds per request held.
 */
final class QueueDelayEstimate {
  /** A queue that takes more than this share of a request's useful time is too long to join. */
  private static final double MAX_QUEUE_SHARE = 0.7;

  /** The same for a queue of our own requests alone, whose length needs no guess. */
  private static final double MAX_OWN_QUEUE_SHARE = 0.45;

  /** The least share of the allowed queue left to a tenant far over its quota. */
  private static final double MIN_PRIORITY_WEIGHT = 0.4;

  /** Share by which each response moves the median of the time per request held. */
  private static final double MIN_STEP_SHARE = 0.01;

  /** The first responses move it more. */
  private static final int PRIOR_SAMPLES = 4;

  /** What is known of a kind of machine. */
  private static final class MachineKind {
    int sampleCount;
    double millisPerHeldRequest;
  }

  private final LoadReportEstimate loadReports;
  private final Map<String, MachineKind> machineKinds = new HashMap<>();

  QueueDelayEstimate(LoadReportEstimate loadReports) {
    this.loadReports = loadReports;
  }

  /** A response has come after so long, with {@code ownBefore} of ours in flight there before. */
  void onResponse(Endpoint endpoint, int ownInFlightAtSend, double spentMillis) {
    double held = ownInFlightAtSend + endpoint.othersInFlight;
    if (held < LoadReportEstimate.QUEUE_THRESHOLD) {
      return;
    }
    MachineKind kind =
        machineKinds.computeIfAbsent(endpoint.machineKind, name -> new MachineKind());
    double millisPerHeldRequest = spentMillis / (held + 1);
    // The median: a few heavy requests say nothing of how long the next one will take.
    kind.sampleCount++;
    double step = Math.max(MIN_STEP_SHARE, 1.0 / (kind.sampleCount + PRIOR_SAMPLES));
    if (kind.millisPerHeldRequest == 0) {
      kind.millisPerHeldRequest = millisPerHeldRequest;
    } else {
      kind.millisPerHeldRequest *=
          millisPerHeldRequest > kind.millisPerHeldRequest ? 1 + step : 1 - step;
    }
  }

  /** Whether the queue at the endpoint can't be through while the request is useful. */
  boolean isQueueTooLong(RequestState request, Endpoint endpoint, double nowMillis) {
    return isOwnQueueTooLong(request, endpoint)
        || queueDelayMillis(endpoint, nowMillis) > MAX_QUEUE_SHARE * usefulTimeMillis(request);
  }

  /** Whether our own requests at the endpoint alone are such a queue. */
  boolean isOwnQueueTooLong(RequestState request, Endpoint endpoint) {
    return ownQueueDelayMillis(endpoint) > MAX_OWN_QUEUE_SHARE * usefulTimeMillis(request);
  }

  private static double usefulTimeMillis(RequestState request) {
    return request.requestClass().latencyObjectiveMillis()
        * Math.max(MIN_PRIORITY_WEIGHT, request.priorityWeight);
  }

  /** The time that the queue there will take; 0 where nothing tells of one. */
  private double queueDelayMillis(Endpoint endpoint, double nowMillis) {
    MachineKind kind = machineKinds.get(endpoint.machineKind);
    double held = loadReports.heldRequestsByRecentReport(endpoint, nowMillis);
    return kind == null || held <= LoadReportEstimate.QUEUE_THRESHOLD
        ? 0
        : kind.millisPerHeldRequest * (held + 1);
  }

  /** The time that our own requests there will take by themselves. */
  private double ownQueueDelayMillis(Endpoint endpoint) {
    MachineKind kind = machineKinds.get(endpoint.machineKind);
    return kind == null || endpoint.inFlight < LoadReportEstimate.QUEUE_THRESHOLD / 2
        ? 0
        : kind.millisPerHeldRequest * (endpoint.inFlight + 1);
  }
}
