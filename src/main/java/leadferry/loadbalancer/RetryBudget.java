package leadferry.loadbalancer;

/** Retries and hedged requests are earned by new requests; unlimited, they feed an overload. */
final class RetryBudget {
  /** What each new request earns. */
  private static final double TOKENS_PER_REQUEST = 0.2;

  /** The most that can be saved up. */
  private static final double MAX_TOKENS = 10;

  private double tokens = MAX_TOKENS;

  /** A new request has come. */
  void onRequest() {
    tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
  }

  /** Takes one retry; false where there is none. */
  boolean tryAcquire() {
    boolean isAvailable = tokens >= 1;
    tokens -= isAvailable ? 1 : 0;
    return isAvailable;
  }
}
