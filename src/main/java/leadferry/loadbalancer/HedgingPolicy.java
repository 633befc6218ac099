package leadferry.loadbalancer;

/**
 * Decides what to do with an overdue attempt. If attempts may run in parallel, the request is
 * hedged with a second attempt. If only one attempt may be open at a time, the attempt is
 * cancelled, so that the request can be retried.
 *
 * <p>Guards against copies of costly requests that add to an overload: a request is only hedged if
 * its endpoint sends no responses at all, and only while no load is shed.
 */
final class HedgingPolicy {
  /** What to do with an overdue attempt. */
  enum Decision {
    WAIT,
    HEDGE,
    CANCEL
  }

  /** Number of attempts after which a request is no longer hedged. */
  private static final int MAX_ATTEMPTS = 3;

  /**
   * Share of the overdue time for which an endpoint must have sent no response to count as silent.
   * It is below 1 because timers fire a little early.
   */
  private static final double SILENCE_SHARE = 0.99;

  private final LiveSettings settings;
  private final PressureEstimate pressure;
  private final RetryBudget retryBudget;
  private final PendingResponseTracker pendingResponses;
  private final ResponseTimeEstimate responseTimes;

  HedgingPolicy(LoadBalancerContext context, RetryBudget retryBudget) {
    this.settings = context.settings;
    this.pressure = context.pressure;
    this.retryBudget = retryBudget;
    this.pendingResponses = context.pendingResponses;
    this.responseTimes = context.responseTimes;
  }

  /**
   * Returns the time in milliseconds after which the attempt just sent to the endpoint is overdue;
   * infinity if it will not be hedged.
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

  /**
   * Returns what to do with the last attempt, which is overdue. HEDGE takes a token from the retry
   * budget.
   */
  Decision decide(RequestState request, double nowMillis) {
    AttemptState lastAttempt = request.lastAttempt();
    double allowedSilenceMillis = SILENCE_SHARE * request.latencyEstimate.overdueAfterMillis();
    if (!request.hasTimeForAttempt(nowMillis)
        || pressure.isShedding(nowMillis)
        || !pendingResponses.isSilent(lastAttempt.endpoint, allowedSilenceMillis, nowMillis)) {
      return Decision.WAIT;
    }
    Settings.Limits limits = settings.current().limits();
    if (request.policy.canRunParallelAttempts(limits)) {
      return retryBudget.tryAcquire() ? Decision.HEDGE : Decision.WAIT;
    }
    return limits.canCancel() && !lastAttempt.isCancelled ? Decision.CANCEL : Decision.WAIT;
  }
}
