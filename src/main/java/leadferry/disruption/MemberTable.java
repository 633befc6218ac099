package leadferry.disruption;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** The proxies in the replicated state, in the order of their names. */
final class MemberTable {
  /** Maximum number of members. Guards against unbounded growth of the replicated state. */
  private static final int MAX_MEMBERS = 100_000;

  private final Map<String, ProxyMember> members = new TreeMap<>();

  Collection<ProxyMember> all() {
    return Collections.unmodifiableCollection(members.values());
  }

  Optional<ProxyMember> find(String name) {
    return Optional.ofNullable(members.get(name));
  }

  boolean isFull() {
    return members.size() >= MAX_MEMBERS;
  }

  /** Adds a member, or replaces the member of the same name. */
  void put(ProxyMember member) {
    members.put(member.name(), member);
  }

  void remove(String name) {
    members.remove(name);
  }

  /** Returns the digests of all lists of endpoints that members balance over. */
  Set<String> catalogDigests() {
    Set<String> digests = new TreeSet<>();
    members.values().forEach(member -> digests.add(member.catalogDigest()));
    return digests;
  }

  /** Replaces all members by those of a snapshot. */
  void restore(Collection<ProxyMember> restored) {
    members.clear();
    restored.forEach(this::put);
  }
}
