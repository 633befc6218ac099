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

/** The hosts that discovery has named, and the numbers by which the module knows them. */
public final class UpstreamHosts {
  /**
   * A host as a list names it; {@code startedUnixMs} 0 is long ago, {@code address} may be null
   * where it gets no work.
   */
  public record Member(
      String name,
      InetSocketAddress address,
      String zone,
      String kind,
      long cell,
      EndpointUpdate.Condition condition,
      double weight,
      double startedUnixMs) {}

  /** One list, or changes to it, checked whole before anything of it is applied. */
  public record ListUpdate(long version, boolean full, List<Member> members) {}

  /**
   * What a list changed: the entries for the module, the hosts that may get nothing as they were.
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

  /** Whether the host of that name is listed and may get work. */
  boolean isSendable(String name) {
    return byId.values().stream().anyMatch(host -> host.sendable && host.name.equals(name));
  }

  /** Names of the hosts on which attempts are in flight, or wait to be. */
  Set<String> busyNames() {
    Set<String> busy = new HashSet<>();
    for (UpstreamHost host : byId.values()) {
      if (host.openAttempts > 0) {
        busy.add(host.name);
      }
    }
    return busy;
  }

  /** Applies a list that came at {@code now} (ms) on the module's clock. */
  Change apply(ListUpdate news, double now) {
    List<EndpointUpdate> entries = new ArrayList<>(news.members().size());
    Set<UpstreamHost> cut = new LinkedHashSet<>();
    Set<UpstreamHost> named = new HashSet<>();
    for (Member member : news.members()) {
      UpstreamHost host = hostOf(member.name());
      named.add(host);
      double started = started(host, member.startedUnixMs(), now);
      entries.add(entry(host, member, started));
      if (update(host, member, started)) {
        cut.add(host);
      }
    }
    if (news.full()) {
      cutUnnamed(named, cut);
    }
    clock.onUpToDate(now);
    return new Change(entries, cut);
  }

  private UpstreamHost hostOf(String name) {
    UpstreamHost known = byName.get(name);
    if (known != null) {
      return known;
    }
    UpstreamHost added = new UpstreamHost(name, number(name));
    byName.put(added.name, added);
    byId.put(added.id, added);
    return added;
  }

  private static EndpointUpdate entry(UpstreamHost host, Member member, double started) {
    return new EndpointUpdate(
        host.id,
        member.zone(),
        member.kind(),
        member.cell(),
        member.condition(),
        member.weight(),
        started);
  }

  /** Takes over what the list says of a host; true if it may get nothing as it was. */
  private static boolean update(UpstreamHost host, Member member, double started) {
    host.listed = member.condition() != EndpointUpdate.Condition.GONE;
    host.sendable = member.condition() == EndpointUpdate.Condition.READY;
    boolean elsewhere = host.cell != member.cell() || !host.zone.equals(member.zone());
    boolean cut =
        !host.sendable
            || elsewhere
            || !member.address().equals(host.address)
            || host.startedAt != started;
    host.startedAt = started;
    host.startedUnixMs = member.startedUnixMs();
    host.zone = member.zone();
    host.cell = member.cell();
    if (member.address() != null) {
      host.address = member.address();
    }
    return cut;
  }

  private void cutUnnamed(Set<UpstreamHost> named, Set<UpstreamHost> cut) {
    for (UpstreamHost host : byId.values()) {
      if (!named.contains(host)) {
        host.listed = false;
        host.sendable = false;
        cut.add(host);
      }
    }
  }

  /**
   * The instant of a start never moves once it has been told, whatever becomes of the wall clock.
   */
  private double started(UpstreamHost host, double startedUnixMs, double now) {
    if (startedUnixMs <= 0) {
      return 0;
    }
    return startedUnixMs == host.startedUnixMs
        ? host.startedAt
        : clock.startedAt(startedUnixMs, now);
  }

  /** Discovery has said that there is nothing new. */
  void onUpToDate(double now) {
    clock.onUpToDate(now);
  }

  /**
   * Guards against a fleet that churns for ever: a host that is gone and carries nothing is freed.
   */
  void removeGone() {
    byId.values()
        .removeIf(
            host -> !host.listed && host.openAttempts == 0 && byName.remove(host.name) != null);
  }

  /**
   * The number of a host. It comes from the name alone, as the module's ring must have the same
   * order in every client proxy and after a restart; two names that collide move on by one.
   */
  private long number(String name) {
    long hash = FNV_OFFSET_BASIS;
    for (int i = 0; i < name.length(); i++) {
      hash = (hash ^ name.charAt(i)) * FNV_PRIME;
    }
    long number = hash & Long.MAX_VALUE;
    while (byId.containsKey(number)) {
      number = (number + 1) & Long.MAX_VALUE;
    }
    return number;
  }
}
