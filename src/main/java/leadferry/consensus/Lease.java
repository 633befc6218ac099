package leadferry.consensus;

/**
 * A member's side of its lease. Without I/O; times are passed in (ns, of a monotonic clock that
 * goes on while the process is stopped).
 *
 * <pre>
 *   member:  asked ------------------------ 0.9 of a lease ----------| over
 *   leader:          heard -------------------------- a lease ---------------| may say so
 * </pre>
 *
 * <p>The member counts from before it asked and the leader from after it heard, so the member knows
 * first that its lease is over, as long as the two clocks differ by less than a tenth in speed.
 */
public final class Lease {
  private static final double NANOS_PER_MILLI = 1e6;

  /** How much of the lease a member counts on. */
  private static final double MEMBER_FRACTION = 0.9;

  private final long usableNanos;
  private long endNanos = Long.MIN_VALUE;
  private boolean confirmed;

  /** A lease of so many milliseconds, as the leader counts it. */
  public Lease(long leaseMillis) {
    this.usableNanos = (long) (leaseMillis * NANOS_PER_MILLI * MEMBER_FRACTION);
  }

  /** The leader has confirmed what was asked at that time (ns). */
  public void onConfirmed(long requestedAtNanos) {
    endNanos =
        confirmed
            ? Math.max(endNanos, requestedAtNanos + usableNanos)
            : requestedAtNanos + usableNanos;
    confirmed = true;
  }

  /** The session is gone. */
  public void onSessionLost() {
    confirmed = false;
  }

  /** Whether it holds; to be asked right before each decision that needs it. */
  public boolean isHeld(long nowNanos) {
    return confirmed && nowNanos - endNanos < 0;
  }
}
