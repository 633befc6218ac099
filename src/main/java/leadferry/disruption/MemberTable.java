package leadferry.disruption;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** The proxies that the agreed state knows, in the order of their names. */
final class MemberTable {
  /** Guards against a state that grows without bound. */
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

  /** Adds a member, or takes the place of the one of that name. */
  void put(ProxyMember member) {
    members.put(member.name(), member);
  }

  void remove(String name) {
    members.remove(name);
  }

  /** Digests of the lists of hosts that any member balances over. */
  Set<String> catalogDigests() {
    Set<String> digests = new TreeSet<>();
    members.values().forEach(member -> digests.add(member.catalogDigest()));
    return digests;
  }

  /** Takes the place of all members. */
  void restore(Collection<ProxyMember> restored) {
    members.clear();
    restored.forEach(this::put);
  }
}
