package leadferry.loadbalancer;

/**
 * Which final answer does a request get that no attempt can serve? It is rejected, with
 * Retry-After, where trying again does no harm; else it fails, which promises nothing about its
 * effect.
 */
final class TerminationPolicy {
  /** A client that is back at once meets the same queue; much later its request is of no use. */
  private static final double RETRY_AFTER_OBJECTIVE_SHARE = 0.25;

  private final LiveSettings settings;
  private final IdempotencyPolicy idempotencyPolicy;
  private final LoadBalancerActions actions;

  TerminationPolicy(LoadBalancerContext context, IdempotencyPolicy idempotencyPolicy) {
    this.settings = context.settings;
    this.idempotencyPolicy = idempotencyPolicy;
    this.actions = context.actions;
  }

  /** Gives the request its final answer. */
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
