package leadferry.disruption;

/**
 * A proxy of the fleet in the replicated state. It is immutable; each transition replaces it in the
 * {@link MemberTable}.
 *
 * @param name name of the proxy, unique in the fleet
 * @param session data of the newest session, reported when the session began
 * @param state state of the newest session and of the process
 * @param lastReport newest report of the session
 * @param stabilizingSinceChange change number at which the returned proxy began to stabilize; 0 if
 *     it is not stabilizing
 * @param catalogDigest digest of the {@link EndpointCatalogTable list of endpoints} that the proxy
 *     balances over; "" before the proxy has reported a list
 */
record ProxyMember(
    String name,
    Session session,
    MemberState state,
    ProxyReport lastReport,
    long stabilizingSinceChange,
    String catalogDigest) {

  /**
   * A session of a proxy.
   *
   * @param zone label {@code zone}, by which budgets select
   * @param version software version of the proxy, {@link DisruptionState#NO_VERSION} if not
   *     reported
   * @param startChange change number at which the session began
   */
  record Session(String zone, String version, long startChange) {}

  /**
   * Creates a member for a proxy that was unknown before. It does not stabilize, since its start
   * does not reduce the number of serving proxies.
   */
  static ProxyMember newMember(String name, Session session) {
    return new ProxyMember(name, session, MemberState.NOT_SERVING, ProxyReport.NONE, 0, "");
  }

  /**
   * Returns this proxy with a new session that follows an earlier one. The proxy was unavailable in
   * between and must stabilize before it counts as available.
   */
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
   * Returns this proxy with a new report. The stabilization time starts when the proxy begins to
   * serve.
   *
   * @param report report, already merged with the last one
   * @param changeNumber change number of the report
   */
  ProxyMember withReport(ProxyReport report, boolean serving, long changeNumber) {
    MemberState next = state.afterReport(serving);
    boolean beginsToServe = next == MemberState.SERVING && state != MemberState.SERVING;
    long sinceChange = beginsToServe && isStabilizing() ? changeNumber : stabilizingSinceChange;
    return new ProxyMember(name, session, next, report, sinceChange, catalogDigest);
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

  /** Returns whether the session is live, began after the given change and has brought a report. */
  boolean hasReportedInSessionAfter(long changeNumber) {
    return state.isLive()
        && lastReport.sequenceNumber() > 0
        && session.startChange() > changeNumber;
  }

  /**
   * Returns whether the proxy has reported that it applies the given version of the replicated
   * state or a later one.
   */
  boolean hasAcknowledged(long version) {
    return lastReport.acknowledgedVersion() >= version;
  }
}
