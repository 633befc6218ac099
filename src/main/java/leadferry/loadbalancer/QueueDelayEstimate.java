package leadferry.loadbalancer;

import java.util.HashMap;
import java.util.Map;

/**
 * How long the queue at an endpoint takes, and whether that is too long for a request to be useful.
 * Learnt for each kind of machine as milliseconds per request held.
 */
final class QueueDelayEstimate {
  /** A queue that takes more than this share of a request's useful time is too long to join. */
  private static final double TOO_LONG_AIM_SHARE = 0.7;

  /** The same for a queue of our own requests alone, whose length needs no guess. */
  private static final double OWN_TOO_LONG_AIM_SHARE = 0.45;

  /** The least share of the allowed queue left to a tenant far over its quota. */
  private static final double LEAST_PRIORITY_WEIGHT = 0.4;

  /** Share by which each response moves the median of the time per request held. */
  private static final double LEAST_STEP_SHARE = 0.01;

  /** The first responses move it more. */
  private static final int PRIOR_SAMPLES = 4;

  /** What is known of a kind of machine. */
  private static final class Kind {
    int samples;
    double millisPerHeld;
  }

  private final LoadReportEstimate loadReports;
  private final Map<String, Kind> kinds = new HashMap<>();

  QueueDelayEstimate(LoadReportEstimate loadReports) {
    this.loadReports = loadReports;
  }

  /** A response has come after so long, with {@code ownBefore} of ours in flight there before. */
  void onResponse(Endpoint endpoint, int ownBefore, double spentMillis) {
    double held = ownBefore + endpoint.othersInFlight;
    if (held < LoadReportEstimate.QUEUE_FROM) {
      return;
    }
    Kind kind = kinds.computeIfAbsent(endpoint.kind, name -> new Kind());
    double perHeld = spentMillis / (held + 1);
    // The median: a few heavy requests say nothing of how long the next one will take.
    kind.samples++;
    double step = Math.max(LEAST_STEP_SHARE, 1.0 / (kind.samples + PRIOR_SAMPLES));
    if (kind.millisPerHeld == 0) {
      kind.millisPerHeld = perHeld;
    } else {
      kind.millisPerHeld *= perHeld > kind.millisPerHeld ? 1 + step : 1 - step;
    }
  }

  /** Whether the queue at the endpoint can't be through while the request is useful. */
  boolean isTooLong(RequestState request, Endpoint endpoint, double nowMillis) {
    return isOwnTooLong(request, endpoint)
        || totalMillis(endpoint, nowMillis) > TOO_LONG_AIM_SHARE * usefulMillis(request);
  }

  /** Whether our own requests at the endpoint alone are such a queue. */
  boolean isOwnTooLong(RequestState request, Endpoint endpoint) {
    return ownMillis(endpoint) > OWN_TOO_LONG_AIM_SHARE * usefulMillis(request);
  }

  private static double usefulMillis(RequestState request) {
    return request.rules().aim() * Math.max(LEAST_PRIORITY_WEIGHT, request.priorityWeight);
  }

  /** The time that the queue there will take; 0 where nothing tells of one. */
  private double totalMillis(Endpoint endpoint, double nowMillis) {
    Kind kind = kinds.get(endpoint.kind);
    double held = loadReports.heldByRecentReport(endpoint, nowMillis);
    return kind == null || held <= LoadReportEstimate.QUEUE_FROM
        ? 0
        : kind.millisPerHeld * (held + 1);
  }

  /** The time that our own requests there will take by themselves. */
  private double ownMillis(Endpoint endpoint) {
    Kind kind = kinds.get(endpoint.kind);
    return kind == null || endpoint.inFlight < LoadReportEstimate.QUEUE_FROM / 2
        ? 0
        : kind.millisPerHeld * (endpoint.inFlight + 1);
  }
}
