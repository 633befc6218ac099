package leadferry.loadbalancer;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long the queue at an endpoint takes, and whether that is too long for a request to
 * be useful. The time per held request is learned for each kind of machine.
 */
final class QueueDelayEstimate {
  /** Longest queue that a request may join, as a share of the request's useful time. */
  private static final double MAX_QUEUE_SHARE = 0.7;

  /**
   * Longest queue of only this proxy's requests, as a share of the request's useful time. The
   * length of this queue is known exactly.
   */
  private static final double MAX_OWN_QUEUE_SHARE = 0.45;

  /** Least share of the allowed queue for requests of a tenant far over its quota. */
  private static final double MIN_PRIORITY_WEIGHT = 0.4;

  /** Least share by which a response moves the median time per held request. */
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
   * Records a response after {@code spentMillis}, with {@code ownInFlightAtSend} requests of this
   * proxy in flight at the endpoint before the attempt.
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

  /** Returns whether the queue at the endpoint takes longer than the request is useful. */
  boolean isQueueTooLong(RequestState request, Endpoint endpoint, double nowMillis) {
    return isOwnQueueTooLong(request, endpoint)
        || queueDelayMillis(endpoint, nowMillis) > MAX_QUEUE_SHARE * usefulTimeMillis(request);
  }

  /** Returns whether the queue of only this proxy's requests at the endpoint takes too long. */
  boolean isOwnQueueTooLong(RequestState request, Endpoint endpoint) {
    return ownQueueDelayMillis(endpoint) > MAX_OWN_QUEUE_SHARE * usefulTimeMillis(request);
  }

  private static double usefulTimeMillis(RequestState request) {
    return request.requestClass().latencyObjectiveMillis()
        * Math.max(MIN_PRIORITY_WEIGHT, request.priorityWeight);
  }

  /**
   * Returns the expected time of the queue at the endpoint in milliseconds; 0 if no queue is known.
   */
  private double queueDelayMillis(Endpoint endpoint, double nowMillis) {
    MachineKind machineKind = machineKinds.get(endpoint.machineKind);
    double heldRequests = loadReports.heldRequestsByRecentReport(endpoint, nowMillis);
    return machineKind == null || heldRequests <= LoadReportEstimate.QUEUE_THRESHOLD
        ? 0
        : machineKind.millisPerHeldRequest * (heldRequests + 1);
  }

  /**
   * Returns the expected time of this proxy's own requests at the endpoint in milliseconds; 0 if
   * there are few or nothing has been learned.
   */
  private double ownQueueDelayMillis(Endpoint endpoint) {
    MachineKind machineKind = machineKinds.get(endpoint.machineKind);
    return machineKind == null || endpoint.inFlight < LoadReportEstimate.QUEUE_THRESHOLD / 2
        ? 0
        : machineKind.millisPerHeldRequest * (endpoint.inFlight + 1);
  }
}
