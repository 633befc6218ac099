package leadferry.loadbalancer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Makes the load-balancing decisions of one client proxy. The caller passes in events with the time
 * in milliseconds, which must never decrease. The load balancer responds by calling {@link
 * LoadBalancerActions}. Not thread-safe.
 *
 * <p>This class keeps the open requests and delegates each decision to one class:
 *
 * <pre>
 *   admit or shed a new request           AdmissionController
 *   choose an endpoint                    EndpointPicker
 *   permit a send or a repeated send      IdempotencyPolicy
 *   retry or hedge                        RetryPolicy, HedgingPolicy
 *   reject or fail a request              TerminationPolicy
 *   update estimates after an outcome     OutcomeObserver
 * </pre>
 */
public final class LoadBalancer {
  /** Token of the discovery timer. Other tokens are request ids. */
  private static final long DISCOVERY_TIMER = -1;

  private final LiveSettings settings;
  private final LoadBalancerActions actions;
  private final EndpointTable endpoints;
  private final PendingResponseTracker pendingResponses;
  private final LoadReportEstimate loadReports;
  private final InFlightPeak inFlight;
  private final SplittableRandom random;
  private final Map<String, RequestPolicy> policies = new HashMap<>();
  private final Map<String, LatencyEstimate> latencyEstimates = new HashMap<>();
  private final Map<Long, RequestState> requests = new HashMap<>();

  private final TenantQuotas tenantQuotas;
  private final AdmissionController admissionController;
  private final OutlierDetector outlierDetector;
  private final ClassEjections classEjections;
  private final SlowStartBudget slowStartBudget;
  private final EndpointPicker picker;
  private final RetryBudget retryBudget;
  private final RetryPolicy retryPolicy;
  private final HedgingPolicy hedgingPolicy;
  private final TerminationPolicy terminationPolicy;
  private final OutcomeObserver outcomeObserver;
  private final WatchBackoff watchBackoff;

  /** Creates a load balancer without endpoints. */
  public LoadBalancer(Settings settings, long seed, LoadBalancerActions actions) {
    LoadBalancerContext context = new LoadBalancerContext(settings, seed, actions);
    this.settings = context.settings;
    this.actions = actions;
    this.endpoints = context.endpoints;
    this.pendingResponses = context.pendingResponses;
    this.loadReports = context.loadReports;
    this.inFlight = context.inFlight;
    this.random = context.random;

    this.tenantQuotas = new TenantQuotas(this.settings);
    this.admissionController = new AdmissionController(context, tenantQuotas);
    this.outlierDetector = new OutlierDetector(context);
    this.classEjections = new ClassEjections(context);
    this.slowStartBudget = new SlowStartBudget(context);
    IdempotencyPolicy idempotencyPolicy = new IdempotencyPolicy(this.settings);
    this.picker =
        new EndpointPicker(
            context, idempotencyPolicy, outlierDetector, classEjections, slowStartBudget);
    this.retryBudget = new RetryBudget();
    this.retryPolicy = new RetryPolicy(context, retryBudget);
    this.hedgingPolicy = new HedgingPolicy(context, retryBudget);
    this.terminationPolicy = new TerminationPolicy(context, idempotencyPolicy);
    this.outcomeObserver = new OutcomeObserver(context, outlierDetector, classEjections);
    this.watchBackoff = new WatchBackoff(context);
    onSettings(settings);
  }

  /**
   * Replaces the settings. A request keeps the policy with which it arrived; the limits on its
   * attempts are the stricter ones of its policy and of the new settings.
   */
  public void onSettings(Settings newSettings) {
    settings.set(newSettings);
    tenantQuotas.onSettings();
    policies.clear();
    policies.putAll(newSettings.policies());
    latencyEstimates.keySet().retainAll(policies.keySet());
  }

  /**
   * Starts the load balancer. Must be called once after creation, when actions can be carried out.
   */
  public void onStart(double nowMillis) {
    if (settings.current().shouldWatchDiscovery()) {
      actions.watchEndpoints();
    }
  }

  /** Processes an endpoint list, changes to it, or a failure of discovery. */
  public void onEndpointList(
      double nowMillis, EndpointListEvent event, List<EndpointUpdate> updates) {
    endpoints.apply(event, updates, nowMillis, random);
    switch (event) {
      case FAILED -> {
        if (watchBackoff.shouldWait()) {
          actions.schedule(watchBackoff.startWaitMillis(), DISCOVERY_TIMER);
        }
      }
      case DELTA, FULL -> watchBackoff.reset();
      case CACHED -> {} // a cached list is no sign that discovery works
    }
  }

  /**
   * Records that all bytes received until {@code untilMillis} have been processed. Bytes received
   * later may still be unread in this process, so no endpoint is blamed for silence after that
   * time.
   */
  public void onReadUntil(double untilMillis) {
    pendingResponses.onReadUntil(untilMillis);
  }

  /** Admits a new client request and sends it, or rejects it. */
  public void onRequest(double nowMillis, RequestArrival arrival) {
    RequestState request =
        new RequestState(arrival, latencyEstimateOf(arrival.policy().requestClass()), nowMillis);
    requests.put(request.id, request);
    retryBudget.onRequest();
    admissionController.onArrival(request, arrival.tenant(), nowMillis);
    Endpoint endpoint = picker.pick(request, nowMillis);
    if (admissionController.shouldAdmit(request, endpoint, nowMillis)) {
      send(request, endpoint, nowMillis);
    } else {
      terminate(request, nowMillis);
    }
  }

  /**
   * Returns the policy of the class with this name under the settings in force. An unknown class is
   * treated as at-most-once, the strictest semantics, with {@code budgetMillis} of its first
   * request as its time limit.
   */
  public RequestPolicy policyOf(String className, double budgetMillis) {
    return policies.computeIfAbsent(
        className,
        name ->
            RequestPolicy.of(
                Settings.RequestClass.unknown(name, budgetMillis), settings.current().limits()));
  }

  private LatencyEstimate latencyEstimateOf(Settings.RequestClass requestClass) {
    return latencyEstimates.computeIfAbsent(
        requestClass.name(), name -> new LatencyEstimate(requestClass.latencyObjectiveMillis()));
  }

  /**
   * Processes the outcome of an attempt.
   *
   * @param spentMillis the time since the attempt was sent
   * @param isRequestOver whether the request is over with this outcome or was over before
   * @param report the load report that came with the response, or null
   */
  public void onOutcome(
      double nowMillis,
      long id,
      int attemptNumber,
      AttemptOutcome outcome,
      double spentMillis,
      boolean isRequestOver,
      LoadReport report) {
    RequestState request = requests.get(id);
    AttemptState attempt = request == null ? null : request.attempt(attemptNumber);
    if (attempt == null || !attempt.isOpen) {
      return;
    }
    loadReports.updateOwnPeak(attempt.endpoint, nowMillis);
    inFlight.onChange(-attempt.end(outcome), nowMillis);
    loadReports.onReport(attempt.endpoint, report, nowMillis);
    outcomeObserver.onOutcome(attempt, outcome, spentMillis, nowMillis);
    if (isRequestOver && !request.isEnded) {
      request.isEnded = true;
      cancelOthers(request, null);
    } else if (!request.isEnded && !request.isStreaming() && request.openAttempts == 0) {
      retryOrTerminate(request, nowMillis);
    }
    removeIfDone(request);
  }

  private void retryOrTerminate(RequestState request, double nowMillis) {
    Endpoint endpoint =
        retryPolicy.tryAcquireRetry(request, nowMillis) ? picker.pick(request, nowMillis) : null;
    if (endpoint != null) {
      send(request, endpoint, nowMillis);
    } else {
      terminate(request, nowMillis);
    }
  }

  /**
   * Processes the first byte of a streamed response. From then on, the duration of the attempt
   * depends on how fast the client reads.
   */
  public void onFirstByte(double nowMillis, long id, int attemptNumber, double spentMillis) {
    RequestState request = requests.get(id);
    AttemptState attempt = request == null ? null : request.attempt(attemptNumber);
    if (attempt == null || request.isEnded || request.isStreaming()) {
      return;
    }
    // Guards against clients that read long responses slowly and make their endpoints look busy.
    inFlight.onChange(-attempt.removeFromInFlight(), nowMillis);
    outcomeObserver.onOutcome(attempt, AttemptOutcome.OK, spentMillis, nowMillis);
    request.streamingAttempt = attempt;
    cancelOthers(request, attempt);
  }

  /** Ends a request whose client has disconnected. Open attempts still receive their outcome. */
  public void onClientDisconnect(double nowMillis, long id) {
    RequestState request = requests.get(id);
    if (request != null && !request.isEnded) {
      request.isEnded = true;
      cancelOthers(request, null);
      removeIfDone(request);
    }
  }

  /** Processes a load report that an endpoint sent outside of an attempt. */
  public void onLoadReport(double nowMillis, long endpoint, LoadReport report) {
    loadReports.onReport(endpoints.get(endpoint), report, nowMillis);
  }

  /**
   * Processes a hint from the gossip between proxies. The hint affects only the choice of
   * endpoints.
   *
   * @param ejectionMillis how long the silent endpoint should get no requests; 0 if the endpoint
   *     responds again
   */
  public void onGossip(double nowMillis, long id, double ejectionMillis) {
    Endpoint endpoint = endpoints.get(id);
    if (endpoint != null) {
      outlierDetector.onGossip(endpoint, ejectionMillis, nowMillis);
    }
  }

  /** Processes a timer that was scheduled with this token. */
  public void onTimer(double nowMillis, long token) {
    if (token == DISCOVERY_TIMER) {
      watchBackoff.onTimer();
      actions.watchEndpoints();
      return;
    }
    RequestState request = requests.get(token);
    if (request == null || request.isEnded || request.isStreaming() || request.openAttempts == 0) {
      return;
    }
    switch (hedgingPolicy.decide(request, nowMillis)) {
      case HEDGE -> {
        Endpoint endpoint = picker.pick(request, nowMillis);
        if (endpoint != null) {
          send(request, endpoint, nowMillis);
        }
      }
      case CANCEL -> cancel(request.lastAttempt());
      case WAIT -> {}
    }
  }

  private void send(RequestState request, Endpoint endpoint, double nowMillis) {
    request.startAttempt(endpoint, nowMillis);
    slowStartBudget.onSend(endpoint, nowMillis);
    loadReports.updateOwnPeak(endpoint, nowMillis);
    pendingResponses.onSend(endpoint, nowMillis);
    classEjections.onSend(endpoint, request.requestClass(), nowMillis);
    inFlight.onChange(1, nowMillis);
    actions.send(request.id, endpoint.id, IdempotencyPolicy.windowMillis(request.requestClass()));
    double overdueAfterMillis = hedgingPolicy.overdueAfterMillis(request, endpoint, nowMillis);
    if (overdueAfterMillis < Double.POSITIVE_INFINITY) {
      actions.schedule(overdueAfterMillis, request.id);
    }
  }

  private void terminate(RequestState request, double nowMillis) {
    terminationPolicy.terminate(request, nowMillis);
    removeIfDone(request);
  }

  /** Cancels the open attempts of the request except {@code kept}, which may be null. */
  private void cancelOthers(RequestState request, AttemptState kept) {
    if (request.openAttempts == 0 || !settings.current().limits().canCancel()) {
      return;
    }
    for (AttemptState attempt : request.attempts) {
      if (attempt.isOpen && attempt != kept && !attempt.isCancelled) {
        cancel(attempt);
      }
    }
  }

  private void cancel(AttemptState attempt) {
    attempt.isCancelled = true;
    actions.cancel(attempt.request.id, attempt.number);
  }

  private void removeIfDone(RequestState request) {
    if (request.isEnded && request.openAttempts == 0) {
      requests.remove(request.id);
    }
  }
}
