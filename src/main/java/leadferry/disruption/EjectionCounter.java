package leadferry.disruption;

import java.util.Set;
import java.util.TreeSet;

/**
 * Which hosts count as lost because proxies have ejected them: two proxies, or all that are live
 * where fewer are.
 */
final class EjectionCounter {
  private static final int EJECTIONS_UNTIL_LOST = 2;

  private final MemberTable members;

  EjectionCounter(MemberTable members) {
    this.members = members;
  }

  /** How many live proxies have ejected a host, at least two where all of them have. */
  int ejectionsOf(String host) {
    int ejections = 0;
    int live = 0;
    for (ProxyMember member : members.all()) {
      if (member.state().isLive()) {
        live++;
        ejections += member.lastReport().ejectedHosts().contains(host) ? 1 : 0;
      }
    }
    boolean ejectedByAll = ejections > 0 && ejections == live;
    return ejectedByAll ? Math.max(ejections, EJECTIONS_UNTIL_LOST) : ejections;
  }

  boolean isLost(String host) {
    return ejectionsOf(host) >= EJECTIONS_UNTIL_LOST;
  }

  /** Whether one ejection more would make the host count as lost. */
  boolean isOneShortOfLost(String host) {
    return ejectionsOf(host) == EJECTIONS_UNTIL_LOST - 1;
  }

  /** Hosts that count as lost, in the order of their names. */
  Set<String> lostHosts() {
    Set<String> hosts = new TreeSet<>();
    members.all().forEach(member -> hosts.addAll(member.lastReport().ejectedHosts()));
    hosts.removeIf(host -> !isLost(host));
    return hosts;
  }
}
