package leadferry.loadbalancer;

/**
 * Is a request retried whose attempt has failed? It is while there is time, the upstream is not
 * overloaded and the retry budget allows: where responses come late, another attempt would only
 * feed the overload. Which endpoint may get it, if any, is then {@link EndpointPicker}'s question.
 */
final class RetryPolicy {
  private final PressureEstimate pressure;
  private final RetryBudget budget;

  RetryPolicy(LoadBalancerContext context, RetryBudget budget) {
    this.pressure = context.pressure;
    this.budget = budget;
  }

  /** Whether to retry; a yes takes a retry from the budget. */
  boolean tryAcquireRetry(RequestState request, double nowMillis) {
    return request.hasTimeForAttempt(nowMillis)
        && !pressure.isOverloaded(nowMillis)
        && budget.tryAcquire();
  }
}
