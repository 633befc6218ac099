package leadferry.loadbalancer;

/**
 * Updates the estimates with the outcome of an attempt. The response time of an endpoint excludes
 * the time for which its response was unread in this process. Pressure includes that time, because
 * this process may itself be the bottleneck.
 */
final class OutcomeObserver {
  /**
   * Response time, in latency objectives of the request class, that a rejection by a full endpoint
   * contributes to the pressure.
   */
  private static final double FULL_PRESSURE_OBJECTIVES = 2;

  private final PendingResponseTracker pendingResponses;
  private final OutlierDetector outlierDetector;
  private final ClassEjections classEjections;
  private final ArrivalRate arrivals;
  private final PressureEstimate pressure;
  private final ResponseTimeEstimate responseTimes;
  private final LoadReportEstimate loadReports;
  private final QueueDelayEstimate queueDelay;
  private final LoadBalancerActions actions;

  OutcomeObserver(
      LoadBalancerContext context, OutlierDetector outlierDetector, ClassEjections classEjections) {
    this.pendingResponses = context.pendingResponses;
    this.outlierDetector = outlierDetector;
    this.classEjections = classEjections;
    this.arrivals = context.arrivals;
    this.pressure = context.pressure;
    this.responseTimes = context.responseTimes;
    this.loadReports = context.loadReports;
    this.queueDelay = context.queueDelay;
    this.actions = context.actions;
  }

  /** Records the end of an attempt, or the start of its response, after {@code elapsedMillis}. */
  void onOutcome(
      AttemptState attempt, AttemptOutcome outcome, double elapsedMillis, double nowMillis) {
    if (attempt.request.streamingAttempt == attempt && outcome == AttemptOutcome.CANCELLED) {
      return; // the attempt depended on its client's reading speed
    }
    // The response may have been unread in this process for a while.
    double spentMillis = Math.max(0, elapsedMillis - pendingResponses.readLagMillis(nowMillis));
    arrivals.onOutcome(outcome == AttemptOutcome.OK);
    switch (outcome) {
      case OK -> onSuccess(attempt, spentMillis, nowMillis);
      case ERROR -> onError(attempt, nowMillis);
      case FULL -> onFull(attempt, nowMillis);
      case TIMEOUT -> onTimeout(attempt, spentMillis, nowMillis);
      case RESET -> outlierDetector.onFailure(attempt.endpoint, nowMillis);
      case CONNECT_FAILED -> onNoResponse(attempt, nowMillis);
      case CANCELLED -> onCancelled(attempt, nowMillis);
      case MOOT -> {} // the endpoint was not involved
    }
  }

  private void onSuccess(AttemptState attempt, double spentMillis, double nowMillis) {
    RequestState request = attempt.request;
    Endpoint endpoint = attempt.endpoint;
    pendingResponses.onResponse(endpoint, nowMillis);
    outlierDetector.onSuccess(endpoint);
    classEjections.onSuccess(endpoint, request.requestClass(), nowMillis);
    if (request.isStreaming()) {
      return; // the response time was recorded at the first byte
    }
    double meanMillis = request.latencyEstimate.meanMillis();
    request.latencyEstimate.onResponse(spentMillis);
    responseTimes.onResponse(endpoint, spentMillis, meanMillis, nowMillis);
    queueDelay.onResponse(endpoint, attempt.ownInFlightAtSend, spentMillis);
    addPressure(request, spentMillis, nowMillis);
  }

  private void onError(AttemptState attempt, double nowMillis) {
    pendingResponses.onResponse(attempt.endpoint, nowMillis);
    outlierDetector.onFailure(attempt.endpoint, nowMillis);
  }

  // Guards against an overload that spreads: a full endpoint is busy, not broken, and counts as
  // the highest pressure.
  private void onFull(AttemptState attempt, double nowMillis) {
    Endpoint endpoint = attempt.endpoint;
    Settings.RequestClass requestClass = attempt.request.requestClass();
    pendingResponses.onResponse(endpoint, nowMillis);
    if (loadReports.isIdle(endpoint, nowMillis)) {
      classEjections.eject(endpoint, requestClass, nowMillis);
    } else {
      outlierDetector.onOverloaded(endpoint, nowMillis);
      pressure.onResponse(
          FULL_PRESSURE_OBJECTIVES * requestClass.latencyObjectiveMillis(),
          requestClass.latencyObjectiveMillis(),
          nowMillis);
    }
  }

  private void onTimeout(AttemptState attempt, double spentMillis, double nowMillis) {
    RequestState request = attempt.request;
    Endpoint endpoint = attempt.endpoint;
    // Guards against lost responses that look like an overload.
    boolean hasRoom = loadReports.hasRoom(endpoint, nowMillis);
    if (!request.isStreaming() && !hasRoom) {
      addPressure(request, spentMillis, nowMillis);
    }
    // An endpoint that has responded to other requests since is busy or lost this response. A
    // silent endpoint is broken.
    if (endpoint.lastResponseMillis <= attempt.sentAtMillis) {
      onNoResponse(attempt, nowMillis);
      if (hasRoom) {
        classEjections.eject(endpoint, request.requestClass(), nowMillis);
      }
    }
  }

  // Guards against a silent endpoint that goes undetected because clients disconnect before the
  // timeout.
  private void onCancelled(AttemptState attempt, double nowMillis) {
    double allowedSilenceMillis = attempt.request.silentAfterMillis();
    if (pendingResponses.isUnresponsive(attempt.endpoint, allowedSilenceMillis, nowMillis)) {
      onNoResponse(attempt, nowMillis);
    }
  }

  private void onNoResponse(AttemptState attempt, double nowMillis) {
    outlierDetector.onFailure(attempt.endpoint, nowMillis);
    actions.onNoResponse(attempt.endpoint.id, nowMillis, attempt.sentAtMillis);
  }

  private void addPressure(RequestState request, double spentMillis, double nowMillis) {
    double elapsedMillis = spentMillis + pendingResponses.readLagMillis(nowMillis);
    pressure.onResponse(elapsedMillis, request.requestClass().latencyObjectiveMillis(), nowMillis);
  }
}
