package leadferry.disruption;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Part of the replicated state that each proxy applies: the targets that are out of service under
 * an eviction grant. {@link FleetViewCodec} maps the view to and from its form on the wire and in a
 * proxy's state file.
 *
 * @param version version of the replicated state, {@link #NO_VERSION} if unknown
 * @param halted whether granting is stopped
 * @param drainedEndpoints endpoints that get no requests, in the order of their grants
 * @param proxyEvictions evictions by name of the proxy, in the order of their grants
 */
record FleetView(
    long version,
    boolean halted,
    Set<String> drainedEndpoints,
    Map<String, ProxyEviction> proxyEvictions) {
  /** Version before the first view of a session, and of a view that names no version. */
  static final long NO_VERSION = -1;

  FleetView {
    drainedEndpoints = Collections.unmodifiableSet(new LinkedHashSet<>(drainedEndpoints));
    proxyEvictions = Collections.unmodifiableMap(new LinkedHashMap<>(proxyEvictions));
  }

  /** Returns the current view. It holds the targets of all grants that are not restoring. */
  static FleetView of(DisruptionTables tables) {
    Set<String> drainedEndpoints = new LinkedHashSet<>();
    Map<String, ProxyEviction> proxyEvictions = new LinkedHashMap<>();
    for (EvictionGrant grant : tables.grants.all()) {
      if (grant.isRestoring()) {
        continue;
      }
      String name = grant.target().name();
      if (grant.isForType(TargetType.ENDPOINT)) {
        drainedEndpoints.add(name);
      } else {
        proxyEvictions.put(name, new ProxyEviction(grant.id(), grant.request().durationMillis()));
      }
    }
    return new FleetView(
        tables.revision.version(), tables.isHalted(), drainedEndpoints, proxyEvictions);
  }

  /** Returns the eviction of a proxy, or {@link ProxyEviction#NONE}. */
  ProxyEviction evictionOf(String proxy) {
    return proxyEvictions.getOrDefault(proxy, ProxyEviction.NONE);
  }

  /**
   * An eviction grant in the view of its holder.
   *
   * @param grantId id of the eviction grant, "" for none
   * @param durationMillis duration of the grant (ms) from when the holder receives it; 0 for no
   *     expiry
   */
  record ProxyEviction(String grantId, long durationMillis) {
    static final ProxyEviction NONE = new ProxyEviction("", 0);

    boolean isPresent() {
      return !grantId.isEmpty();
    }

    boolean isUnlimited() {
      return durationMillis <= 0;
    }
  }
}
