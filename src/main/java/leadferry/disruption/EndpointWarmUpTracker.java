package leadferry.disruption;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * Hosts that came back into service and are warming up: each may have been restarted, and counts as
 * unavailable until its warm-up time is over.
 */
final class EndpointWarmUpTracker {
  private final Map<String, Long> startChangeByEndpoint = new TreeMap<>();

  /** The change at which each host came back, in the order of the hosts' names. */
  Map<String, Long> startChangeByEndpoint() {
    return Collections.unmodifiableMap(startChangeByEndpoint);
  }

  boolean isWarmingUp(String endpoint) {
    return startChangeByEndpoint.containsKey(endpoint);
  }

  /** Begins a warm-up, from the beginning where one is under way. */
  void begin(String endpoint, long changeNumber) {
    startChangeByEndpoint.put(endpoint, changeNumber);
  }

  /** Ends a warm-up: its time is over, or the host is taken out of service again. */
  void end(String endpoint) {
    startChangeByEndpoint.remove(endpoint);
  }

  /** Takes the place of all warm-ups. */
  void restore(Map<String, Long> restored) {
    startChangeByEndpoint.clear();
    startChangeByEndpoint.putAll(restored);
  }
}
