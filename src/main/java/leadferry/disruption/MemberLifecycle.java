package leadferry.disruption;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import leadferry.disruption.Outcome.Status;

/** Applies the sessions and reports of proxies, and the operators' declarations about them. */
final class MemberLifecycle {
  private final DisruptionTables tables;
  private final EjectionCounter ejections;
  private final EvictionController evictions;

  MemberLifecycle(
      DisruptionTables tables, EjectionCounter ejections, EvictionController evictions) {
    this.tables = tables;
    this.ejections = ejections;
    this.evictions = evictions;
  }

  /**
   * Applies the beginning of a session. A session of an unknown name is ignored if the member table
   * is full.
   */
  void onSessionOpened(
      String name, String zone, String version, String digest, List<Target> endpoints) {
    Optional<ProxyMember> known = tables.members.find(name);
    if (known.isEmpty() && tables.members.isFull()) {
      return;
    }
    ProxyMember.Session session =
        new ProxyMember.Session(zone, version, tables.revision.advanceChange());
    ProxyMember member =
        known
            .map(previous -> previous.withNewSession(session))
            .orElseGet(() -> ProxyMember.newMember(name, session));
    setCatalog(member, digest, endpoints);
  }

  /**
   * Applies a report. A report is ignored if it is older than the last one or if the session of the
   * proxy is not live.
   */
  void onReport(String name, ProxyReport report, boolean serving) {
    ProxyMember member = tables.members.find(name).orElse(null);
    if (member == null
        || !member.state().isLive()
        || report.sequenceNumber() <= member.lastReport().sequenceNumber()) {
      return;
    }
    long changeNumber = tables.revision.advanceChange();
    ProxyReport merged = report.mergeAfter(member.lastReport(), tables.revision.version());
    tables.members.put(member.withReport(merged, serving, changeNumber));
    beginWarmUps(member.lastReport().ejectedEndpoints(), report.ejectedEndpoints(), changeNumber);
    if (serving) {
      releaseRestoredProxy(name, report.acknowledgedVersion(), changeNumber);
    }
    evictions.releaseAcknowledgedEndpoints();
  }

  /** Begins the warm-up of endpoints that no longer count as lost. */
  private void beginWarmUps(Set<String> ejectedBefore, Set<String> ejectedNow, long changeNumber) {
    for (String endpoint : ejectedBefore) {
      if (!ejectedNow.contains(endpoint) && ejections.isOneEjectionBelowLost(endpoint)) {
        tables.warmUps.begin(endpoint, changeNumber);
      }
    }
  }

  private void releaseRestoredProxy(String name, long acknowledgedVersion, long changeNumber) {
    EvictionGrant grant = tables.grants.heldBy(TargetType.PROXY, name).orElse(null);
    if (grant != null && grant.isRestoring() && acknowledgedVersion >= grant.restoringVersion()) {
      tables.grants.release(grant);
      tables
          .members
          .find(name)
          .ifPresent(member -> tables.members.put(member.withStabilizationStart(changeNumber)));
    }
  }

  /** Applies a change of the list of endpoints that a proxy balances over. */
  void onCatalogChanged(String name, String digest, List<Target> endpoints) {
    ProxyMember member = tables.members.find(name).orElse(null);
    if (member != null) {
      tables.revision.advanceChange();
      setCatalog(member, digest, endpoints);
    }
  }

  private void setCatalog(ProxyMember member, String digest, List<Target> endpoints) {
    tables.members.put(member.withCatalog(digest));
    tables.catalogs.add(digest, endpoints);
    tables.catalogs.retain(tables.members.catalogDigests());
  }

  /**
   * Applies the end of a session.
   *
   * @param clean true if the proxy closed the session itself and had no requests in flight; false
   *     if the session expired
   */
  void onSessionEnded(String name, boolean clean) {
    ProxyMember member = tables.members.find(name).orElse(null);
    if (member == null || !member.state().isLive()) {
      return;
    }
    tables.revision.advanceChange();
    tables.members.put(member.withSessionEnded(clean));
    EvictionGrant grant = tables.grants.heldBy(TargetType.PROXY, name).orElse(null);
    if (grant != null && grant.isRestoring()) {
      tables.grants.release(
          grant); // The proxy counts as lost and gets the current view with its next session.
    } else if (grant != null && grant.request().permanent() && clean) {
      tables.grants.release(grant);
      tables.members.remove(name);
    }
    evictions.releaseAcknowledgedEndpoints();
  }

  /**
   * Records an operator's declaration that the process of a proxy without a live session is dead.
   */
  Outcome fence(String name) {
    ProxyMember member = tables.members.find(name).orElse(null);
    if (member == null) {
      return Outcome.of(Status.UNKNOWN, "no proxy '" + name + "'");
    }
    if (member.state().isLive()) {
      return Outcome.of(Status.REFUSED, name + " has a session that lives");
    }
    tables.revision.advanceChange();
    tables.members.put(member.withFence());
    evictions.releaseAcknowledgedEndpoints();
    return Outcome.of(Status.DONE);
  }

  /** Removes a proxy that will not return, and its grant, from all counts. */
  Outcome forget(String name) {
    ProxyMember member = tables.members.find(name).orElse(null);
    if (member == null) {
      return Outcome.of(Status.UNKNOWN, "no proxy '" + name + "'");
    }
    if (member.state().isLive()) {
      return Outcome.of(Status.REFUSED, name + " has a session that lives");
    }
    if (!member.state().isTerminated()) {
      return Outcome.of(Status.REFUSED, name + " was lost and may run: fence it first");
    }
    tables.revision.advanceChange();
    tables.members.remove(name);
    tables.grants.heldBy(TargetType.PROXY, name).ifPresent(tables.grants::release);
    evictions.releaseAcknowledgedEndpoints();
    return Outcome.of(Status.DONE);
  }
}
