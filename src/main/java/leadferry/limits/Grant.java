package leadferry.limits;

/** What a {@link Limiter} said: places that were taken, or the limit that refused. */
public final class Grant {
  /** No limit holds for the request. */
  static final Grant FREE = new Grant(new GcraBucket[0], 0, null, 0);

  private final GcraBucket[] taken;
  private final int count;
  private final String refusedBy;
  private final double retryAfterMs;
  private boolean released;

  private Grant(GcraBucket[] taken, int count, String refusedBy, double retryAfterMs) {
    this.taken = taken;
    this.count = count;
    this.refusedBy = refusedBy;
    this.retryAfterMs = retryAfterMs;
  }

  static Grant of(GcraBucket[] taken, int count) {
    return new Grant(taken, count, null, 0);
  }

  static Grant refused(String by, double retryAfterMs) {
    return new Grant(new GcraBucket[0], 0, by, retryAfterMs);
  }

  /** The limit that refused, or null. */
  public String refusedBy() {
    return refusedBy;
  }

  /** When (ms) to come back, where refused. */
  public double retryAfterMs() {
    return retryAfterMs;
  }

  /** The request is over; harmless if done before. Called by the thread that asked. */
  public void release() {
    if (!released) {
      released = true;
      for (int i = count - 1; i >= 0; i--) {
        taken[i].leave();
      }
    }
  }
}
