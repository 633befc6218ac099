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
  public record News(long version, boolean full, List<Member> members) {}

  /**
   * What a list changed: the entries for the module, the hosts that may get nothing as they were.
   */
  record Change(List<EndpointUpdate> entries, Set<UpstreamHost> cut) {}

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

  boolean anySendable() {
    for (UpstreamHost h : byId.values()) {
      if (h.sendable) {
        return true;
      }
    }
    return false;
  }

  /** Applies a list that came at {@code now} (ms) on the module's clock. */
  Change apply(News news, double now) {
    List<EndpointUpdate> entries = new ArrayList<>(news.members().size());
    Set<UpstreamHost> cut = new LinkedHashSet<>();
    Set<UpstreamHost> named = new HashSet<>();
    for (Member m : news.members()) {
      UpstreamHost h = byName.get(m.name());
      if (h == null) {
        h = new UpstreamHost(m.name(), number(m.name()));
        byName.put(h.name, h);
        byId.put(h.id, h);
      }
      double started = started(h, m.startedUnixMs(), now);
      entries.add(
          new EndpointUpdate(
              h.id, m.zone(), m.kind(), m.cell(), m.condition(), m.weight(), started));
      named.add(h);
      h.listed = m.condition() != EndpointUpdate.Condition.GONE;
      h.sendable = m.condition() == EndpointUpdate.Condition.READY;
      boolean elsewhere = h.cell != m.cell() || !h.zone.equals(m.zone());
      if (!h.sendable || elsewhere || !m.address().equals(h.address) || h.started != started) {
        cut.add(h);
      }
      h.started = started;
      h.startedUnixMs = m.startedUnixMs();
      h.zone = m.zone();
      h.cell = m.cell();
      if (m.address() != null) {
        h.address = m.address();
      }
    }
    if (news.full()) {
      for (UpstreamHost h : byId.values()) {
        if (!named.contains(h)) {
          h.listed = false;
          h.sendable = false;
          cut.add(h);
        }
      }
    }
    clock.upToDate(now);
    return new Change(entries, cut);
  }

  /**
   * The instant of a start never moves once it has been told, whatever becomes of the wall clock.
   */
  private double started(UpstreamHost host, double startedUnixMs, double now) {
    if (startedUnixMs <= 0) {
      return 0;
    }
    return startedUnixMs == host.startedUnixMs ? host.started : clock.started(startedUnixMs, now);
  }

  /** Discovery has said that there is nothing new. */
  void upToDate(double now) {
    clock.upToDate(now);
  }

  /**
   * Guards against a fleet that churns for ever: a host that is gone and carries nothing is freed.
   */
  void forgetGone() {
    byId.values().removeIf(h -> !h.listed && h.calls == 0 && byName.remove(h.name) != null);
  }

  /**
   * The number of a host. It comes from the name alone, as the module's ring must have the same
   * order in every client proxy and after a restart; two names that collide move on by one.
   */
  private long number(String name) {
    long h = 0xcbf29ce484222325L;
    for (int i = 0; i < name.length(); i++) {
      h = (h ^ name.charAt(i)) * 0x100000001b3L;
    }
    h &= Long.MAX_VALUE;
    while (byId.containsKey(h)) {
      h = (h + 1) & Long.MAX_VALUE;
    }
    return h;
  }
}
