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
  private static final int MOST_ATTEMPTS = 3;

  /** Silence counts from this share of the time on: timers come due a little early. */
  private static final double SILENT_FROM_SHARE = 0.99;

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
    double dueMillis =
        request.latency.overdueAfterMillis()
            * Math.max(1, responseTimes.slowness(endpoint, nowMillis));
    boolean hedged =
        request.mayRunTwice()
            && nowMillis + dueMillis < request.deadlineMillis
            && request.attempts.size() < MOST_ATTEMPTS;
    return hedged ? dueMillis : Double.POSITIVE_INFINITY;
  }

  /** What to do about the last attempt, now overdue; HEDGE takes a retry from the budget. */
  Decision decide(RequestState request, double nowMillis) {
    AttemptState last = request.lastAttempt();
    double allowedMillis = SILENT_FROM_SHARE * request.latency.overdueAfterMillis();
    if (!request.hasTimeForAttempt(nowMillis)
        || pressure.shedding(nowMillis)
        || !pendingResponses.isSilent(last.endpoint, allowedMillis, nowMillis)) {
      return Decision.WAIT;
    }
    Settings.Limits limits = settings.now().limits();
    if (limits.parallelTries()) {
      return budget.take() ? Decision.HEDGE : Decision.WAIT;
    }
    return limits.cancel() && !last.cancelled ? Decision.CANCEL : Decision.WAIT;
  }
}
