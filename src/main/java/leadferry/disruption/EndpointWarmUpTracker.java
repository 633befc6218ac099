package leadferry.disruption;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * The endpoints that have returned to service and are warming up. An endpoint may have been
 * restarted while it was out of service, so it counts as unavailable until its warm-up time has
 * passed.
 */
final class EndpointWarmUpTracker {
  private final Map<String, Long> startChangeByEndpoint = new TreeMap<>();

  /** Returns the change number at which each warm-up began, in the order of the endpoint names. */
  Map<String, Long> startChangeByEndpoint() {
    return Collections.unmodifiableMap(startChangeByEndpoint);
  }

  boolean isWarmingUp(String endpoint) {
    return startChangeByEndpoint.containsKey(endpoint);
  }

  /** Begins a warm-up, or restarts the current one. */
  void begin(String endpoint, long changeNumber) {
    startChangeByEndpoint.put(endpoint, changeNumber);
  }

  /** Ends a warm-up because its time has passed or the endpoint is taken out of service again. */
  void end(String endpoint) {
    startChangeByEndpoint.remove(endpoint);
  }

  /** Replaces all warm-ups by those of a snapshot. */
  void restore(Map<String, Long> restored) {
    startChangeByEndpoint.clear();
    startChangeByEndpoint.putAll(restored);
  }
}
