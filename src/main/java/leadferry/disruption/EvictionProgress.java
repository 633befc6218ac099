package leadferry.disruption;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Determines whether a granted eviction is complete, and which proxies it still waits for. */
final class EvictionProgress {
  private final DisruptionTables tables;

  EvictionProgress(DisruptionTables tables) {
    this.tables = tables;
  }

  /**
   * Returns the proxies that may still send requests to the endpoint of a grant; empty for grants
   * of proxies and for unknown grants.
   *
   * @return reasons by name of the proxy
   */
  Map<String, String> pendingProxies(String grantId) {
    Map<String, String> reasons = new TreeMap<>();
    EvictionGrant grant = tables.grants.find(grantId).orElse(null);
    if (grant == null || !grant.isForType(TargetType.ENDPOINT)) {
      return reasons;
    }
    for (ProxyMember member : tables.members.all()) {
      pendingReason(member, grant).ifPresent(reason -> reasons.put(member.name(), reason));
    }
    return reasons;
  }

  private static Optional<String> pendingReason(ProxyMember member, EvictionGrant grant) {
    if (member.state() == MemberState.LOST) {
      return Optional.of("lost: may go on sending there until it is back or fenced");
    }
    if (!member.state().isLive()) {
      return Optional.empty();
    }
    if (!member.hasAcknowledged(grant.grantedVersion())) {
      return Optional.of("has not told that it knows");
    }
    return member.lastReport().busyEndpoints().contains(grant.target().name())
        ? Optional.of("has requests in flight there")
        : Optional.empty();
  }

  /**
   * Returns whether the eviction of a grant is complete: the proxy no longer serves, or no proxy
   * may still send requests to the endpoint. False for unknown and restoring grants.
   */
  boolean isCarriedOut(String grantId) {
    EvictionGrant grant = tables.grants.find(grantId).orElse(null);
    if (grant == null || grant.isRestoring()) {
      return false;
    }
    if (grant.isForType(TargetType.ENDPOINT)) {
      return pendingProxies(grantId).isEmpty();
    }
    return tables
        .members
        .find(grant.target().name())
        .map(holder -> hasStoppedServing(holder, grant))
        .orElse(true);
  }

  private static boolean hasStoppedServing(ProxyMember holder, EvictionGrant grant) {
    return holder.state().isTerminated()
        || (holder.state() == MemberState.NOT_SERVING
            && holder.hasAcknowledged(grant.grantedVersion()));
  }
}
