package leadferry.disruption;

import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/**
 * What a proxy reported of itself.
 *
 * @param number counts the reports of a session from 1; 0 before any
 * @param acknowledgedVersion version of the agreed state that it goes by
 * @param busyHosts hosts that are taken out of service and on which it has requests in flight
 * @param ejectedHosts hosts that its outlier detection has ejected
 */
record ProxyReport(
    long number, long acknowledgedVersion, Set<String> busyHosts, Set<String> ejectedHosts) {
  /** Before the first report of a session. */
  static final ProxyReport NONE = new ProxyReport(0, 0, Set.of(), Set.of());

  ProxyReport {
    busyHosts = Collections.unmodifiableSet(new TreeSet<>(busyHosts));
    ejectedHosts = Collections.unmodifiableSet(new TreeSet<>(ejectedHosts));
  }

  /**
   * This report after an earlier one of the same session: what was acknowledged stays, and a
   * version that the agreed state has not reached is not acknowledged.
   */
  ProxyReport after(ProxyReport earlier, long currentVersion) {
    long acknowledged =
        Math.max(earlier.acknowledgedVersion, Math.min(acknowledgedVersion, currentVersion));
    return new ProxyReport(number, acknowledged, busyHosts, ejectedHosts);
  }

  /** The same report where the session has ended and says nothing of hosts any more. */
  ProxyReport withoutHosts() {
    return new ProxyReport(number, acknowledgedVersion, Set.of(), Set.of());
  }
}
