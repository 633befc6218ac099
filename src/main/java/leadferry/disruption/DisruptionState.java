package leadferry.disruption;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import leadferry.disruption.FleetView.ProxyEviction;
import leadferry.disruption.Outcome.Status;

/**
 * Who is out, and who may go out. A proxy or host is <em>out</em> if it holds a permit, also one
 * that is ending; or is lost without one (a proxy whose session ended, a host that several proxies
 * have ejected); or has come back and is not yet what it was (a proxy that settles, a host that
 * warms up). A permit is granted only where with it no budget has more out than it allows, so
 * losses use budgets up.
 *
 * <pre>
 *   proxy:  unknown --joined--> in --granted--> out --undone--> ending --"I serve"--> settling --time--> in
 *                               in --lost--> lost --joined--> settling --time--> in
 *   host:   in --granted--> out --undone--> ending --all proxies have heard--> warming --time--> in
 * </pre>
 *
 * <p>What takes time is named by {@link #timers}; the leader of the keepers counts it and writes
 * its end into the log.
 */
public final class DisruptionState {
  /** Names of proxies, hosts and budgets. */
  public static final String NAME = "[A-Za-z0-9_][A-Za-z0-9_.:-]{0,63}";

  /** What a proxy tells that was not told what it runs. */
  public static final String NO_VERSION = "-";

  private static final int MOST_PERMITS = 10_000;
  private static final int MOST_MEMBERS = 100_000;
  private static final long LONGEST_MS = 30L * 24 * 3_600_000;

  /**
   * So many proxies that eject a host make it count as lost (or all that live, where they are
   * fewer).
   */
  private static final int SUSPECTERS = 2;

  /** Holds for each kind for which no budget was agreed: one at a time. */
  private static final int UNBUDGETED = 1;

  /** The times that a fleet goes by (ms). */
  public record Times(long settleMs, long warmMs, long fenceMs) {}

  private Times times;

  /** Grows with all that members go by. */
  private long version;

  /** Grows with each change; makes names of timers that come once. */
  private long change;

  private long nextPermit = 1;
  private long budgetsVersion;
  private String halted = "";
  private final List<Budget> budgets = new ArrayList<>();
  private final Map<String, EvictionGrant> permits = new TreeMap<>();
  private final Map<String, ProxyMember> members = new TreeMap<>();

  /** Hosts by the digest of the list in which proxies told of them. */
  private final Map<String, List<Target>> catalogues = new TreeMap<>();

  /** Hosts that have come back, and the change with which they did. */
  private final Map<String, Long> warming = new TreeMap<>();

  public DisruptionState(Times times) {
    this.times = times;
  }

  /** Grows with each change of what members go by. */
  public long version() {
    return version;
  }

  /** Grows with each change of what is known of members; tells what came before what. */
  public long changes() {
    return change;
  }

  /** Why nothing is granted, or "". */
  public String halted() {
    return halted;
  }

  /**
   * What runs at a proxy that has a session, has spoken in it, and began it after that change; ""
   * otherwise.
   */
  public String version(String proxy, long after) {
    ProxyMember m = members.get(proxy);
    return m != null && m.alive && m.said > 0 && m.joined > after ? m.version : "";
  }

  /** Proxies whose lease is over, and hosts that several proxies have ejected, permits or not. */
  public Set<String> lost() {
    Set<String> out = new TreeSet<>();
    Set<String> suspects = new TreeSet<>();
    for (ProxyMember m : members.values()) {
      if (!m.alive && !m.left) {
        out.add(m.name);
      }
      suspects.addAll(m.suspects);
    }
    suspects.stream().filter(h -> suspectedBy(h) >= SUSPECTERS).forEach(out::add);
    return out;
  }

  // --- what members tell

  /** A proxy's session begins. */
  public void joined(String name, String zone, String runs, String digest, List<Target> hosts) {
    ProxyMember known = members.get(name);
    if (known == null && members.size() >= MOST_MEMBERS) {
      return;
    }
    change++;
    ProxyMember m = known == null ? new ProxyMember(name) : known;
    members.put(name, m);
    m.zone = zone;
    m.version = runs;
    m.joined = change;
    m.alive = true;
    m.left = false;
    m.fenced = false;
    m.serving = false;
    m.seen = 0;
    m.said = 0;
    m.busy.clear();
    m.suspects.clear();
    // One that was never here before takes nothing away while it comes; one that was has been
    // missed.
    m.settling = known == null ? 0 : change;
    catalogue(m, digest, hosts);
  }

  /**
   * What a proxy tells of itself, by its own number; an earlier word that comes late changes
   * nothing.
   *
   * @param seen the version of the ledger that it goes by
   */
  public void told(
      String name,
      long number,
      long seen,
      boolean serving,
      Set<String> busy,
      Set<String> suspects) {
    ProxyMember m = members.get(name);
    if (m == null || !m.alive || number <= m.said) {
      return;
    }
    change++;
    m.said = number;
    m.seen = Math.max(m.seen, Math.min(seen, version));
    if (serving && !m.serving && m.settling > 0) {
      m.settling = change; // its time counts from when it serves
    }
    m.serving = serving;
    m.busy = new TreeSet<>(busy);
    Set<String> before = m.suspects;
    m.suspects = new TreeSet<>(suspects);
    for (String h : before) {
      if (!m.suspects.contains(h) && suspectedBy(h) == SUSPECTERS - 1) {
        warming.put(h, change);
      }
    }
    EvictionGrant p = held(TargetType.PROXY, name);
    if (p != null && p.ending() && serving && seen >= p.endSince) {
      permits.remove(p.id);
      m.settling = change;
    }
    settleHosts();
  }

  /** The list of hosts that a proxy balances over has changed. */
  public void catalogued(String name, String digest, List<Target> hosts) {
    ProxyMember m = members.get(name);
    if (m != null) {
      change++;
      catalogue(m, digest, hosts);
    }
  }

  private void catalogue(ProxyMember m, String digest, List<Target> hosts) {
    m.catalogue = digest;
    catalogues.putIfAbsent(digest, List.copyOf(hosts));
    Set<String> used = new TreeSet<>();
    members.values().forEach(x -> used.add(x.catalogue));
    catalogues.keySet().retainAll(used);
  }

  /**
   * A proxy's session ended: with its own word, once it carried nothing, or because nothing was
   * heard of it.
   */
  public void ended(String name, boolean byItself) {
    ProxyMember m = members.get(name);
    if (m == null || !m.alive) {
      return;
    }
    change++;
    m.alive = false;
    m.left = byItself;
    m.serving = false;
    m.busy.clear();
    m.suspects.clear();
    EvictionGrant p = held(TargetType.PROXY, name);
    if (p != null && p.ending()) {
      permits.remove(p.id); // it counts as lost from here on, and hears the truth when it joins
    } else if (p != null && p.leaving && byItself) {
      permits.remove(p.id);
      members.remove(name); // it was asked to leave for good and had nothing left to do
    }
    settleHosts();
  }

  // --- what operators ask

  /** Applies a command and tells what became of it. */
  public Outcome apply(DisruptionCommand command) {
    if (command instanceof DisruptionCommand.Drain drain) {
      return drain(
          drain.type(),
          drain.name(),
          drain.durationMillis(),
          drain.leaving(),
          drain.who(),
          drain.why());
    }
    if (command instanceof DisruptionCommand.Undo undo) {
      return undo(undo.grant(), undo.why());
    }
    if (command instanceof DisruptionCommand.Halt halt) {
      return halt(halt.why());
    }
    if (command instanceof DisruptionCommand.Resume) {
      return resume();
    }
    if (command instanceof DisruptionCommand.Fence fence) {
      return fence(fence.name());
    }
    if (command instanceof DisruptionCommand.Forget forget) {
      return forget(forget.name());
    }
    if (command instanceof DisruptionCommand.ReplaceBudgets replace) {
      return budgets(replace.budgets(), replace.expectedVersion());
    }
    throw new IllegalArgumentException("command: " + command + " (expected: one of disruption)");
  }

  /**
   * Asks for a proxy or host to be taken out.
   *
   * @param forMs how long, 0 until it is given back
   * @param leaving a proxy that is to end for good: once its session ends by its own word it is
   *     forgotten, and takes nothing from any budget
   */
  public Outcome drain(
      TargetType kind, String name, long forMs, boolean leaving, String who, String why) {
    if (leaving && (kind != TargetType.PROXY || forMs != 0)) {
      return Outcome.of(
          Status.MALFORMED,
          "leave: of a " + kind.word() + " for " + forMs + " ms (expected: a proxy, for good)");
    }
    if (forMs < 0 || forMs > LONGEST_MS) {
      return Outcome.of(
          Status.MALFORMED, "for_ms: " + forMs + " (expected: 0 to " + LONGEST_MS + ")");
    }
    Target s = subject(kind, name);
    if (s == null) {
      return Outcome.of(Status.UNKNOWN, "no " + kind.word() + " '" + name + "'");
    }
    EvictionGrant p = held(kind, name);
    if (p != null) {
      return new Outcome(
          Status.REFUSED,
          p.id,
          List.of(
              name
                  + " is out already, by permit "
                  + p.id
                  + (p.ending() ? ", which is ending" : "")));
    }
    if (!halted.isEmpty()) {
      return Outcome.of(Status.HALTED, halted);
    }
    if (permits.size() >= MOST_PERMITS) {
      return Outcome.of(Status.REFUSED, "permits: " + permits.size() + " (expected: fewer)");
    }
    List<String> no = refusals(s);
    if (!no.isEmpty()) {
      return new Outcome(Status.REFUSED, "", no);
    }
    change++;
    version++;
    EvictionGrant granted =
        new EvictionGrant(Long.toString(nextPermit++), s, who, why, forMs, version);
    granted.leaving = leaving;
    permits.put(granted.id, granted);
    warming.remove(kind == TargetType.HOST ? name : "");
    return new Outcome(Status.GRANTED, granted.id, List.of());
  }

  /**
   * Keeps a proxy out that has come back and still counts as out, so that no budget is asked for
   * more.
   *
   * @return the permit, or "" where it is in service, or holds a permit
   */
  public String hold(TargetType kind, String name, String who, String why) {
    Target s = subject(kind, name);
    if (s == null || held(kind, name) != null || out(kind, name) == null || !halted.isEmpty()) {
      return "";
    }
    change++;
    version++;
    EvictionGrant granted = new EvictionGrant(Long.toString(nextPermit++), s, who, why, 0, version);
    permits.put(granted.id, granted);
    return granted.id;
  }

  /** Gives back what a permit took out. */
  public Outcome undo(String id, String why) {
    EvictionGrant p = permits.get(id);
    if (p == null) {
      return Outcome.of(Status.UNKNOWN, "no permit '" + id + "'");
    }
    if (!p.ending()) {
      change++;
      version++;
      p.endSince = version;
      p.endWhy = why;
      ProxyMember holder = p.of.kind() == TargetType.PROXY ? members.get(p.of.name()) : null;
      if (holder != null && !holder.alive) {
        permits.remove(id); // lost all the same, until it joins and hears of it
      }
      settleHosts();
    }
    return new Outcome(Status.DONE, id, List.of());
  }

  /** From this entry on nothing is granted. */
  public Outcome halt(String why) {
    change++;
    version++;
    halted = why.isEmpty() ? "halted" : why;
    return Outcome.of(Status.DONE);
  }

  public Outcome resume() {
    change++;
    version++;
    halted = "";
    return Outcome.of(Status.DONE);
  }

  /**
   * Puts these budgets in force, all of them or none; {@code against} is the version that they
   * replace.
   */
  public Outcome budgets(List<Budget> next, long against) {
    if (against != budgetsVersion) {
      return Outcome.of(
          Status.CONFLICT, "budgets are at version " + budgetsVersion + ", not " + against);
    }
    Set<String> names = new TreeSet<>();
    for (Budget b : next) {
      if (!names.add(b.name())) {
        return Outcome.of(
            Status.MALFORMED,
            "budget " + b.name() + ": a second time (expected: a name of its own)");
      }
    }
    change++;
    budgetsVersion++;
    budgets.clear();
    budgets.addAll(next);
    return Outcome.of(Status.DONE);
  }

  /** An operator's word that a lost proxy's process is dead: it can send nothing any more. */
  public Outcome fence(String name) {
    ProxyMember m = members.get(name);
    if (m == null) {
      return Outcome.of(Status.UNKNOWN, "no proxy '" + name + "'");
    }
    if (m.alive) {
      return Outcome.of(Status.REFUSED, name + " has a session that lives");
    }
    change++;
    m.fenced = true;
    settleHosts();
    return Outcome.of(Status.DONE);
  }

  /** Takes a proxy that has gone for good out of all counts. */
  public Outcome forget(String name) {
    ProxyMember m = members.get(name);
    if (m == null) {
      return Outcome.of(Status.UNKNOWN, "no proxy '" + name + "'");
    }
    if (m.alive || (!m.left && !m.fenced)) {
      return Outcome.of(
          Status.REFUSED,
          name + (m.alive ? " has a session that lives" : " was lost and may run: fence it first"));
    }
    change++;
    members.remove(name);
    EvictionGrant p = held(TargetType.PROXY, name);
    if (p != null) {
      permits.remove(p.id);
    }
    settleHosts();
    return Outcome.of(Status.DONE);
  }

  // --- time, as the leader has counted it

  /**
   * What runs out, and how long (ms) after it was first named; a name never comes a second time.
   */
  public Map<String, Long> timers() {
    Map<String, Long> out = new LinkedHashMap<>();
    for (EvictionGrant p : permits.values()) {
      if (p.forMs > 0 && !p.ending()) {
        out.put("permit:" + p.id, p.forMs + times.fenceMs());
      }
    }
    for (ProxyMember m : members.values()) {
      if (m.settling > 0 && m.alive && m.serving) {
        out.put("settle:" + m.name + ":" + m.settling, times.settleMs());
      }
    }
    warming.forEach((h, since) -> out.put("warm:" + h + ":" + since, times.warmMs()));
    return out;
  }

  /** A timer has run out; one that is not set any more changes nothing. */
  public void timeout(String timer) {
    if (!timers().containsKey(timer)) {
      return;
    }
    change++;
    int from = timer.indexOf(':') + 1;
    int to = timer.lastIndexOf(':');
    switch (timer.substring(0, from)) {
      case "permit:" -> undo(timer.substring(from), "its time was over");
      case "settle:" -> members.get(timer.substring(from, to)).settling = 0;
      default -> warming.remove(timer.substring(from, to));
    }
  }

  // --- what follows from all that

  /** Why this one is out, or null if it is not. */
  public String out(TargetType kind, String name) {
    EvictionGrant p = held(kind, name);
    if (p != null) {
      return (p.ending() ? "permit " + p.id + ", ending" : "permit " + p.id);
    }
    if (kind == TargetType.HOST) {
      return suspectedBy(name) >= SUSPECTERS
          ? "ejected by " + suspectedBy(name)
          : warming.containsKey(name) ? "warming up" : null;
    }
    ProxyMember m = members.get(name);
    if (m == null) {
      return null;
    }
    return !m.alive
        ? (m.left ? "left" : m.fenced ? "lost, fenced" : "lost")
        : !m.serving ? "does not serve" : m.settling > 0 ? "settling" : null;
  }

  private int suspectedBy(String host) {
    int n = 0;
    int alive = 0;
    for (ProxyMember m : members.values()) {
      alive += m.alive ? 1 : 0;
      n += m.alive && m.suspects.contains(host) ? 1 : 0;
    }
    return n > 0 && n == alive ? Math.max(n, SUSPECTERS) : n;
  }

  private EvictionGrant held(TargetType kind, String name) {
    for (EvictionGrant p : permits.values()) {
      if (p.of.kind() == kind && p.of.name().equals(name)) {
        return p;
      }
    }
    return null;
  }

  /** All of a kind that the ledger knows, in the order of their names. */
  public Collection<Target> all(TargetType kind) {
    return byName(kind).values();
  }

  /** The same by name; made anew at each call. */
  public Map<String, Target> byName(TargetType kind) {
    Map<String, Target> out = new TreeMap<>();
    if (kind == TargetType.PROXY) {
      members
          .values()
          .forEach(
              m ->
                  out.put(
                      m.name,
                      new Target(kind, m.name, m.zone, Target.NONE, Target.NONE, Target.NONE)));
    } else {
      catalogues.values().forEach(c -> c.forEach(s -> out.putIfAbsent(s.name(), s)));
      permits.values().stream()
          .filter(p -> p.of.kind() == kind)
          .forEach(p -> out.putIfAbsent(p.of.name(), p.of));
    }
    return out;
  }

  private Target subject(TargetType kind, String name) {
    return byName(kind).get(name);
  }

  /** What bounds how many of a subject's group may be out, and who of the others in it is. */
  private record Bound(String name, int size, int allowed, List<String> others) {
    boolean full() {
      return others.size() + 1 > allowed;
    }

    String text() {
      return name
          + ": "
          + others.size()
          + " out, "
          + allowed
          + " allowed"
          + (others.isEmpty() ? "" : ": " + String.join(", ", others));
    }
  }

  private List<Bound> bounds(Target asked) {
    List<Bound> bounds = new ArrayList<>();
    Collection<Target> all = all(asked.kind());
    boolean any = false;
    for (Budget b : budgets) {
      any |= b.targetType() == asked.kind();
      if (b.selects(asked)) {
        List<Target> group =
            all.stream().filter(s -> b.selects(s) && b.sameGroup(s, asked)).toList();
        bounds.add(bound("budget " + b.name(), group, b.allowedUnavailable(group.size()), asked));
      }
    }
    if (!any) {
      bounds.add(
          bound("no budget of " + asked.kind().word() + ": one at a time", all, UNBUDGETED, asked));
    }
    if (asked.kind() == TargetType.PROXY) {
      bounds.add(bound("the last proxy", all, all.size() - 1, asked));
    } else {
      List<Target> pool = all.stream().filter(s -> s.pool().equals(asked.pool())).toList();
      bounds.add(bound("the last host of pool " + asked.pool(), pool, pool.size() - 1, asked));
    }
    return bounds;
  }

  private List<String> refusals(Target asked) {
    return bounds(asked).stream().filter(Bound::full).map(Bound::text).toList();
  }

  private Bound bound(String name, Collection<Target> group, int allowed, Target asked) {
    List<String> others = new ArrayList<>();
    for (Target s : group) {
      String why = s.name().equals(asked.name()) ? null : out(s.kind(), s.name());
      if (why != null) {
        others.add(s.name() + " (" + why + ")");
      }
    }
    return new Bound(name, group.size(), allowed, others);
  }

  /** What would become of a drain that was asked for now, and each bound that it would meet. */
  public void explain(TargetType kind, String name, ObjectNode to) {
    Target s = kind == null ? null : subject(kind, name);
    if (s == null) {
      to.put("status", Status.UNKNOWN.word())
          .putArray("why")
          .add("no " + (kind == null ? "kind" : kind.word()) + " '" + name + "'");
      return;
    }
    EvictionGrant p = held(kind, name);
    List<Bound> bounds = bounds(s);
    boolean no = p != null || bounds.stream().anyMatch(Bound::full);
    to.put("status", Status.DONE.word())
        .put("kind", kind.word())
        .put("name", name)
        .put("out", out(kind, name))
        .put("halted", halted);
    to.put(
        "would_be",
        (p == null && !halted.isEmpty() ? Status.HALTED : no ? Status.REFUSED : Status.GRANTED)
            .word());
    if (p != null) {
      to.put("permit", p.id);
    }
    ArrayNode bs = to.putArray("bounds");
    for (Bound b : bounds) {
      ObjectNode n =
          bs.addObject()
              .put("bound", b.name())
              .put("of", b.size())
              .put("allowed", b.allowed())
              .put("full", b.full());
      b.others().forEach(n.putArray("others_out")::add);
    }
  }

  /**
   * A host's permit that ends is gone, and the host warms up, once nobody that lives goes by it any
   * more.
   */
  private void settleHosts() {
    for (EvictionGrant p : List.copyOf(permits.values())) {
      if (p.of.kind() == TargetType.HOST
          && p.ending()
          && members.values().stream().noneMatch(m -> m.alive && m.seen < p.endSince)) {
        permits.remove(p.id);
        change++;
        warming.put(p.of.name(), change);
      }
    }
  }

  /**
   * Those that have not told that they go by a host's permit and have nothing in flight there; by
   * name, with the reason.
   */
  public Map<String, String> awaited(String permit) {
    Map<String, String> out = new TreeMap<>();
    EvictionGrant p = permits.get(permit);
    if (p == null || p.of.kind() != TargetType.HOST) {
      return out;
    }
    for (ProxyMember m : members.values()) {
      if (m.alive && m.seen < p.since) {
        out.put(m.name, "has not told that it knows");
      } else if (m.alive && m.busy.contains(p.of.name())) {
        out.put(m.name, "has requests in flight there");
      } else if (!m.alive && !m.left && !m.fenced) {
        out.put(m.name, "lost: may go on sending there until it is back or fenced");
      }
    }
    return out;
  }

  /**
   * Whether what a permit takes out is out: the proxy serves no more, or all have acknowledged the
   * host's.
   */
  public boolean carriedOut(String permit) {
    EvictionGrant p = permits.get(permit);
    if (p == null || p.ending()) {
      return false;
    }
    if (p.of.kind() == TargetType.HOST) {
      return awaited(permit).isEmpty();
    }
    ProxyMember m = members.get(p.of.name());
    return m == null || (m.alive && !m.serving && m.seen >= p.since) || m.left || m.fenced;
  }

  /**
   * What every member must know: the version, who is out by decision, and whether all is halted.
   */
  public void view(ObjectNode json) {
    FleetViewCodec.encode(fleetView(), json);
  }

  private FleetView fleetView() {
    Set<String> hostsOut = new LinkedHashSet<>();
    Map<String, ProxyEviction> proxiesOut = new LinkedHashMap<>();
    for (EvictionGrant p : permits.values()) {
      if (p.ending()) {
        continue;
      }
      if (p.of.kind() == TargetType.HOST) {
        hostsOut.add(p.of.name());
      } else {
        proxiesOut.put(p.of.name(), new ProxyEviction(p.id, p.forMs));
      }
    }
    return new FleetView(version, !halted.isEmpty(), hostsOut, proxiesOut);
  }

  /** All that staff may want to see. */
  public void status(ObjectNode to) {
    to.put("version", version).put("halted", halted).put("budgets_version", budgetsVersion);
    ArrayNode bs = to.putArray("budgets");
    for (Budget b : budgets) {
      b.write(bs.addObject());
    }
    ArrayNode ps = to.putArray("permits");
    for (EvictionGrant p : permits.values()) {
      ObjectNode n = ps.addObject();
      n.put("id", p.id)
          .put("kind", p.of.kind().word())
          .put("name", p.of.name())
          .put("who", p.who)
          .put("why", p.why);
      n.put("for_ms", p.forMs)
          .put("since", p.since)
          .put("state", p.ending() ? "ending" : carriedOut(p.id) ? "out" : "granted");
      if (p.ending()) {
        n.put("end_why", p.endWhy);
      }
      ObjectNode w = n.putObject("awaited");
      awaited(p.id).forEach(w::put);
    }
    ArrayNode ms = to.putArray("proxies");
    for (ProxyMember m : members.values()) {
      ObjectNode n = ms.addObject();
      n.put("name", m.name)
          .put("zone", m.zone)
          .put("version", m.version)
          .put("session", m.alive)
          .put("serving", m.serving)
          .put("seen", m.seen);
      n.put("out", out(TargetType.PROXY, m.name));
    }
    ArrayNode hs = to.putArray("hosts");
    for (Target s : all(TargetType.HOST)) {
      hs.addObject()
          .put("name", s.name())
          .put("zone", s.zone())
          .put("pod", s.pod())
          .put("pool", s.pool())
          .put("kind", s.type())
          .put("out", out(TargetType.HOST, s.name()));
    }
  }

  // --- snapshots

  /**
   * The whole state; {@link #restore} of it gives the same state, and so the same outcomes from
   * there on.
   */
  public void snapshot(ObjectNode to) {
    to.put("version", version)
        .put("change", change)
        .put("next_permit", nextPermit)
        .put("budgets_version", budgetsVersion)
        .put("halted", halted);
    to.put("settle_ms", times.settleMs())
        .put("warm_ms", times.warmMs())
        .put("fence_ms", times.fenceMs());
    ArrayNode bs = to.putArray("budgets");
    budgets.forEach(b -> b.write(bs.addObject()));
    ArrayNode ps = to.putArray("permits");
    for (EvictionGrant p : permits.values()) {
      ObjectNode n = ps.addObject();
      write(p.of, n.putObject("of"));
      n.put("id", p.id)
          .put("who", p.who)
          .put("why", p.why)
          .put("for_ms", p.forMs)
          .put("since", p.since);
      n.put("end_since", p.endSince).put("end_why", p.endWhy).put("leaving", p.leaving);
    }
    ArrayNode ms = to.putArray("members");
    for (ProxyMember m : members.values()) {
      ObjectNode n = ms.addObject();
      n.put("name", m.name)
          .put("zone", m.zone)
          .put("version", m.version)
          .put("joined", m.joined)
          .put("alive", m.alive)
          .put("left", m.left)
          .put("fenced", m.fenced);
      n.put("serving", m.serving)
          .put("seen", m.seen)
          .put("said", m.said)
          .put("settling", m.settling)
          .put("catalogue", m.catalogue);
      m.busy.forEach(n.putArray("busy")::add);
      m.suspects.forEach(n.putArray("suspects")::add);
    }
    ObjectNode cs = to.putObject("catalogues");
    catalogues.forEach(
        (digest, hosts) -> {
          ArrayNode a = cs.putArray(digest);
          hosts.forEach(s -> write(s, a.addObject()));
        });
    ObjectNode ws = to.putObject("warming");
    warming.forEach(ws::put);
  }

  /** Takes the place of all that is known. */
  public void restore(JsonNode n) {
    version = n.path("version").asLong();
    change = n.path("change").asLong();
    nextPermit = n.path("next_permit").asLong(1);
    budgetsVersion = n.path("budgets_version").asLong();
    halted = n.path("halted").asText("");
    times =
        new Times(
            n.path("settle_ms").asLong(), n.path("warm_ms").asLong(), n.path("fence_ms").asLong());
    budgets.clear();
    n.path("budgets").forEach(b -> budgets.add(Budget.read(b, new ArrayList<>())));
    permits.clear();
    for (JsonNode p : n.path("permits")) {
      EvictionGrant x =
          new EvictionGrant(
              p.path("id").asText(),
              TargetCodec.decode(p.path("of")),
              p.path("who").asText(),
              p.path("why").asText(),
              p.path("for_ms").asLong(),
              p.path("since").asLong());
      x.endSince = p.path("end_since").asLong();
      x.endWhy = p.path("end_why").asText();
      x.leaving = p.path("leaving").asBoolean();
      permits.put(x.id, x);
    }
    members.clear();
    for (JsonNode x : n.path("members")) {
      ProxyMember m = new ProxyMember(x.path("name").asText());
      m.zone = x.path("zone").asText();
      m.version = x.path("version").asText(NO_VERSION);
      m.joined = x.path("joined").asLong();
      m.alive = x.path("alive").asBoolean();
      m.left = x.path("left").asBoolean();
      m.fenced = x.path("fenced").asBoolean();
      m.serving = x.path("serving").asBoolean();
      m.seen = x.path("seen").asLong();
      m.said = x.path("said").asLong();
      m.settling = x.path("settling").asLong();
      m.catalogue = x.path("catalogue").asText();
      x.path("busy").forEach(h -> m.busy.add(h.asText()));
      x.path("suspects").forEach(h -> m.suspects.add(h.asText()));
      members.put(m.name, m);
    }
    catalogues.clear();
    n.path("catalogues")
        .properties()
        .forEach(e -> catalogues.put(e.getKey(), subjects(e.getValue())));
    warming.clear();
    n.path("warming").properties().forEach(e -> warming.put(e.getKey(), e.getValue().asLong()));
  }

  /** Reads hosts in their stored form, see {@link TargetCodec}. */
  public static List<Target> subjects(JsonNode array) {
    return TargetCodec.decodeAll(array);
  }

  /** Writes a target in its stored form, see {@link TargetCodec}. */
  public static void write(Target target, ObjectNode json) {
    TargetCodec.encode(target, json);
  }
}
