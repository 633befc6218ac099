package leadferry.disruption;

/**
 * A proxy of the fleet as the agreed state knows it; immutable, replaced in the {@link MemberTable}
 * by each transition.
 *
 * @param name unique in the fleet
 * @param session what it said of itself when its newest session began
 * @param state whether its session is live, and what became of it where it is not
 * @param lastReport its newest report of that session
 * @param stabilizingSinceChange the change at which it came back and began to stabilize, 0 once it
 *     has
 * @param catalogDigest the {@link EndpointCatalogTable list of hosts} that it balances over, ""
 *     before any
 */
record ProxyMember(
    String name,
    Session session,
    MemberState state,
    ProxyReport lastReport,
    long stabilizingSinceChange,
    String catalogDigest) {

  /**
   * The beginning of a session.
   *
   * @param zone label by which budgets select
   * @param version version of the program, {@link DisruptionState#NO_VERSION} where it told none
   * @param startChange the change with which the session began
   */
  record Session(String zone, String version, long startChange) {}

  /** A proxy that was never known before: while it comes, it takes nothing away. */
  static ProxyMember newMember(String name, Session session) {
    return new ProxyMember(name, session, MemberState.NOT_SERVING, ProxyReport.NONE, 0, "");
  }

  /** A proxy that was known: it was missed, and stabilizes first. */
  ProxyMember withNewSession(Session newSession) {
    return new ProxyMember(
        name,
        newSession,
        state.afterJoin(),
        ProxyReport.NONE,
        newSession.startChange(),
        catalogDigest);
  }

  /**
   * Takes a report; the time to stabilize counts from when it serves.
   *
   * @param report the report, merged with the last one
   * @param changeNumber the change that the report makes
   */
  ProxyMember withReport(ProxyReport report, boolean serving, long changeNumber) {
    MemberState next = state.afterReport(serving);
    boolean beginsToServe = next == MemberState.SERVING && state != MemberState.SERVING;
    long since = beginsToServe && isStabilizing() ? changeNumber : stabilizingSinceChange;
    return new ProxyMember(name, session, next, report, since, catalogDigest);
  }

  ProxyMember withSessionEnded(boolean clean) {
    return new ProxyMember(
        name,
        session,
        state.afterSessionEnd(clean),
        lastReport.withoutEndpoints(),
        stabilizingSinceChange,
        catalogDigest);
  }

  ProxyMember withFence() {
    return new ProxyMember(
        name, session, state.afterFence(), lastReport, stabilizingSinceChange, catalogDigest);
  }

  ProxyMember withStabilizationStart(long changeNumber) {
    return new ProxyMember(name, session, state, lastReport, changeNumber, catalogDigest);
  }

  ProxyMember withoutStabilization() {
    return withStabilizationStart(0);
  }

  ProxyMember withCatalog(String digest) {
    return new ProxyMember(name, session, state, lastReport, stabilizingSinceChange, digest);
  }

  boolean isStabilizing() {
    return stabilizingSinceChange > 0;
  }

  /** Whether its session is live, began after that change, and has brought a report. */
  boolean hasReportedInSessionAfter(long changeNumber) {
    return state.isLive()
        && lastReport.sequenceNumber() > 0
        && session.startChange() > changeNumber;
  }

  /** Whether it has reported to go by that version of the agreed state or a later one. */
  boolean hasAcknowledged(long version) {
    return lastReport.acknowledgedVersion() >= version;
  }
}
