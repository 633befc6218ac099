package leadferry.disruption;

import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/**
 * A proxy's report on itself.
 *
 * @param sequenceNumber number of the report in its session, from 1; 0 before the first
 * @param acknowledgedVersion version of the replicated state that the proxy applies
 * @param busyEndpoints endpoints that are out of service and to which the proxy still has requests
 *     in flight
 * @param ejectedEndpoints endpoints that the outlier detection of the proxy has ejected
 */
record ProxyReport(
    long sequenceNumber,
    long acknowledgedVersion,
    Set<String> busyEndpoints,
    Set<String> ejectedEndpoints) {
  /** Placeholder before the first report of a session. */
  static final ProxyReport NONE = new ProxyReport(0, 0, Set.of(), Set.of());

  ProxyReport {
    busyEndpoints = Collections.unmodifiableSet(new TreeSet<>(busyEndpoints));
    ejectedEndpoints = Collections.unmodifiableSet(new TreeSet<>(ejectedEndpoints));
  }

  /**
   * Merges this report with the previous one of the same session. The acknowledged version never
   * decreases and never exceeds the current version of the replicated state.
   */
  ProxyReport mergeAfter(ProxyReport previous, long currentVersion) {
    long acknowledged =
        Math.max(previous.acknowledgedVersion, Math.min(acknowledgedVersion, currentVersion));
    return new ProxyReport(sequenceNumber, acknowledged, busyEndpoints, ejectedEndpoints);
  }

  /** Returns this report without its endpoints, for a session that has ended. */
  ProxyReport withoutEndpoints() {
    return new ProxyReport(sequenceNumber, acknowledgedVersion, Set.of(), Set.of());
  }
}
