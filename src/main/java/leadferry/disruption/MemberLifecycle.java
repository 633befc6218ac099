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
  void joined(String name, String zone, String version, String digest, List<Target> hosts) {
    Optional<ProxyMember> known = tables.members.find(name);
    if (known.isEmpty() && tables.members.isFull()) {
      return;
    }
    ProxyMember.Session session =
        new ProxyMember.Session(zone, version, tables.revision.advanceChange());
    ProxyMember member =
        known
            .map(earlier -> earlier.rejoined(session))
            .orElseGet(() -> ProxyMember.joinedFirst(name, session));
    setCatalogue(member, digest, hosts);
  }

  /**
   * A report arrived; one that is older than the last, or outside of a session, changes nothing.
   */
  void reported(String name, ProxyReport report, boolean serving) {
    ProxyMember member = tables.members.find(name).orElse(null);
    if (member == null
        || !member.state().isLive()
        || report.number() <= member.lastReport().number()) {
      return;
    }
    long change = tables.revision.advanceChange();
    ProxyReport merged = report.after(member.lastReport(), tables.revision.version());
    tables.members.put(member.reported(merged, serving, change));
    beginWarmUps(member.lastReport().ejectedHosts(), report.ejectedHosts(), change);
    if (serving) {
      releaseRestoredProxy(name, report.acknowledgedVersion(), change);
    }
    evictions.releaseAcknowledgedHosts();
  }

  /** Hosts that no longer count as lost warm up. */
  private void beginWarmUps(Set<String> ejectedBefore, Set<String> ejectedNow, long change) {
    for (String host : ejectedBefore) {
      if (!ejectedNow.contains(host) && ejections.isOneShortOfLost(host)) {
        tables.warmUps.begin(host, change);
      }
    }
  }

  private void releaseRestoredProxy(String name, long acknowledgedVersion, long change) {
    EvictionGrant grant = tables.grants.heldBy(TargetType.PROXY, name).orElse(null);
    if (grant != null && grant.isRestoring() && acknowledgedVersion >= grant.restoringVersion()) {
      tables.grants.release(grant);
      tables
          .members
          .find(name)
          .ifPresent(member -> tables.members.put(member.stabilizingFrom(change)));
    }
  }

  /** The list of hosts that a proxy balances over has changed. */
  void catalogueChanged(String name, String digest, List<Target> hosts) {
    ProxyMember member = tables.members.find(name).orElse(null);
    if (member != null) {
      tables.revision.advanceChange();
      setCatalogue(member, digest, hosts);
    }
  }

  private void setCatalogue(ProxyMember member, String digest, List<Target> hosts) {
    tables.members.put(member.withCatalogue(digest));
    tables.catalogues.add(digest, hosts);
    tables.catalogues.retain(tables.members.catalogueDigests());
  }

  /**
   * A session ended: by the proxy's own word, without requests in flight, or because it expired.
   */
  void sessionEnded(String name, boolean byItself) {
    ProxyMember member = tables.members.find(name).orElse(null);
    if (member == null || !member.state().isLive()) {
      return;
    }
    tables.revision.advanceChange();
    tables.members.put(member.sessionEnded(byItself));
    EvictionGrant grant = tables.grants.heldBy(TargetType.PROXY, name).orElse(null);
    if (grant != null && grant.isRestoring()) {
      tables.grants.release(grant); // it counts as lost, and hears of this when it joins
    } else if (grant != null && grant.request().leaving() && byItself) {
      tables.grants.release(grant);
      tables.members.remove(name);
    }
    evictions.releaseAcknowledgedHosts();
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
    tables.members.put(member.fenced());
    evictions.releaseAcknowledgedHosts();
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
    if (!member.state().isGone()) {
      return Outcome.of(Status.REFUSED, name + " was lost and may run: fence it first");
    }
    tables.revision.advanceChange();
    tables.members.remove(name);
    tables.grants.heldBy(TargetType.PROXY, name).ifPresent(tables.grants::release);
    evictions.releaseAcknowledgedHosts();
    return Outcome.of(Status.DONE);
  }
}
