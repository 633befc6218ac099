package leadferry.disruption;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The lists of endpoints that proxies balance over, by digest. Proxies with the same list share one
 * entry.
 */
final class EndpointCatalogTable {
  private final Map<String, List<Target>> endpointsByDigest = new TreeMap<>();

  /** Returns the lists in the order of their digests. */
  Map<String, List<Target>> endpointsByDigest() {
    return Collections.unmodifiableMap(endpointsByDigest);
  }

  /** Adds a list unless the table has one with the same digest. */
  void add(String digest, List<Target> endpoints) {
    endpointsByDigest.putIfAbsent(digest, List.copyOf(endpoints));
  }

  /** Removes all lists but those with the given digests. */
  void retain(Set<String> usedDigests) {
    endpointsByDigest.keySet().retainAll(usedDigests);
  }

  /** Replaces all lists by those of a snapshot. */
  void restore(Map<String, List<Target>> restored) {
    endpointsByDigest.clear();
    endpointsByDigest.putAll(restored);
  }
}
