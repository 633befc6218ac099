package leadferry.loadbalancer;

/**
 * Requests that an endpoint counts as holding beside its real ones, for its recent failures: an
 * endpoint that fails fast is empty, and must not attract requests by that.
 */
final class FailurePenalty {
  /** What one failure adds, in requests. */
  private static final double REQUESTS_PER_FAILURE = 2;

  /** Time constant at which the penalty fades. */
  private static final double DECAY_OBJECTIVES = 5;

  /** A penalty below this counts as none. */
  private static final double MIN_REQUESTS = 0.05;

  private final LiveSettings settings;

  FailurePenalty(LiveSettings settings) {
    this.settings = settings;
  }

  /** The endpoint has failed, or turned a request away. */
  void onFailure(Endpoint endpoint, double nowMillis) {
    endpoint.penaltyRequests = penaltyRequests(endpoint, nowMillis) + REQUESTS_PER_FAILURE;
    endpoint.penaltyAtMillis = nowMillis;
  }

  /** Takes the endpoint's penalty off. */
  void clear(Endpoint endpoint) {
    endpoint.penaltyRequests = 0;
  }

  /** The penalty, in requests. */
  double penaltyRequests(Endpoint endpoint, double nowMillis) {
    return endpoint.penaltyRequests < MIN_REQUESTS
        ? 0
        : endpoint.penaltyRequests
            * Math.exp(
                -(nowMillis - endpoint.penaltyAtMillis)
                    / (settings.shortestObjectiveMillis() * DECAY_OBJECTIVES));
  }
}
