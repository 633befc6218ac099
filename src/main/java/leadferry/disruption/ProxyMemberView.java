package leadferry.disruption;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Set;
import java.util.TreeSet;

/**
 * What one client proxy goes by: the newest view of the ledger that it has, and what follows for
 * itself. Times are passed in (ns, monotonic).
 *
 * <p>News narrow at once and whoever brings them; one thing needs a lease that holds at that
 * moment: to go out of service itself. Guards against a process that was stopped, wakes up with an
 * old grant in its socket, and goes out when its place has long been given to somebody else. Coming
 * back needs nobody's leave: while it was away, it counted as out.
 */
public final class ProxyMemberView {
  private final String name;
  private long version = -1;
  private Set<String> hostsOut = Set.of();
  private String permit = "";
  private long permitEnds;
  private boolean endless;
  private boolean away;
  private JsonNode held;

  public ProxyMemberView(String name) {
    this.name = name;
  }

  /**
   * Takes news; older ones than those that it has change nothing. True if anything is different
   * now.
   */
  public boolean take(JsonNode view, boolean leaseHolds, long now) {
    long v = view.path("version").asLong(-1);
    if (v < version) {
      return false;
    }
    Set<String> hosts = new TreeSet<>();
    view.path("hosts_out").forEach(h -> hosts.add(h.asText()));
    JsonNode mine = view.path("proxies_out").path(name);
    String id = mine.path("permit").asText("");
    boolean known = !id.isEmpty() && id.equals(permit);
    if (!id.isEmpty() && !known && !leaseHolds) {
      held = view; // a grant that it may not act on now
      return false;
    }
    held = null;
    boolean over = known && !endless && now - permitEnds >= 0;
    boolean goes = !id.isEmpty() && !over;
    if (goes && !known) {
      long forMs = mine.path("for_ms").asLong();
      endless = forMs <= 0;
      permitEnds = now + forMs * 1_000_000;
    }
    boolean changed = v != version || !hosts.equals(hostsOut) || goes != away;
    version = v;
    hostsOut = Set.copyOf(hosts);
    permit = id;
    away = goes;
    return changed;
  }

  /**
   * Takes what waited for a lease that holds; comes back where the time of its permit is over by
   * its own clock.
   */
  public boolean look(boolean leaseHolds, long now) {
    if (held != null && leaseHolds) {
      return take(held, true, now);
    }
    if (away && !endless && now - permitEnds >= 0) {
      away = false;
      return true;
    }
    return false;
  }

  /** The ledger's version that it goes by, -1 before any. */
  public long version() {
    return version;
  }

  /** A session begins: what the ledger says from here on is the truth, whatever came before. */
  public void forget() {
    version = -1;
    held = null;
  }

  /** Hosts that get nothing. */
  public Set<String> hostsOut() {
    return hostsOut;
  }

  /** Whether it is out of service itself, by a permit. */
  public boolean away() {
    return away;
  }

  /** What is kept on disk, for a start without keepers. */
  public void write(ObjectNode to) {
    to.put("version", version);
    hostsOut.forEach(to.putArray("hosts_out")::add);
    ObjectNode proxies = to.putObject("proxies_out");
    if (away) {
      proxies.putObject(name).put("permit", permit);
    }
  }
}
