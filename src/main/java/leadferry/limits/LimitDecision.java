package leadferry.limits;

/** The decision of a {@link Limiter}: the acquired slots, or the limit that refused the request. */
public final class LimitDecision {
  /** The decision for a request to which no limit applies. */
  static final LimitDecision UNLIMITED = new LimitDecision(new GcraBucket[0], 0, null, 0);

  private final GcraBucket[] acquiredBuckets;
  private final int count;
  private final String refusedBy;
  private final double retryAfterMillis;
  private boolean released;

  private LimitDecision(
      GcraBucket[] acquiredBuckets, int count, String refusedBy, double retryAfterMillis) {
    this.acquiredBuckets = acquiredBuckets;
    this.count = count;
    this.refusedBy = refusedBy;
    this.retryAfterMillis = retryAfterMillis;
  }

  static LimitDecision allowed(GcraBucket[] acquiredBuckets, int count) {
    return new LimitDecision(acquiredBuckets, count, null, 0);
  }

  static LimitDecision refused(String refusedBy, double retryAfterMillis) {
    return new LimitDecision(new GcraBucket[0], 0, refusedBy, retryAfterMillis);
  }

  /** Returns the name of the limit that refused the request, or null. */
  public String refusedBy() {
    return refusedBy;
  }

  /** Returns the time (ms) after which the client may retry a refused request. */
  public double retryAfterMillis() {
    return retryAfterMillis;
  }

  /**
   * Releases the slots at the end of the request; further calls have no effect. To be called by the
   * thread that acquired them.
   */
  public void release() {
    if (!released) {
      released = true;
      for (int i = count - 1; i >= 0; i--) {
        acquiredBuckets[i].releaseSlot();
      }
    }
  }
}
