package leadferry.disruption;

/**
 * Permission for one proxy or endpoint to be out of service.
 *
 * <pre>
 *   GRANTED --(undo, expiry)--> RESTORING --(proxy: serves again; endpoint: all acknowledged)--> released
 * </pre>
 *
 * <p>A released grant is no longer in the {@link EvictionGrantTable}. The target of a restoring
 * grant still counts as unavailable. Guards against a holder that learns of its grant late and goes
 * out of service when another target has been granted its eviction meanwhile.
 *
 * @param id decimal number, never given to another grant
 * @param request request that was granted
 * @param grantedVersion version of the replicated state in which the grant was given
 * @param restoringVersion version of the replicated state in which the restoration began; 0 before
 *     the restoration
 * @param restoringReason human-readable reason for the restoration; "" before the restoration
 */
record EvictionGrant(
    String id,
    EvictionRequest request,
    long grantedVersion,
    long restoringVersion,
    String restoringReason) {

  /** States of a grant that has not been released. */
  enum State {
    /** The target is to be out of service. */
    GRANTED,
    /** The target is to return to service and has not yet done so everywhere. */
    RESTORING
  }

  /** Creates a grant in state {@link State#GRANTED}. */
  static EvictionGrant granted(String id, EvictionRequest request, long version) {
    return new EvictionGrant(id, request, version, 0, "");
  }

  /**
   * Returns this grant in state {@link State#RESTORING}.
   *
   * @throws IllegalStateException if the grant is restoring already
   */
  EvictionGrant beginRestoring(long version, String reason) {
    if (isRestoring()) {
      throw new IllegalStateException("grant " + id + ": RESTORING (expected: GRANTED)");
    }
    return new EvictionGrant(id, request, grantedVersion, version, reason);
  }

  State state() {
    return restoringVersion > 0 ? State.RESTORING : State.GRANTED;
  }

  boolean isRestoring() {
    return state() == State.RESTORING;
  }

  Target target() {
    return request.target();
  }

  boolean isForType(TargetType type) {
    return target().type() == type;
  }
}
