package leadferry.disruption;

/**
 * The right of one proxy or host to be out of service.
 *
 * <pre>
 *   GRANTED --(undo, expiry)--> RESTORING --(proxy: serves again; host: all acknowledged)--> released
 * </pre>
 *
 * <p>A released grant is no longer in the {@link EvictionGrantTable}. A grant that is restoring
 * still counts against budgets. Guards against a holder that hears of its grant only after another
 * target was given the place.
 *
 * @param id number in decimal, unique for ever
 * @param request what was asked for
 * @param grantedVersion version of the agreed state that gave it
 * @param restoringVersion version of the agreed state that began to take it back, 0 before
 * @param restoringReason why it was taken back, for people; "" before
 */
record EvictionGrant(
    String id,
    EvictionRequest request,
    long grantedVersion,
    long restoringVersion,
    String restoringReason) {

  /** The states of a grant that counts. */
  enum State {
    /** Its target is to be out of service. */
    GRANTED,
    /** Its target is to be in service, and is not yet known to be. */
    RESTORING
  }

  /** A grant that was just given. */
  static EvictionGrant granted(String id, EvictionRequest request, long version) {
    return new EvictionGrant(id, request, version, 0, "");
  }

  /**
   * The same grant, from here on taken back.
   *
   * @throws IllegalStateException if that has begun already
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
