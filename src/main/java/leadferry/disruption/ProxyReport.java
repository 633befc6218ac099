package leadferry.disruption;

import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/**
 * What a proxy reported of itself.
 *
 * @param sequenceNumber counts the reports of a session from 1; 0 before any
 * @param acknowledgedVersion version of the agreed state that it goes by
 * @param busyEndpoints hosts that are taken out of service and on which it has requests in flight
 * @param ejectedEndpoints hosts that its outlier detection has ejected
 */
record ProxyReport(
    long sequenceNumber,
    long acknowledgedVersion,
    Set<String> busyEndpoints,
    Set<String> ejectedEndpoints) {
  /** Before the first report of a session. */
  static final ProxyReport NONE = new ProxyReport(0, 0, Set.of(), Set.of());

  ProxyReport {
    busyEndpoints = Collections.unmodifiableSet(new TreeSet<>(busyEndpoints));
    ejectedEndpoints = Collections.unmodifiableSet(new TreeSet<>(ejectedEndpoints));
  }

  /**
   * This report after an earlier one of the same session: what was acknowledged stays, and a
   * version that the agreed state has not reached is not acknowledged.
   */
  ProxyReport mergeAfter(ProxyReport previous, long currentVersion) {
    long acknowledged =
        Math.max(previous.acknowledgedVersion, Math.min(acknowledgedVersion, currentVersion));
    return new ProxyReport(sequenceNumber, acknowledged, busyEndpoints, ejectedEndpoints);
  }

  /** The same report where the session has ended and says nothing of hosts any more. */
  ProxyReport withoutEndpoints() {
    return new ProxyReport(sequenceNumber, acknowledgedVersion, Set.of(), Set.of());
  }
}
