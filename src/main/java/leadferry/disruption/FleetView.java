package leadferry.disruption;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * What each proxy must know of the agreed state: what is taken out of service by decision. {@link
 * FleetViewCodec} is its form on the wire and in a proxy's state file.
 *
 * @param version version of the agreed state, {@link #NO_VERSION} where unknown
 * @param halted whether nothing more is granted
 * @param drainedEndpoints hosts that get no requests, in the order of their grants
 * @param proxyEvictions evictions of proxies by the proxy's name, in the order of their grants
 */
record FleetView(
    long version,
    boolean halted,
    Set<String> drainedEndpoints,
    Map<String, ProxyEviction> proxyEvictions) {
  /** The version before any view was taken. */
  static final long NO_VERSION = -1;

  FleetView {
    drainedEndpoints = Collections.unmodifiableSet(new LinkedHashSet<>(drainedEndpoints));
    proxyEvictions = Collections.unmodifiableMap(new LinkedHashMap<>(proxyEvictions));
  }

  /** What is taken out of service now: targets of grants that are not being taken back. */
  static FleetView of(DisruptionTables tables) {
    Set<String> drainedEndpoints = new LinkedHashSet<>();
    Map<String, ProxyEviction> proxyEvictions = new LinkedHashMap<>();
    for (EvictionGrant grant : tables.grants.all()) {
      if (grant.isRestoring()) {
        continue;
      }
      String name = grant.target().name();
      if (grant.isForType(TargetType.HOST)) {
        drainedEndpoints.add(name);
      } else {
        proxyEvictions.put(name, new ProxyEviction(grant.id(), grant.request().durationMillis()));
      }
    }
    return new FleetView(
        tables.revision.version(), tables.isHalted(), drainedEndpoints, proxyEvictions);
  }

  /** The eviction of that proxy, or {@link ProxyEviction#NONE}. */
  ProxyEviction evictionOf(String proxy) {
    return proxyEvictions.getOrDefault(proxy, ProxyEviction.NONE);
  }

  /**
   * An eviction grant as its holder sees it.
   *
   * @param grantId id of the eviction grant, "" for none
   * @param durationMillis how long it holds from when the holder hears of it; 0 until it is undone
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
