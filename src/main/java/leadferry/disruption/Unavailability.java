package leadferry.disruption;

/**
 * Why a target counts against budgets.
 *
 * @param cause the kind of reason
 * @param detail id of the eviction grant, or how many proxies have ejected a host; "" otherwise
 */
record Unavailability(Cause cause, String detail) {
  /** The kinds of reasons. */
  enum Cause {
    /** It holds an eviction grant. */
    GRANTED,
    /** Its eviction grant is being taken back. */
    RESTORING,
    /** A host that several proxies have ejected. */
    EJECTED,
    /** A host that came back and is warming up. */
    WARMING_UP,
    /** A proxy that ended its session itself. */
    LEFT,
    /** A proxy whose session expired. */
    LOST,
    /** A proxy whose session expired and whose process was declared dead. */
    LOST_FENCED,
    /** A proxy with a live session that does not serve. */
    NOT_SERVING,
    /** A proxy that came back, serves, and is stabilizing. */
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

  /** The reason in the words of outcomes and views, which are stored. */
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
