package leadferry.consensus;

/**
 * A member's side of its lease. Without I/O; times are passed in (ns, of a monotonic clock that
 * goes on while the process is stopped).
 *
 * <pre>
 *   member:  asked ------------------------ 0.9 of a lease ----------| over
 *   keeper:          heard -------------------------- a lease ---------------| may say so
 * </pre>
 *
 * <p>The member counts from before it asked and the keeper from after it heard, so the member knows
 * first that its lease is over, as long as the two clocks differ by less than a tenth in speed.
 */
public final class Lease {
  private static final double PART = 0.9;

  private final long nanos;
  private long until = Long.MIN_VALUE;
  private boolean had;

  /** A lease of so many milliseconds, as the keepers count it. */
  public Lease(long leaseMs) {
    this.nanos = (long) (leaseMs * 1e6 * PART);
  }

  /** A keeper has confirmed what was asked at that time. */
  public void confirmed(long askedAt) {
    until = had ? Math.max(until, askedAt + nanos) : askedAt + nanos;
    had = true;
  }

  /** The session is gone. */
  public void lost() {
    had = false;
  }

  /** Whether it holds; to be asked right before each decision that needs it. */
  public boolean holds(long now) {
    return had && now - until < 0;
  }
}
