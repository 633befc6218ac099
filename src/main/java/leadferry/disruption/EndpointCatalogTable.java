package leadferry.disruption;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The lists of hosts that proxies balance over, by digest: proxies with the same list share it. */
final class EndpointCatalogTable {
  private final Map<String, List<Target>> endpointsByDigest = new TreeMap<>();

  /** The lists in the order of their digests. */
  Map<String, List<Target>> endpointsByDigest() {
    return Collections.unmodifiableMap(endpointsByDigest);
  }

  /** Adds a list, unless one of that digest is there. */
  void add(String digest, List<Target> endpoints) {
    endpointsByDigest.putIfAbsent(digest, List.copyOf(endpoints));
  }

  /** Drops lists that nobody balances over any more. */
  void retain(Set<String> usedDigests) {
    endpointsByDigest.keySet().retainAll(usedDigests);
  }

  /** Takes the place of all lists. */
  void restore(Map<String, List<Target>> restored) {
    endpointsByDigest.clear();
    endpointsByDigest.putAll(restored);
  }
}
