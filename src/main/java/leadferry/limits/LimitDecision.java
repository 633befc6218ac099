package leadferry.limits;

/** What a {@link Limiter} said: places that were taken, or the limit that refused. */
public final class LimitDecision {
  /** No limit holds for the request. */
  static final LimitDecision UNLIMITED = new LimitDecision(new GcraBucket[0], 0, null, 0);

  private final GcraBucket[] taken;
  private final int count;
  private final String refusedBy;
  private final double retryAfterMillis;
  private boolean released;

  private LimitDecision(GcraBucket[] taken, int count, String refusedBy, double retryAfterMs) {
    this.taken = taken;
    this.count = count;
    this.refusedBy = refusedBy;
    this.retryAfterMillis = retryAfterMs;
  }

  static LimitDecision allowed(GcraBucket[] taken, int count) {
    return new LimitDecision(taken, count, null, 0);
  }

  static LimitDecision refused(String by, double retryAfterMs) {
    return new LimitDecision(new GcraBucket[0], 0, by, retryAfterMs);
  }

  /** The limit that refused, or null. */
  public String refusedBy() {
    return refusedBy;
  }

  /** When (ms) to come back, where refused. */
  public double retryAfterMillis() {
    return retryAfterMillis;
  }

  /** The request is over; harmless if done before. Called by the thread that asked. */
  public void release() {
    if (!released) {
      released = true;
      for (int i = count - 1; i >= 0; i--) {
        taken[i].releaseSlot();
      }
    }
  }
}
