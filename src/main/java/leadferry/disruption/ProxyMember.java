package leadferry.disruption;

/**
 * A proxy of the fleet as the agreed state knows it; immutable, replaced in the {@link MemberTable}
 * by each transition.
 *
 * @param name unique in the fleet
 * @param session what it said of itself when its newest session began
 * @param state whether its session is live, and what became of it where it is not
 * @param lastReport its newest report of that session
 * @param stabilizingSince the change at which it came back and began to stabilize, 0 once it has
 * @param catalogDigest the {@link HostCatalogTable list of hosts} that it balances over, "" before
 *     any
 */
record ProxyMember(
    String name,
    Session session,
    MemberState state,
    ProxyReport lastReport,
    long stabilizingSince,
    String catalogDigest) {

  /**
   * The beginning of a session.
   *
   * @param zone label by which budgets select
   * @param version version of the program, {@link DisruptionState#NO_VERSION} where it told none
   * @param joinedChange the change with which the session began
   */
  record Session(String zone, String version, long joinedChange) {}

  /** A proxy that was never known before: while it comes, it takes nothing away. */
  static ProxyMember joinedFirst(String name, Session session) {
    return new ProxyMember(name, session, MemberState.NOT_SERVING, ProxyReport.NONE, 0, "");
  }

  /** A proxy that was known: it was missed, and stabilizes first. */
  ProxyMember rejoined(Session newSession) {
    return new ProxyMember(
        name,
        newSession,
        state.joined(),
        ProxyReport.NONE,
        newSession.joinedChange(),
        catalogDigest);
  }

  /**
   * Takes a report; the time to stabilize counts from when it serves.
   *
   * @param report the report, merged with the last one
   * @param change the change that the report makes
   */
  ProxyMember reported(ProxyReport report, boolean serving, long change) {
    MemberState next = state.reported(serving);
    boolean beginsToServe = next == MemberState.SERVING && state != MemberState.SERVING;
    long since = beginsToServe && isStabilizing() ? change : stabilizingSince;
    return new ProxyMember(name, session, next, report, since, catalogDigest);
  }

  ProxyMember sessionEnded(boolean byItself) {
    return new ProxyMember(
        name,
        session,
        state.sessionEnded(byItself),
        lastReport.withoutHosts(),
        stabilizingSince,
        catalogDigest);
  }

  ProxyMember fenced() {
    return new ProxyMember(
        name, session, state.fenced(), lastReport, stabilizingSince, catalogDigest);
  }

  ProxyMember stabilizingFrom(long change) {
    return new ProxyMember(name, session, state, lastReport, change, catalogDigest);
  }

  ProxyMember stabilized() {
    return stabilizingFrom(0);
  }

  ProxyMember withCatalogue(String digest) {
    return new ProxyMember(name, session, state, lastReport, stabilizingSince, digest);
  }

  boolean isStabilizing() {
    return stabilizingSince > 0;
  }

  /** Whether its session is live, began after that change, and has brought a report. */
  boolean hasReportedInSessionAfter(long change) {
    return state.isLive() && lastReport.number() > 0 && session.joinedChange() > change;
  }

  /** Whether it has reported to go by that version of the agreed state or a later one. */
  boolean hasAcknowledged(long version) {
    return lastReport.acknowledgedVersion() >= version;
  }
}
