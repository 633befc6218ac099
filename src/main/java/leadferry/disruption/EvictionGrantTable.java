package leadferry.disruption;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The eviction grants that have not been released, in the lexicographic order of their ids. */
final class EvictionGrantTable {
  /** Maximum number of grants. Guards against unbounded growth of the replicated state. */
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

  /** Returns the grant of a target; a target has at most one. */
  Optional<EvictionGrant> heldBy(TargetType type, String name) {
    for (EvictionGrant grant : grants.values()) {
      if (grant.isForType(type) && grant.target().name().equals(name)) {
        return Optional.of(grant);
      }
    }
    return Optional.empty();
  }

  /** Adds a grant under a new id. */
  EvictionGrant add(EvictionRequest request, long version) {
    EvictionGrant grant = EvictionGrant.granted(Long.toString(nextId), request, version);
    nextId++;
    grants.put(grant.id(), grant);
    return grant;
  }

  /** Begins to restore the target of a grant. */
  void beginRestoring(EvictionGrant grant, long version, String reason) {
    grants.put(grant.id(), grant.beginRestoring(version, reason));
  }

  /** Removes a grant. Its target no longer counts as unavailable because of the grant. */
  void release(EvictionGrant grant) {
    grants.remove(grant.id());
  }

  /** Replaces all grants by those of a snapshot. */
  void restore(Collection<EvictionGrant> restored, long restoredNextId) {
    grants.clear();
    restored.forEach(grant -> grants.put(grant.id(), grant));
    nextId = restoredNextId;
  }
}
