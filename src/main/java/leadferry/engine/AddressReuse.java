package leadferry.engine;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds hosts whose address another host has taken over. Guards against a new process that is taken
 * for the one that had its address before: while a list still names both, work for the old host
 * would reach the new process, and a keyed request would be repeated outside of its group.
 *
 * <p>A host takes an address over if it started later than the other host there, or, with the same
 * start, if the list has named it only now.
 */
final class AddressReuse {
  private AddressReuse() {}

  /**
   * Returns the listed hosts whose address another listed host has taken over, and records by whom.
   *
   * @param hosts all known hosts
   * @param added the hosts that the current list has named for the first time
   */
  static List<UpstreamHost> findReplaced(Collection<UpstreamHost> hosts, Set<UpstreamHost> added) {
    Map<InetSocketAddress, UpstreamHost> owners = new HashMap<>(2 * hosts.size());
    List<UpstreamHost> replaced = new ArrayList<>();
    for (UpstreamHost host : hosts) {
      if (!host.listed || host.address == null) {
        continue;
      }
      UpstreamHost owner = owners.putIfAbsent(host.address, host);
      if (owner == null) {
        continue;
      }
      if (takesOver(host, owner, added)) {
        owners.put(host.address, host);
        owner.replacedBy = host;
        replaced.add(owner);
      } else if (takesOver(owner, host, added)) {
        host.replacedBy = owner;
        replaced.add(host);
      }
    }
    return replaced;
  }

  private static boolean takesOver(
      UpstreamHost later, UpstreamHost earlier, Set<UpstreamHost> added) {
    if (later.startedUnixMs != earlier.startedUnixMs) {
      return later.startedUnixMs > earlier.startedUnixMs;
    }
    return earlier.replacedBy == later || (added.contains(later) && !added.contains(earlier));
  }
}
