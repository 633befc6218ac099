package leadferry.disruption;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * Hosts that came back into service and are warming up: each may have been restarted, and counts as
 * unavailable until its warm-up time is over.
 */
final class HostWarmUpTracker {
  private final Map<String, Long> sinceByHost = new TreeMap<>();

  /** The change at which each host came back, in the order of the hosts' names. */
  Map<String, Long> sinceByHost() {
    return Collections.unmodifiableMap(sinceByHost);
  }

  boolean isWarmingUp(String host) {
    return sinceByHost.containsKey(host);
  }

  /** Begins a warm-up, from the beginning where one is under way. */
  void begin(String host, long change) {
    sinceByHost.put(host, change);
  }

  /** Ends a warm-up: its time is over, or the host is taken out of service again. */
  void end(String host) {
    sinceByHost.remove(host);
  }

  /** Takes the place of all warm-ups. */
  void restore(Map<String, Long> restored) {
    sinceByHost.clear();
    sinceByHost.putAll(restored);
  }
}
