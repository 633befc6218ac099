package leadferry.disruption;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The eviction grants that count, in the order of their ids as text. */
final class EvictionGrantTable {
  /** Guards against a state that grows without bound. */
  static final int MAX_GRANTS = 10_000;

  private final Map<String, EvictionGrant> grants = new TreeMap<>();
  private long nextId = 1;

  Collection<EvictionGrant> all() {
    return Collections.unmodifiableCollection(grants.values());
  }

  int size() {
    return grants.size();
  }

  long nextId() {
    return nextId;
  }

  Optional<EvictionGrant> find(String id) {
    return Optional.ofNullable(grants.get(id));
  }

  /** The grant of that target; a target has at most one. */
  Optional<EvictionGrant> heldBy(TargetType type, String name) {
    for (EvictionGrant grant : grants.values()) {
      if (grant.isForType(type) && grant.target().name().equals(name)) {
        return Optional.of(grant);
      }
    }
    return Optional.empty();
  }

  /** Gives a grant under a new id. */
  EvictionGrant add(EvictionRequest request, long version) {
    EvictionGrant grant = EvictionGrant.granted(Long.toString(nextId), request, version);
    nextId++;
    grants.put(grant.id(), grant);
    return grant;
  }

  /** Begins to take a grant back. */
  void beginRestoring(EvictionGrant grant, long version, String reason) {
    grants.put(grant.id(), grant.beginRestoring(version, reason));
  }

  /** From here on the grant no longer counts. */
  void release(EvictionGrant grant) {
    grants.remove(grant.id());
  }

  /** Takes the place of all grants. */
  void restore(Collection<EvictionGrant> restored, long restoredNextId) {
    grants.clear();
    restored.forEach(grant -> grants.put(grant.id(), grant));
    nextId = restoredNextId;
  }
}
