package leadferry.disruption;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import leadferry.disruption.Outcome.Status;

/** Applies what proxies tell of themselves, and what operators declare of them. */
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

  /** A session begins; one of a new name is passed over where there are too many members. */
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
   * A report arrived; one that is older than the last, or outside of a session, changes nothing.
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

  /** Hosts that no longer count as lost warm up. */
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

  /** The list of hosts that a proxy balances over has changed. */
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
   * A session ended: by the proxy's own word, without requests in flight, or because it expired.
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
      tables.grants.release(grant); // it counts as lost, and hears of this when it joins
    } else if (grant != null && grant.request().permanent() && clean) {
      tables.grants.release(grant);
      tables.members.remove(name);
    }
    evictions.releaseAcknowledgedEndpoints();
  }

  /** An operator declares the process of a proxy without a session dead. */
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

  /** Takes a proxy that is gone for good, and its grant, out of all counts. */
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
