package leadferry.loadbalancer;

/**
 * What about an attempt that is overdue? Where attempts may run in parallel it is hedged: a second
 * one goes out. Where only one may be out at a time, it is cancelled, so that it can be retried.
 *
 * <p>Guards against copies of costly requests that feed an overload: only an endpoint that is
 * silent altogether earns its request a second attempt, and only while no load is shed.
 */
final class HedgingPolicy {
  /** What is done about an overdue attempt. */
  enum Decision {
    WAIT,
    HEDGE,
    CANCEL
  }

  /** After so many attempts a request is not hedged any more. */
  private static final int MAX_ATTEMPTS = 3;

  /** Silence counts from this share of the time on: timers come due a little early. */
  private static final double SILENCE_SHARE = 0.99;

  private final LiveSettings settings;
  private final PressureEstimate pressure;
  private final RetryBudget budget;
  private final PendingResponseTracker pendingResponses;
  private final ResponseTimeEstimate responseTimes;

  HedgingPolicy(LoadBalancerContext context, RetryBudget budget) {
    this.settings = context.settings;
    this.pressure = context.pressure;
    this.budget = budget;
    this.pendingResponses = context.pendingResponses;
    this.responseTimes = context.responseTimes;
  }

  /**
   * Milliseconds after which the attempt just begun at the endpoint is overdue; infinite where it
   * will not be hedged.
   */
  double overdueAfterMillis(RequestState request, Endpoint endpoint, double nowMillis) {
    double overdueMillis =
        request.latencyEstimate.overdueAfterMillis()
            * Math.max(1, responseTimes.slowness(endpoint, nowMillis));
    boolean isHedged =
        request.isRepeatable()
            && nowMillis + overdueMillis < request.deadlineMillis
            && request.attempts.size() < MAX_ATTEMPTS;
    return isHedged ? overdueMillis : Double.POSITIVE_INFINITY;
  }

  /** What to do about the last attempt, now overdue; HEDGE takes a retry from the budget. */
  Decision decide(RequestState request, double nowMillis) {
    AttemptState last = request.lastAttempt();
    double allowedMillis = SILENCE_SHARE * request.latencyEstimate.overdueAfterMillis();
    if (!request.hasTimeForAttempt(nowMillis)
        || pressure.isShedding(nowMillis)
        || !pendingResponses.isSilent(last.endpoint, allowedMillis, nowMillis)) {
      return Decision.WAIT;
    }
    Settings.Limits limits = settings.current().limits();
    if (limits.canRunParallelAttempts()) {
      return budget.tryAcquire() ? Decision.HEDGE : Decision.WAIT;
    }
    return limits.canCancel() && !last.isCancelled ? Decision.CANCEL : Decision.WAIT;
  }
}
