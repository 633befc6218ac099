package leadferry.loadbalancer;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Chooses the endpoint of an attempt by the power of d choices (Mitzenmacher, 2001): of {@value
 * #CHOICES} usable endpoints drawn from the subset, the one with the fewest of this proxy's
 * requests in flight is chosen. Equal counts are decided by the expected wait, and equal waits at
 * random. If no endpoint is drawn, any endpoint that may get the request is chosen, healthy ones
 * first (panic mode).
 */
final class EndpointPicker {
  /**
   * Number of candidates. Two suffice for busy proxies, but the counts of a light proxy often tie.
   * Many more would cause herding.
   */
  static final int CHOICES = 5;

  /**
   * Maximum number of draws for the candidates, because draws may repeat an endpoint or hit an
   * unusable one.
   */
  private static final int MAX_DRAWS = 4 * CHOICES;

  /**
   * One pick in this many ignores open connections. Otherwise, an endpoint without a connection
   * would never be measured.
   */
  private static final int EXPLORE_INTERVAL = 4;

  /** Request counts that differ by no more than this number count as equal. */
  private static final double COUNT_TIE_MARGIN = 0.5;

  /**
   * Expected waits that differ by no more than this share count as equal. The endpoint is then
   * chosen at random, which avoids herding.
   */
  private static final double WAIT_TIE_SHARE = 0.1;

  /**
   * Number of requests that an endpoint is assumed to serve without a queue. It is added to the
   * held requests of each endpoint when expected waits are compared.
   */
  private static final double BASE_HELD_REQUESTS = 4;

  private final LiveSettings settings;
  private final EndpointTable endpoints;
  private final EndpointSubset subset;
  private final IdempotencyPolicy idempotencyPolicy;
  private final OutlierDetector outlierDetector;
  private final ClassEjections classEjections;
  private final SlowStartBudget slowStartBudget;
  private final FailurePenalty failurePenalty;
  private final PressureEstimate pressure;
  private final ResponseTimeEstimate responseTimes;
  private final LoadReportEstimate loadReports;
  private final QueueDelayEstimate queueDelay;
  private final SplittableRandom random;

  private final List<Endpoint> candidates = new ArrayList<>();
  private Endpoint best;
  private double bestCount;
  private double bestWait;
  private int tieCount;
  private boolean prefersOpenConnections;

  EndpointPicker(
      LoadBalancerContext context,
      IdempotencyPolicy idempotencyPolicy,
      OutlierDetector outlierDetector,
      ClassEjections classEjections,
      SlowStartBudget slowStartBudget) {
    this.settings = context.settings;
    this.endpoints = context.endpoints;
    this.subset = new EndpointSubset(context);
    this.idempotencyPolicy = idempotencyPolicy;
    this.outlierDetector = outlierDetector;
    this.classEjections = classEjections;
    this.slowStartBudget = slowStartBudget;
    this.failurePenalty = context.penalty;
    this.pressure = context.pressure;
    this.responseTimes = context.responseTimes;
    this.loadReports = context.loadReports;
    this.queueDelay = context.queueDelay;
    this.random = context.random;
  }

  /**
   * Returns the endpoint for the next attempt of the request, or null if no endpoint may or should
   * get it.
   */
  Endpoint pick(RequestState request, double nowMillis) {
    drawCandidates(request, nowMillis);
    prefersOpenConnections = random.nextInt(EXPLORE_INTERVAL) > 0;
    best = null;
    for (int i = 0; i < candidates.size(); i++) {
      // Prefers other candidates over a slow or silent endpoint whose queue of this proxy's own
      // requests is too long.
      if (!queueDelay.isOwnQueueTooLong(request, candidates.get(i))) {
        compare(candidates.get(i), nowMillis);
      }
    }
    if (best == null) {
      for (int i = 0; i < candidates.size(); i++) {
        compare(candidates.get(i), nowMillis);
      }
    }
    return best != null ? best : pickInPanic(request, nowMillis);
  }

  private void drawCandidates(RequestState request, double nowMillis) {
    subset.refresh(nowMillis);
    candidates.clear();
    Endpoint[] sameZone = subset.sameZone();
    boolean isTrial = draw(sameZone, sameZone.length, request, nowMillis);
    if (!isTrial && (candidates.isEmpty() || pressure.shouldSpillToOtherZones(nowMillis))) {
      draw(subset.otherZones(), endpoints.readyEndpoints().size(), request, nowMillis);
    }
  }

  /**
   * Adds usable endpoints of the pool to the candidates. Returns true if one of them is half-open
   * and due for a trial request; that endpoint is then the only candidate.
   */
  private boolean draw(Endpoint[] pool, int endpointCount, RequestState request, double nowMillis) {
    int foundCount = 0;
    for (int i = 0; i < MAX_DRAWS && foundCount < CHOICES && pool.length > 0; i++) {
      Endpoint endpoint = pool[random.nextInt(pool.length)];
      if (candidates.contains(endpoint) || !isUsable(endpoint, endpointCount, request, nowMillis)) {
        continue;
      }
      if (endpoint.ejection.isHalfOpen && request.isRepeatable()) {
        // The only candidate: an ejected endpoint that lost every comparison would stay ejected
        // forever.
        candidates.clear();
        candidates.add(endpoint);
        return true;
      }
      foundCount++;
      candidates.add(endpoint);
    }
    return false;
  }

  private boolean isUsable(
      Endpoint endpoint, int endpointCount, RequestState request, double nowMillis) {
    return idempotencyPolicy.canSend(request, endpoint, nowMillis)
        && !request.hasTried(endpoint)
        && outlierDetector.isAvailable(endpoint, request.silentAfterMillis(), nowMillis)
        && classEjections.isAvailable(endpoint, request.requestClass(), nowMillis)
        && slowStartBudget.canSend(endpoint, endpointCount, nowMillis);
  }

  private void compare(Endpoint endpoint, double nowMillis) {
    double count = endpoint.inFlight + failurePenalty.penaltyRequests(endpoint, nowMillis);
    double wait = expectedRelativeWait(endpoint, nowMillis);
    boolean isBetter;
    if (best == null || count < bestCount - COUNT_TIE_MARGIN) {
      isBetter = true;
      tieCount = 1;
    } else if (count > bestCount + COUNT_TIE_MARGIN) {
      isBetter = false;
    } else if (Math.abs(wait - bestWait) <= WAIT_TIE_SHARE * bestWait) {
      tieCount++;
      isBetter = random.nextInt(tieCount) == 0;
    } else {
      isBetter = wait < bestWait;
    }
    if (isBetter) {
      best = endpoint;
      bestCount = count;
      bestWait = wait;
    }
  }

  /**
   * Returns the expected wait at the endpoint as a relative figure for comparisons: the slowness of
   * the endpoint times the number of requests that it holds, to which {@link #BASE_HELD_REQUESTS}
   * and one for a new connection are added. If no endpoint reports load, the figure is the slowness
   * alone.
   */
  private double expectedRelativeWait(Endpoint endpoint, double nowMillis) {
    double slowness = responseTimes.slowness(endpoint, nowMillis);
    if (!loadReports.hasReports()) {
      return slowness;
    }
    // A new connection costs the endpoint work and one of its few connection slots, so it counts
    // as one more request.
    boolean needsConnection =
        endpoint.inFlight > 0
            || nowMillis - endpoint.lastResponseMillis >= settings.idleTimeoutMillis();
    int newConnections = prefersOpenConnections && needsConnection ? 1 : 0;
    return slowness
        * (BASE_HELD_REQUESTS + loadReports.heldRequests(endpoint, nowMillis) + newConnections);
  }

  private Endpoint pickInPanic(RequestState request, double nowMillis) {
    List<Endpoint> all = endpoints.readyEndpoints();
    int count = all.size();
    int start = count == 0 ? 0 : random.nextInt(count);
    Endpoint lastResort = null;
    for (int i = 0; i < count; i++) {
      Endpoint endpoint = all.get((start + i) % count);
      if (!idempotencyPolicy.canSend(request, endpoint, nowMillis)
          || !slowStartBudget.canSend(endpoint, count, nowMillis)) {
        continue;
      }
      if (outlierDetector.isAvailable(endpoint, request.silentAfterMillis(), nowMillis)
          && !request.hasTried(endpoint)) {
        return endpoint;
      }
      if (request.attempts.isEmpty()
          && (lastResort == null || endpoint.inFlight < lastResort.inFlight)) {
        lastResort = endpoint;
      }
    }
    return lastResort;
  }
}
