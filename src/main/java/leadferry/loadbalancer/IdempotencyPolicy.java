package leadferry.loadbalancer;

/**
 * Decides whether a request may be sent, or rejected as safe to retry. This is the only class that
 * evaluates which attempts may have been executed.
 *
 * <p>Rule 1: nothing is sent after the final response. Rule 2: no effect happens twice. After an
 * attempt that may have been executed, another attempt is allowed
 *
 * <ul>
 *   <li>for an idempotent class at any time,
 *   <li>for a deduplicated class within its window, at endpoints that share the deduplication
 *       memory,
 *   <li>for any other class never.
 * </ul>
 */
final class IdempotencyPolicy {
  /**
   * Safety margin subtracted from a deduplication window. Covers clock differences and the time for
   * which an attempt queues on its way to the endpoint.
   */
  private static final double WINDOW_MARGIN_MILLIS = 20;

  private final LiveSettings settings;

  IdempotencyPolicy(LiveSettings settings) {
    this.settings = settings;
  }

  /** Returns whether another attempt of the request may go to the endpoint. */
  boolean canSend(RequestState request, Endpoint endpoint, double nowMillis) {
    return isAwaitingResponse(request)
        && endpoint.isReady
        && isWithinLimits(request, nowMillis)
        && isSafe(request, endpoint, nowMillis);
  }

  /**
   * Returns whether the request may be rejected as safe to retry. The client may then retry through
   * any proxy, and the retry may reach any endpoint.
   */
  boolean canReject(RequestState request, double nowMillis) {
    return isAwaitingResponse(request) && isSafe(request, null, nowMillis);
  }

  /**
   * Returns the repeat window of the class in milliseconds, less a safety margin. After an attempt
   * that may have been executed, another attempt may leave this process only within this window,
   * which starts when the earlier attempt was sent; 0 or less means never.
   */
  static double windowMillis(Settings.RequestClass requestClass) {
    return requestClass.repeatWindowMillis() - WINDOW_MARGIN_MILLIS;
  }

  private static boolean isAwaitingResponse(RequestState request) {
    return !request.isEnded && !request.isStreaming();
  }

  private boolean isWithinLimits(RequestState request, double nowMillis) {
    Settings.Limits limits = settings.current().limits();
    return request.attempts.size() < request.policy.maxAttempts(limits)
        && (request.openAttempts == 0 || request.policy.canRunParallelAttempts(limits))
        && nowMillis < request.deadlineMillis;
  }

  /**
   * Returns whether another attempt at {@code endpoint} is safe after all earlier attempts. If
   * {@code endpoint} is null, the attempt must be safe at every endpoint.
   */
  private static boolean isSafe(RequestState request, Endpoint endpoint, double nowMillis) {
    Settings.RequestClass requestClass = request.requestClass();
    if (requestClass.semantics() == Settings.Semantics.IDEMPOTENT) {
      return true;
    }
    double windowMillis = windowMillis(requestClass);
    for (int i = 0; i < request.attempts.size(); i++) {
      AttemptState attempt = request.attempts.get(i);
      if (attempt.mayHaveRun
          && (nowMillis - attempt.sentAtMillis >= windowMillis
              || !sharesDeduplicationMemory(requestClass.keyScope(), attempt, endpoint))) {
        return false;
      }
    }
    return true;
  }

  private static boolean sharesDeduplicationMemory(
      Settings.KeyScope keyScope, AttemptState attempt, Endpoint endpoint) {
    return switch (keyScope) {
      case ALL -> true;
      case ZONE -> endpoint != null && attempt.zone != null && attempt.zone.equals(endpoint.zone);
      case CELL -> endpoint != null && attempt.cell == endpoint.cell;
    };
  }
}
