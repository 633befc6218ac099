package leadferry.disruption;

import java.util.Set;
import java.util.TreeSet;

/**
 * Determines which endpoints count as lost because proxies have ejected them: two proxies, or the
 * only live proxy.
 */
final class EjectionCounter {
  private static final int MIN_EJECTIONS_FOR_LOST = 2;

  private final MemberTable members;

  EjectionCounter(MemberTable members) {
    this.members = members;
  }

  /**
   * Returns how many live proxies have ejected an endpoint. If all live proxies have ejected it,
   * the result is raised to at least {@link #MIN_EJECTIONS_FOR_LOST}, so that the ejection by the
   * only live proxy suffices for the endpoint to count as lost.
   */
  int countEjections(String endpoint) {
    int ejections = 0;
    int live = 0;
    for (ProxyMember member : members.all()) {
      if (member.state().isLive()) {
        live++;
        ejections += member.lastReport().ejectedEndpoints().contains(endpoint) ? 1 : 0;
      }
    }
    boolean ejectedByAll = ejections > 0 && ejections == live;
    return ejectedByAll ? Math.max(ejections, MIN_EJECTIONS_FOR_LOST) : ejections;
  }

  boolean isLost(String endpoint) {
    return countEjections(endpoint) >= MIN_EJECTIONS_FOR_LOST;
  }

  /** Returns whether one more ejection would make the endpoint count as lost. */
  boolean isOneEjectionBelowLost(String endpoint) {
    return countEjections(endpoint) == MIN_EJECTIONS_FOR_LOST - 1;
  }

  /** Returns the endpoints that count as lost, in the order of their names. */
  Set<String> lostEndpoints() {
    Set<String> endpoints = new TreeSet<>();
    members.all().forEach(member -> endpoints.addAll(member.lastReport().ejectedEndpoints()));
    endpoints.removeIf(endpoint -> !isLost(endpoint));
    return endpoints;
  }
}
