package leadferry.loadbalancer;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long the queue at an endpoint would delay a request, and whether the response would
 * still be useful. The delay is the number of requests that the endpoint holds, including the new
 * one, times the time per held request, which is learned for each kind of machine. The useful time
 * of a request is its latency objective times its priority weight.
 */
final class QueueDelayEstimate {
  /** Maximum delay of a queue that a request may join, as a share of the request's useful time. */
  private static final double MAX_QUEUE_SHARE = 0.7;

  /**
   * Maximum delay by only this proxy's own requests, as a share of the request's useful time. The
   * number of these requests is known exactly.
   */
  private static final double MAX_OWN_QUEUE_SHARE = 0.45;

  /**
   * Lower bound of the priority weight in the useful time. Requests of a tenant far over its quota
   * may thus join a queue of this share of the usual length.
   */
  private static final double MIN_PRIORITY_WEIGHT = 0.4;

  /**
   * Minimum step by which a response moves the median time per held request, as a share of the
   * median.
   */
  private static final double MIN_STEP_SHARE = 0.01;

  /**
   * Number of assumed earlier responses. The first responses move the median more than later ones.
   */
  private static final int PRIOR_SAMPLES = 4;

  /** Estimate for one kind of machine. */
  private static final class MachineKind {
    int sampleCount;
    double millisPerHeldRequest;
  }

  private final LoadReportEstimate loadReports;
  private final Map<String, MachineKind> machineKinds = new HashMap<>();

  QueueDelayEstimate(LoadReportEstimate loadReports) {
    this.loadReports = loadReports;
  }

  /**
   * Records a response that took {@code spentMillis}. Just before its attempt was sent, {@code
   * ownInFlightAtSend} requests of this proxy were in flight at the endpoint.
   */
  void onResponse(Endpoint endpoint, int ownInFlightAtSend, double spentMillis) {
    double heldRequests = ownInFlightAtSend + endpoint.othersInFlight;
    if (heldRequests < LoadReportEstimate.QUEUE_THRESHOLD) {
      return;
    }
    MachineKind machineKind =
        machineKinds.computeIfAbsent(endpoint.machineKind, name -> new MachineKind());
    double millisPerHeldRequest = spentMillis / (heldRequests + 1);
    // Uses the median, because a few heavy requests do not predict the time of the next one.
    machineKind.sampleCount++;
    double step = Math.max(MIN_STEP_SHARE, 1.0 / (machineKind.sampleCount + PRIOR_SAMPLES));
    if (machineKind.millisPerHeldRequest == 0) {
      machineKind.millisPerHeldRequest = millisPerHeldRequest;
    } else {
      machineKind.millisPerHeldRequest *=
          millisPerHeldRequest > machineKind.millisPerHeldRequest ? 1 + step : 1 - step;
    }
  }

  /**
   * Returns whether the queue at the endpoint would delay the request too long for its response to
   * be useful.
   */
  boolean isQueueTooLong(RequestState request, Endpoint endpoint, double nowMillis) {
    return isOwnQueueTooLong(request, endpoint)
        || queueDelayMillis(endpoint, nowMillis) > MAX_QUEUE_SHARE * usefulTimeMillis(request);
  }

  /**
   * Returns whether this proxy's own requests at the endpoint would alone delay the request too
   * long.
   */
  boolean isOwnQueueTooLong(RequestState request, Endpoint endpoint) {
    return ownQueueDelayMillis(endpoint) > MAX_OWN_QUEUE_SHARE * usefulTimeMillis(request);
  }

  private static double usefulTimeMillis(RequestState request) {
    return request.requestClass().latencyObjectiveMillis()
        * Math.max(MIN_PRIORITY_WEIGHT, request.priorityWeight);
  }

  /**
   * Returns the expected delay by the queue at the endpoint in milliseconds; 0 if no queue is
   * known.
   */
  private double queueDelayMillis(Endpoint endpoint, double nowMillis) {
    MachineKind machineKind = machineKinds.get(endpoint.machineKind);
    double heldRequests = loadReports.heldRequestsByRecentReport(endpoint, nowMillis);
    return machineKind == null || heldRequests <= LoadReportEstimate.QUEUE_THRESHOLD
        ? 0
        : machineKind.millisPerHeldRequest * (heldRequests + 1);
  }

  /**
   * Returns the expected delay by this proxy's own requests at the endpoint in milliseconds; 0 if
   * there are few such requests or no time per held request has been learned.
   */
  private double ownQueueDelayMillis(Endpoint endpoint) {
    MachineKind machineKind = machineKinds.get(endpoint.machineKind);
    return machineKind == null || endpoint.inFlight < LoadReportEstimate.QUEUE_THRESHOLD / 2
        ? 0
        : machineKind.millisPerHeldRequest * (endpoint.inFlight + 1);
  }
}
