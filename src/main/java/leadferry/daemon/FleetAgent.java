package leadferry.daemon;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.UUID;
import leadferry.consensus.Json;
import leadferry.consensus.Lease;
import leadferry.consensus.LogEntryCodec;
import leadferry.consensus.Pause;
import leadferry.consensus.ReplicaClient;
import leadferry.consensus.ReplicaClient.UnreachableException;
import leadferry.disruption.DisruptionState;
import leadferry.disruption.ProxyMemberView;
import leadferry.disruption.Target;
import leadferry.disruption.TargetType;
import leadferry.engine.Log;
import leadferry.engine.UpstreamHosts;

/**
 * This daemon as a member of its fleet: one thread that keeps a session, goes by what the keepers
 * tell, and tells what it does. No request waits for it: without keepers the daemon goes on by what
 * it knows.
 *
 * <pre>
 *   begin: join, or the state file ... serving: renew, take news, tell ... leaving ... gone
 * </pre>
 */
final class FleetAgent implements AutoCloseable {
  /** Renewals a lease. */
  private static final int RENEWALS = 4;

  private static final long LOOK_MS = 50;
  private static final long LEAVE_MS = 1_000;

  private final DaemonConfig.Fleet config;
  private final Daemon daemon;
  private final Log log;
  private final String incarnation = UUID.randomUUID().toString();
  private final ReplicaClient keepers;
  private final Lease lease;
  private final ProxyMemberView view;
  private final Thread thread;
  private long session;
  private long number;
  private String told = "";
  private String toldDigest = "";
  private boolean reachable = true;
  private boolean reportsWanted;
  private String keptState = "";
  private DaemonConfig catalogued;
  private ObjectNode catalogue;
  private volatile DaemonConfig lists;
  private volatile boolean serving;
  private volatile boolean leaving;
  private volatile boolean closed;
  private volatile Runnable gone;
  private volatile boolean carriesNothing;

  FleetAgent(DaemonConfig.Fleet config, Daemon daemon, Log log) {
    this.config = config;
    this.daemon = daemon;
    this.log = log;
    this.keepers = new ReplicaClient(config.fleet(), config.keepers(), m -> take(m.path("view")));
    this.lease = new Lease(config.leaseMs());
    this.view = new ProxyMemberView(config.name());
    this.thread = new Thread(this::run, "fleet");
    thread.setDaemon(true);
  }

  /**
   * Learns what is in force before the first request: from the keepers, or as {@code
   * on_unreachable} says.
   */
  void begin(DaemonConfig first) {
    lists = first;
    long until = System.nanoTime() + config.startWaitMs() * 1_000_000L;
    boolean last = config.onUnreachable() == DaemonConfig.Unreachable.LAST;
    boolean said = false;
    while (session == 0) {
      long now = System.nanoTime();
      boolean answered = join(now + config.leaseMs() * 1_000_000L);
      if (session != 0) {
        break;
      }
      if (!answered && last && System.nanoTime() - until >= 0) {
        known();
        break;
      }
      if (!answered && !said && System.nanoTime() - until >= 0) {
        said = true;
        log.line("no keeper can be reached: waiting, as on_unreachable says");
      }
      Pause.of(LOOK_MS);
    }
    thread.start();
  }

  /** What was in force when this process, or the one before it, last heard. */
  private void known() {
    log.line("no keeper can be reached: starting by what was last in force");
    try {
      if (config.state() != null && Files.exists(config.state())) {
        ObjectNode o = Json.read(Files.readAllBytes(config.state()));
        if (o != null && o.path("fleet").asText().equals(config.fleet())) {
          view.take(o.path("view"), true, System.nanoTime());
          daemon.agreed(view.hostsOut(), view.away());
          view.forget();
        } else {
          log.line(
              config.state() + ": not of fleet " + config.fleet() + ": nothing is taken from it");
        }
      }
    } catch (IOException e) {
      log.failure(config.state().toString(), e);
    }
  }

  /** The listeners are there. */
  void serving() {
    serving = true;
  }

  /** A reload has changed what is balanced over. */
  void lists(DaemonConfig next) {
    lists = next;
  }

  /** SIGTERM can't be refused: it is told. */
  void leaving() {
    leaving = true;
  }

  /**
   * The drain is over; {@code then} runs once the keepers know, or can't be told within a second.
   */
  void gone(boolean nothingInFlight, Runnable then) {
    carriesNothing = nothingInFlight;
    gone = then;
  }

  // --- on the member's own thread

  private void run() {
    long nextRenewal = System.nanoTime();
    long every = config.leaseMs() * 1_000_000L / RENEWALS;
    while (!closed) {
      try {
        long now = System.nanoTime();
        if (gone != null) {
          leave();
          return;
        }
        if (session == 0) {
          join(now + every);
          nextRenewal = System.nanoTime() + every;
        } else if (now - nextRenewal >= 0) {
          renew(now, now + every);
          nextRenewal = now + every;
        }
        now = System.nanoTime();
        if (view.look(lease.holds(now), now)) {
          inForce();
        }
        if (session != 0) {
          tell(now + every);
        }
        keepers.listen(Math.min(nextRenewal, System.nanoTime() + LOOK_MS * 1_000_000L));
      } catch (RuntimeException e) {
        log.failure("the fleet's member", e);
        Pause.of(LOOK_MS);
      }
    }
  }

  /** Asks for a session; false if nobody answered. */
  private boolean join(long until) {
    ObjectNode entry =
        Json.object().put("op", "join").put("name", config.name()).put("incarnation", incarnation);
    entry
        .put("lease_ms", config.leaseMs())
        .put("zone", config.zone())
        .put("runs", config.version());
    entry.setAll(catalogue());
    long asked = System.nanoTime();
    ObjectNode o = submit(entry, until);
    if (o == null) {
      return false;
    }
    if (!o.path("status").asText().equals("done")) {
      log.event("the fleet does not take this process in: " + o.path("why"), "name", config.name());
      Pause.of(config.leaseMs() / RENEWALS);
      return true;
    }
    // It may be the session of before: the numbers of its words go on, or the ledger would pass
    // them over as old.
    session = o.path("session").asLong();
    told = "";
    toldDigest = entry.path("digest").asText();
    // The answer may be that of an earlier attempt: the lease counts from a renewal only, which
    // asks the leader anew.
    view.forget();
    renew(asked, until);
    if (session != 0) {
      take(o.path("view"));
      log.event("member of fleet " + config.fleet(), "name", config.name(), "session", session);
    }
    return true;
  }

  private void renew(long asked, long until) {
    try {
      ObjectNode asks =
          Json.object().put("op", "renew").put("name", config.name()).put("session", session);
      if (reportsWanted) {
        asks.set("report", daemon.report());
      }
      ObjectNode o = keepers.call(asks, until);
      reachable(true);
      reportsWanted = o.path("reports").asBoolean();
      if (o.path("status").asText().equals("done")) {
        lease.confirmed(asked);
      } else {
        lease.lost();
        session = 0;
        log.line("the session is over: joining again");
      }
    } catch (UnreachableException e) {
      reachable(false);
    }
  }

  private void reachable(boolean now) {
    if (now != reachable) {
      reachable = now;
      log.line(
          now
              ? "keepers can be reached again"
              : "no keeper can be reached: going on by what is known");
    }
  }

  private ObjectNode submit(ObjectNode entry, long until) {
    try {
      ObjectNode o = keepers.call(Json.object().put("op", "submit").set("entry", entry), until);
      reachable(true);
      if (o.has("error")) {
        log.line("keepers: " + o.path("error").asText());
        Pause.of(config.leaseMs() / RENEWALS);
        return null;
      }
      return o;
    } catch (UnreachableException e) {
      reachable(false);
      return null;
    }
  }

  /** The hosts that it balances over, with their digest; made anew with each reload only. */
  private ObjectNode catalogue() {
    DaemonConfig now = lists;
    if (now == catalogued) {
      return catalogue;
    }
    TreeMap<String, Target> all = new TreeMap<>();
    for (DaemonConfig.Pool p : now.pools().values()) {
      for (UpstreamHosts.Member m : p.members()) {
        all.putIfAbsent(
            m.name(),
            new Target(
                TargetType.HOST,
                m.name(),
                m.zone(),
                Long.toHexString(m.cell()),
                p.name(),
                m.kind()));
      }
    }
    ArrayNode list = Json.object().putArray("hosts");
    all.values().forEach(s -> DisruptionState.write(s, list.addObject()));
    catalogue =
        Json.object()
            .put("digest", LogEntryCodec.catalogOf(java.util.List.copyOf(all.values())).digest())
            .set("hosts", list);
    catalogued = now;
    return catalogue;
  }

  private void take(com.fasterxml.jackson.databind.JsonNode news) {
    long now = System.nanoTime();
    if (view.take(news, lease.holds(now), now)) {
      inForce();
    }
  }

  private void inForce() {
    daemon.agreed(view.hostsOut(), view.away());
    ObjectNode o = Json.object().put("fleet", config.fleet());
    view.write(o.putObject("view"));
    String state = Json.text(o);
    if (config.state() != null && !state.equals(keptState)) {
      try {
        Path part = config.state().resolveSibling(config.state().getFileName() + ".part");
        Files.writeString(part, state);
        Files.move(part, config.state(), StandardCopyOption.ATOMIC_MOVE);
        keptState = state;
      } catch (IOException e) {
        log.failure(config.state().toString(), e);
      }
    }
  }

  /** Tells what has changed of what it does. */
  private void tell(long until) {
    ObjectNode now =
        Json.object()
            .put("seen", view.version())
            .put("serving", serving && !leaving && !view.away());
    Set<String> busy = new TreeSet<>();
    if (!view.hostsOut().isEmpty()) {
      busy.addAll(daemon.hosts(Worker::busyHosts));
      busy.retainAll(view.hostsOut());
    }
    busy.forEach(now.putArray("busy")::add);
    new TreeSet<>(daemon.hosts(Worker::ejectedHosts)).forEach(now.putArray("suspects")::add);
    ObjectNode hosts = catalogue();
    boolean newLists = !hosts.path("digest").asText().equals(toldDigest);
    String text = Json.text(now);
    if (text.equals(told) && !newLists) {
      return;
    }
    now.put("op", "tell")
        .put("name", config.name())
        .put("session", session)
        .put("number", ++number);
    if (newLists) {
      now.setAll(hosts);
    }
    ObjectNode o = submit(now, until);
    if (o != null && o.path("status").asText().equals("done")) {
      told = text;
      toldDigest = hosts.path("digest").asText();
    }
  }

  private void leave() {
    long until = System.nanoTime() + LEAVE_MS * 1_000_000L;
    if (session != 0 && carriesNothing) {
      submit(
          Json.object().put("op", "leave").put("name", config.name()).put("session", session),
          until);
    }
    keepers.close();
    gone.run();
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }
}
