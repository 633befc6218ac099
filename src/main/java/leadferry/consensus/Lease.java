package leadferry.consensus;

/**
 * The member's side of a lease. Without I/O; callers pass the time in nanoseconds of a monotonic
 * clock that keeps running while the process is stopped.
 *
 * <pre>
 *   member:  request sent --------------- 0.9 of the lease ----------| lease ends
 *   leader:        request received -------------- whole lease ---------------| may expire the lease
 * </pre>
 *
 * <p>The member counts the lease from a time before it sent the request, the leader from a time
 * after it received the request. The lease therefore ends first at the member, provided that the
 * speeds of the two clocks differ by less than a tenth.
 */
public final class Lease {
  private static final double NANOS_PER_MILLI = 1e6;

  /** Fraction of the lease that the member relies on. */
  private static final double MEMBER_FRACTION = 0.9;

  private final long usableNanos;
  private long endNanos = Long.MIN_VALUE;
  private boolean confirmed;

  /**
   * Creates a lease that is not yet confirmed.
   *
   * @param leaseMillis duration (ms) after which the leader may expire a lease without renewal; the
   *     member relies on {@link #MEMBER_FRACTION} of it
   */
  public Lease(long leaseMillis) {
    this.usableNanos = (long) (leaseMillis * NANOS_PER_MILLI * MEMBER_FRACTION);
  }

  /**
   * Records that the leader has confirmed a request sent at {@code requestedAtNanos}. An older
   * confirmation does not shorten the lease.
   */
  public void onConfirmed(long requestedAtNanos) {
    endNanos =
        confirmed
            ? Math.max(endNanos, requestedAtNanos + usableNanos)
            : requestedAtNanos + usableNanos;
    confirmed = true;
  }

  /** Ends the lease because its session has ended. */
  public void onSessionLost() {
    confirmed = false;
  }

  /**
   * Returns whether the lease is held. Callers check right before each decision that depends on it.
   */
  public boolean isHeld(long nowNanos) {
    return confirmed && nowNanos - endNanos < 0;
  }
}
