package corkproxy.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import corkproxy.balancer.HostEntry;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The hosts that discovery has named, and the numbers by which the module knows them. */
final class Hosts {
  /** One list of discovery's, checked whole before anything of it is applied. */
  record News(long version, boolean full, List<HostEntry> entries, List<Place> places) {}

  /** Where an entry's host listens. */
  record Place(String name, InetSocketAddress address) {}

  private final Map<String, Host> byName = new HashMap<>();
  private final Map<Long, Host> byId = new HashMap<>();
  private final double unixOffset;

  /** {@code unixOffset} is Unix time less the module's clock. */
  Hosts(double unixOffset) {
    this.unixOffset = unixOffset;
  }

  Host get(long id) {
    return byId.get(id);
  }

  Collection<Host> all() {
    return byId.values();
  }

  boolean anySendable() {
    for (Host h : byId.values()) {
      if (h.sendable) {
        return true;
      }
    }
    return false;
  }

  /**
   * Reads a list in discovery's form.
   *
   * @throws IllegalArgumentException if it is not of that form; nothing has been changed then
   */
  News read(JsonNode list) {
    JsonNode servers = list.path("servers");
    if (!list.isObject() || !servers.isArray() || !list.path("version").canConvertToLong()) {
      throw new IllegalArgumentException("not a list with version and servers");
    }
    List<HostEntry> entries = new ArrayList<>(servers.size());
    List<Place> places = new ArrayList<>(servers.size());
    for (JsonNode s : servers) {
      String name = s.path("id").asText("");
      InetSocketAddress address = Config.address(s.path("addr").asText(""));
      HostEntry.Condition condition =
          switch (s.path("state").asText("")) {
            case "up" -> HostEntry.Condition.READY;
            case "removed" -> HostEntry.Condition.GONE;
            default -> HostEntry.Condition.TERMINATING; // nothing new goes to a state not known
          };
      if (name.isEmpty() || (address == null && condition == HostEntry.Condition.READY)) {
        throw new IllegalArgumentException("an entry without id or address");
      }
      double started = s.path("started_ms").asDouble(0);
      entries.add(
          new HostEntry(
              number(name),
              s.path("zone").asText(""),
              s.path("kind").asText(""),
              s.path("cell").asLong(0),
              condition,
              s.path("weight").asDouble(1),
              started <= 0 ? 0 : Math.max(0, started - unixOffset)));
      places.add(new Place(name, address));
    }
    return new News(list.path("version").asLong(), list.path("full").asBoolean(), entries, places);
  }

  /** Applies a list; returns the hosts to which nothing more may go as it was to go. */
  Set<Host> apply(News news) {
    Set<Host> cut = new HashSet<>();
    Set<Host> named = new HashSet<>();
    for (int i = 0; i < news.entries().size(); i++) {
      HostEntry e = news.entries().get(i);
      Place p = news.places().get(i);
      Host h = byName.get(p.name());
      if (h == null) {
        h = new Host(p.name(), e.id());
        byName.put(h.name, h);
        byId.put(h.id, h);
      }
      named.add(h);
      h.listed = e.condition() != HostEntry.Condition.GONE;
      h.sendable = e.condition() == HostEntry.Condition.READY;
      if (!h.sendable || !p.address().equals(h.address) || h.started != e.onlineSince()) {
        cut.add(h);
      }
      h.started = e.onlineSince();
      if (p.address() != null) {
        h.address = p.address();
      }
    }
    if (news.full()) {
      for (Host h : byId.values()) {
        if (!named.contains(h)) {
          h.listed = false;
          h.sendable = false;
          cut.add(h);
        }
      }
    }
    return cut;
  }

  /** Guards against a fleet that churns for ever: a host that is gone and carries nothing is freed. */
  void forgetGone() {
    byId.values().removeIf(h -> !h.listed && h.calls == 0 && byName.remove(h.name) != null);
  }

  /**
   * The number of a host. It comes from the name alone, as the module's ring must have the same
   * order in every client proxy and after a restart; two names that collide move on by one.
   */
  private long number(String name) {
    Host known = byName.get(name);
    if (known != null) {
      return known.id;
    }
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
