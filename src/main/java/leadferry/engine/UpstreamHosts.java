package leadferry.engine;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import leadferry.loadbalancer.EndpointUpdate;

/**
 * Holds the hosts that discovery has listed and the ids under which the load balancer addresses
 * them.
 */
public final class UpstreamHosts {
  /**
   * Entry of a host in a list. A {@code startedUnixMs} of 0 means that the host started long ago.
   * The {@code address} may be null if the host receives no requests.
   */
  public record Member(
      String name,
      InetSocketAddress address,
      String zone,
      String kind,
      long cell,
      EndpointUpdate.Condition condition,
      double weight,
      double startedUnixMs) {
    /** Returns a copy of this entry with another condition. */
    public Member withCondition(EndpointUpdate.Condition newCondition) {
      return new Member(name, address, zone, kind, cell, newCondition, weight, startedUnixMs);
    }

    /** Returns a copy of this entry with another start time. */
    public Member withStart(double newStartedUnixMs) {
      return new Member(name, address, zone, kind, cell, condition, weight, newStartedUnixMs);
    }
  }

  /** List of hosts, or changes to it, validated as a whole before any entry is applied. */
  public record ListUpdate(long version, boolean full, List<Member> members) {}

  /**
   * Result of applying a list: the entries for the load balancer, and the hosts that changed so
   * that an attempt decided before must not be sent to them (another address, location or process,
   * or no new requests).
   */
  record Change(List<EndpointUpdate> entries, Set<UpstreamHost> invalidated) {}

  /** Constants of the 64-bit FNV-1a hash (draft-eastlake-fnv). */
  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;

  private static final long FNV_PRIME = 0x100000001b3L;

  private final Map<String, UpstreamHost> byName = new HashMap<>();
  private final Map<Long, UpstreamHost> byId = new HashMap<>();
  private final ServerStartClock clock;

  UpstreamHosts(ServerStartClock clock) {
    this.clock = clock;
  }

  UpstreamHost get(long id) {
    return byId.get(id);
  }

  Collection<UpstreamHost> all() {
    return byId.values();
  }

  boolean hasSendable() {
    for (UpstreamHost host : byId.values()) {
      if (host.sendable) {
        return true;
      }
    }
    return false;
  }

  /** Whether the host of that name is listed and may receive requests. */
  boolean isSendable(String name) {
    return byId.values().stream().anyMatch(host -> host.sendable && host.name.equals(name));
  }

  /** Returns the names of the hosts on which attempts are in flight or wait for a connection. */
  Set<String> busyNames() {
    Set<String> busy = new HashSet<>();
    for (UpstreamHost host : byId.values()) {
      if (host.openAttempts > 0) {
        busy.add(host.name);
      }
    }
    return busy;
  }

  /** Applies a list that arrived at {@code now} (ms, load balancer clock). */
  Change apply(ListUpdate update, double now) {
    List<EndpointUpdate> entries = new ArrayList<>(update.members().size());
    Set<UpstreamHost> invalidated = new LinkedHashSet<>();
    Set<UpstreamHost> listed = new HashSet<>();
    Set<UpstreamHost> added = new HashSet<>();
    boolean hasNewProcess = false;
    for (Member member : update.members()) {
      boolean isKnown = byName.containsKey(member.name());
      UpstreamHost host = getOrCreateHost(member.name());
      if (!isKnown) {
        added.add(host);
      }
      hasNewProcess |= !isKnown || isNewProcess(host, member);
      listed.add(host);
      double started = convertStart(host, member.startedUnixMs(), now);
      entries.add(createEntry(host, member, started));
      if (applyMember(host, member, started)) {
        invalidated.add(host);
      }
    }
    if (update.full()) {
      invalidateUnlisted(listed, invalidated);
    }
    if (hasNewProcess) {
      for (UpstreamHost replaced : AddressReuse.findReplaced(byId.values(), added)) {
        withdraw(replaced, entries);
        invalidated.add(replaced);
      }
    }
    clock.onUpToDate(now);
    return new Change(entries, invalidated);
  }

  /** Whether the entry may put another process at an address, or names a host that was replaced. */
  private static boolean isNewProcess(UpstreamHost host, Member member) {
    return host.replacedBy != null
        || host.startedUnixMs != member.startedUnixMs()
        || (member.address() != null && !member.address().equals(host.address));
  }

  /** Makes the host one that is gone, whatever the list says of it. */
  private static void withdraw(UpstreamHost host, List<EndpointUpdate> entries) {
    host.sendable = false;
    entries.removeIf(entry -> entry.id() == host.id);
    entries.add(
        new EndpointUpdate(
            host.id, host.zone, "", host.cell, EndpointUpdate.Condition.GONE, 1, host.startedAt));
  }

  private UpstreamHost getOrCreateHost(String name) {
    UpstreamHost existing = byName.get(name);
    if (existing != null) {
      return existing;
    }
    UpstreamHost added = new UpstreamHost(name, idFor(name));
    byName.put(added.name, added);
    byId.put(added.id, added);
    return added;
  }

  private static EndpointUpdate createEntry(UpstreamHost host, Member member, double started) {
    return new EndpointUpdate(
        host.id,
        member.zone(),
        member.kind(),
        member.cell(),
        member.condition(),
        member.weight(),
        started);
  }

  /**
   * Copies a list entry to its host. Returns whether the host may receive no new requests, or has
   * another address, location or process than before.
   */
  private static boolean applyMember(UpstreamHost host, Member member, double started) {
    host.listed = member.condition() != EndpointUpdate.Condition.GONE;
    host.sendable = member.condition() == EndpointUpdate.Condition.READY;
    boolean hasMoved = host.cell != member.cell() || !host.zone.equals(member.zone());
    boolean isInvalidated =
        !host.sendable
            || hasMoved
            || !member.address().equals(host.address)
            || host.startedAt != started;
    host.startedAt = started;
    host.startedUnixMs = member.startedUnixMs();
    host.zone = member.zone();
    host.cell = member.cell();
    if (member.address() != null) {
      host.address = member.address();
    }
    return isInvalidated;
  }

  private void invalidateUnlisted(Set<UpstreamHost> listed, Set<UpstreamHost> invalidated) {
    for (UpstreamHost host : byId.values()) {
      if (!listed.contains(host)) {
        host.listed = false;
        host.sendable = false;
        invalidated.add(host);
      }
    }
  }

  /**
   * Converts the start time of a host to the monotonic clock. The result for one start never
   * changes, even if the wall clock is stepped.
   */
  private double convertStart(UpstreamHost host, double startedUnixMs, double now) {
    if (startedUnixMs <= 0) {
      return 0;
    }
    return startedUnixMs == host.startedUnixMs
        ? host.startedAt
        : clock.startedAt(startedUnixMs, now);
  }

  /**
   * Records that discovery reported at {@code now} (ms, load balancer clock) that the current list
   * is still the newest.
   */
  void onUpToDate(double now) {
    clock.onUpToDate(now);
  }

  /**
   * Removes unlisted hosts that have no open attempt. Guards against unbounded growth where hosts
   * are replaced continually.
   */
  void removeGone() {
    byId.values()
        .removeIf(
            host -> !host.listed && host.openAttempts == 0 && byName.remove(host.name) != null);
  }

  /**
   * Computes the id of a host from its name alone: the load balancer's ring must have the same
   * order in every client proxy and after a restart. Where two names collide, the later one takes
   * the next free id.
   */
  private long idFor(String name) {
    long hash = FNV_OFFSET_BASIS;
    for (int i = 0; i < name.length(); i++) {
      hash = (hash ^ name.charAt(i)) * FNV_PRIME;
    }
    long id = hash & Long.MAX_VALUE;
    while (byId.containsKey(id)) {
      id = (id + 1) & Long.MAX_VALUE;
    }
    return id;
  }
}
