package leadferry.disruption;

/**
 * Reason why a target counts as unavailable.
 *
 * @param cause kind of the reason
 * @param detail id of the eviction grant, or number of proxies that have ejected the endpoint; ""
 *     for other causes
 */
record Unavailability(Cause cause, String detail) {
  /** Kinds of reasons. */
  enum Cause {
    /** The target holds an eviction grant. */
    GRANTED,
    /** The eviction grant of the target is restoring. */
    RESTORING,
    /** Enough proxies have ejected the endpoint, see {@link EjectionCounter}. */
    EJECTED,
    /** The endpoint has returned and is warming up. */
    WARMING_UP,
    /** The proxy closed its session itself. */
    LEFT,
    /** The session of the proxy expired. */
    LOST,
    /** The session of the proxy expired, and an operator declared its process dead. */
    LOST_FENCED,
    /** The proxy has a live session and does not serve. */
    NOT_SERVING,
    /** The proxy has returned, serves and is stabilizing. */
    STABILIZING
  }

  static Unavailability byGrant(EvictionGrant grant) {
    return new Unavailability(grant.isRestoring() ? Cause.RESTORING : Cause.GRANTED, grant.id());
  }

  static Unavailability ejectedBy(int proxies) {
    return new Unavailability(Cause.EJECTED, Integer.toString(proxies));
  }

  static Unavailability of(Cause cause) {
    return new Unavailability(cause, "");
  }

  /**
   * Returns the text of the reason. It is stored and shown in outcomes and views, so its wording
   * must not change.
   */
  String text() {
    return switch (cause) {
      case GRANTED -> "permit " + detail;
      case RESTORING -> "permit " + detail + ", ending";
      case EJECTED -> "ejected by " + detail;
      case WARMING_UP -> "warming up";
      case LEFT -> "left";
      case LOST -> "lost";
      case LOST_FENCED -> "lost, fenced";
      case NOT_SERVING -> "does not serve";
      case STABILIZING -> "settling";
    };
  }
}
