package leadferry.loadbalancer;

/**
 * A token bucket that limits retries and hedged requests to a share of the new requests. Unlimited
 * retries would add to an overload.
 */
final class RetryBudget {
  /** Tokens added by each new request. */
  private static final double TOKENS_PER_REQUEST = 0.2;

  /** Capacity of the bucket. */
  private static final double MAX_TOKENS = 10;

  private double tokens = MAX_TOKENS;

  /** Adds the tokens of a new request. */
  void onRequest() {
    tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
  }

  /** Takes a token for one retry or hedged request; returns false if there is none. */
  boolean tryAcquire() {
    boolean isAvailable = tokens >= 1;
    tokens -= isAvailable ? 1 : 0;
    return isAvailable;
  }
}
