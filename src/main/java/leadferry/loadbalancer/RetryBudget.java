package leadferry.loadbalancer;

/** Retries and hedged requests are earned by new requests; unlimited, they feed an overload. */
final class RetryBudget {
  /** What each new request earns. */
  private static final double EARNED_PER_REQUEST = 0.2;

  /** The most that can be saved up. */
  private static final double MOST_SAVED = 10;

  private double saved = MOST_SAVED;

  /** A new request has come. */
  void onRequest() {
    saved = Math.min(MOST_SAVED, saved + EARNED_PER_REQUEST);
  }

  /** Takes one retry; false where there is none. */
  boolean take() {
    boolean enough = saved >= 1;
    saved -= enough ? 1 : 0;
    return enough;
  }
}
