package leadferry.loadbalancer;

/**
 * May a request be sent, or rejected as one that had no effect? The only place that knows what may
 * have run.
 *
 * <p>Rule 1: nothing is sent after the final answer. Rule 2: no effect happens twice. An attempt
 * that may have run allows another one
 *
 * <ul>
 *   <li>of an idempotent class at any time,
 *   <li>of a deduplicated class within its window, at endpoints that share the memory of it,
 *   <li>of any other class never.
 * </ul>
 */
final class IdempotencyPolicy {
  /** Time kept back from a window, for clocks and queues on the way. */
  private static final double WINDOW_MARGIN_MILLIS = 20;

  private final LiveSettings settings;

  IdempotencyPolicy(LiveSettings settings) {
    this.settings = settings;
  }

  /** Whether another attempt of the request may go to the endpoint. */
  boolean canSend(RequestState request, Endpoint endpoint, double nowMillis) {
    return isAwaitingResponse(request)
        && endpoint.isReady
        && isWithinLimits(request, nowMillis)
        && isSafe(request, endpoint, nowMillis);
  }

  /** Whether the client may be told that trying again does no harm, wherever it tries. */
  boolean canReject(RequestState request, double nowMillis) {
    return isAwaitingResponse(request) && isSafe(request, null, nowMillis);
  }

  /**
   * How long after an attempt that may have run another one of the class may leave this process, in
   * milliseconds; never where it is not positive.
   */
  static double windowMillis(Settings.RequestClass rules) {
    return rules.repeatWindowMillis() - WINDOW_MARGIN_MILLIS;
  }

  private static boolean isAwaitingResponse(RequestState request) {
    return !request.isEnded && !request.isStreaming();
  }

  private boolean isWithinLimits(RequestState request, double nowMillis) {
    Settings.Limits limits = settings.current().limits();
    return request.attempts.size() < Math.min(request.maxAttempts, limits.maxAttempts())
        && (request.openAttempts == 0 || limits.canRunParallelAttempts())
        && nowMillis < request.deadlineMillis;
  }

  /** Whether no attempt so far forbids another at the endpoint, or with null, anywhere. */
  private static boolean isSafe(RequestState request, Endpoint endpoint, double nowMillis) {
    Settings.RequestClass rules = request.requestClass();
    if (rules.semantics() == Settings.Semantics.IDEMPOTENT) {
      return true;
    }
    double windowMillis = windowMillis(rules);
    for (int i = 0; i < request.attempts.size(); i++) {
      AttemptState attempt = request.attempts.get(i);
      if (attempt.mayHaveRun
          && (nowMillis - attempt.sentAtMillis >= windowMillis
              || !sharesDeduplicationMemory(rules.keyScope(), attempt, endpoint))) {
        return false;
      }
    }
    return true;
  }

  private static boolean sharesDeduplicationMemory(
      Settings.KeyScope scope, AttemptState attempt, Endpoint endpoint) {
    return switch (scope) {
      case ALL -> true;
      case ZONE -> endpoint != null && attempt.zone != null && attempt.zone.equals(endpoint.zone);
      case CELL -> endpoint != null && attempt.cell == endpoint.cell;
    };
  }
}
