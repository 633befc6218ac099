package leadferry.loadbalancer;

/**
 * Chooses the final response of a request that no attempt can serve. The request is rejected, with
 * a Retry-After hint, if a retry is safe. Otherwise it fails, which leaves open whether it had an
 * effect.
 */
final class TerminationPolicy {
  /**
   * Retry-After hint as a share of the latency objective. A client that returns at once finds the
   * same queue, and a request that returns much later is of no use.
   */
  private static final double RETRY_AFTER_OBJECTIVE_SHARE = 0.25;

  private final LiveSettings settings;
  private final IdempotencyPolicy idempotencyPolicy;
  private final LoadBalancerActions actions;

  TerminationPolicy(LoadBalancerContext context, IdempotencyPolicy idempotencyPolicy) {
    this.settings = context.settings;
    this.idempotencyPolicy = idempotencyPolicy;
    this.actions = context.actions;
  }

  /** Sends the final response of the request. */
  void terminate(RequestState request, double nowMillis) {
    if (idempotencyPolicy.canReject(request, nowMillis)) {
      boolean sendsRetryAfter = settings.current().limits().canSendRetryAfter();
      actions.reject(
          request.id,
          sendsRetryAfter
              ? RETRY_AFTER_OBJECTIVE_SHARE * request.requestClass().latencyObjectiveMillis()
              : 0);
    } else {
      actions.fail(request.id);
    }
    request.isEnded = true;
  }
}
