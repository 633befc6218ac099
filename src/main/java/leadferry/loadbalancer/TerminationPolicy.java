package leadferry.loadbalancer;

/**
 * Which final answer does a request get that no attempt can serve? It is rejected, with
 * Retry-After, where trying again does no harm; else it fails, which promises nothing about its
 * effect.
 */
final class TerminationPolicy {
  /** A client that is back at once meets the same queue; much later its request is of no use. */
  private static final double RETRY_AFTER_AIM_SHARE = 0.25;

  private final LiveSettings settings;
  private final IdempotencyWindow idempotency;
  private final LoadBalancerActions actions;

  TerminationPolicy(LoadBalancerContext context, IdempotencyWindow idempotency) {
    this.settings = context.settings;
    this.idempotency = idempotency;
    this.actions = context.actions;
  }

  /** Gives the request its final answer. */
  void terminate(RequestState request, double nowMillis) {
    if (idempotency.mayReject(request, nowMillis)) {
      boolean advises = settings.now().limits().retryAfter();
      actions.reject(request.id, advises ? RETRY_AFTER_AIM_SHARE * request.rules().aim() : 0);
    } else {
      actions.fail(request.id);
    }
    request.ended = true;
  }
}
