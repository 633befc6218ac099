package leadferry.loadbalancer;

/**
 * Decides whether a request is retried after a failed attempt. A retry needs time left before the
 * deadline, an upstream that is not overloaded, and a token of the retry budget. In an overload,
 * when responses are late, another attempt would only add load. {@link EndpointPicker} then decides
 * which endpoint gets the retry, if any.
 */
final class RetryPolicy {
  private final PressureEstimate pressure;
  private final RetryBudget retryBudget;

  RetryPolicy(LoadBalancerContext context, RetryBudget retryBudget) {
    this.pressure = context.pressure;
    this.retryBudget = retryBudget;
  }

  /** Returns whether to retry; if so, takes a token from the retry budget. */
  boolean tryAcquireRetry(RequestState request, double nowMillis) {
    return request.hasTimeForAttempt(nowMillis)
        && !pressure.isOverloaded(nowMillis)
        && retryBudget.tryAcquire();
  }
}
