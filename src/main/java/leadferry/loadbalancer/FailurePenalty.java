package leadferry.loadbalancer;

/**
 * Computes the penalty of an endpoint for its recent failures: a number of requests that is added
 * to its in-flight count when endpoints are compared. An endpoint that fails fast holds few
 * requests and must not attract more for that reason.
 */
final class FailurePenalty {
  /** Penalty of one failure, in requests. */
  private static final double REQUESTS_PER_FAILURE = 2;

  /** Time constant of the decay of the penalty, in shortest latency objectives. */
  private static final double DECAY_OBJECTIVES = 5;

  /**
   * A penalty recorded below this number of requests counts as 0. The decay since the record is not
   * considered.
   */
  private static final double MIN_REQUESTS = 0.05;

  private final LiveSettings settings;

  FailurePenalty(LiveSettings settings) {
    this.settings = settings;
  }

  /** Records that the endpoint failed or rejected a request. */
  void onFailure(Endpoint endpoint, double nowMillis) {
    endpoint.penaltyRequests = penaltyRequests(endpoint, nowMillis) + REQUESTS_PER_FAILURE;
    endpoint.penaltyAtMillis = nowMillis;
  }

  /** Resets the penalty of the endpoint. */
  void clear(Endpoint endpoint) {
    endpoint.penaltyRequests = 0;
  }

  /** Returns the current penalty, in requests. */
  double penaltyRequests(Endpoint endpoint, double nowMillis) {
    return endpoint.penaltyRequests < MIN_REQUESTS
        ? 0
        : endpoint.penaltyRequests
            * Math.exp(
                -(nowMillis - endpoint.penaltyAtMillis)
                    / (settings.shortestObjectiveMillis() * DECAY_OBJECTIVES));
  }
}
