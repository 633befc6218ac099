package leadferry.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.UUID;
import leadferry.consensus.LogEntry;
import leadferry.consensus.SessionClient;
import leadferry.consensus.Sleep;
import leadferry.disruption.ProxyMemberView;
import leadferry.engine.Log;

/**
 * This daemon as a member of its fleet: one thread that keeps a session, goes by the view that
 * replicas push, and reports what the daemon does. No request waits for it: without replicas the
 * daemon goes on by what it knows.
 */
final class FleetAgent implements AutoCloseable {
  private static final int RENEWALS_PER_LEASE = 4;
  private static final long POLL_MILLIS = 50;
  private static final long LEAVE_TIMEOUT_MILLIS = 1_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** The daemon's life as the fleet is told of it; it only goes forward. */
  private enum Phase {
    STARTING,
    SERVING,
    DRAINING
  }

  /**
   * The daemon's drain is over.
   *
   * @param nothingInFlight whether the session may end at once
   */
  private record Departure(boolean nothingInFlight, Runnable listener) {}

  private final DaemonConfig.Fleet config;
  private final Daemon daemon;
  private final Log log;
  private final String incarnation = UUID.randomUUID().toString();
  private final SessionClient client;
  private final MemberSession session;
  private final ReplicaReachability replicas;
  private final ProxyMemberView view;
  private final FleetStateFile stateFile;
  private final EndpointCatalogCache catalogs = new EndpointCatalogCache();
  private final Thread thread;
  private boolean reportsWanted;
  private volatile DaemonConfig currentConfig;
  private volatile Phase phase = Phase.STARTING;
  private volatile Departure departure;
  private volatile boolean closed;

  FleetAgent(DaemonConfig.Fleet config, Daemon daemon, Log log) {
    this.config = config;
    this.daemon = daemon;
    this.log = log;
    this.client = new SessionClient(config.fleet(), config.replicas(), this::onView);
    this.session = new MemberSession(config.name(), config.leaseMillis());
    this.replicas = new ReplicaReachability(log);
    this.view = new ProxyMemberView(config.name());
    this.stateFile = new FleetStateFile(config.fleet(), config.stateFile(), log);
    this.thread = new Thread(this::run, "fleet");
    thread.setDaemon(true);
  }

  /**
   * Learns what is in force before the first request: from the replicas, or as {@code
   * on_unreachable} says.
   */
  void loadInitialView(DaemonConfig first) {
    currentConfig = first;
    long startDeadline = System.nanoTime() + config.startWaitMillis() * NANOS_PER_MILLI;
    boolean mayUseStateFile = config.onUnreachable() == DaemonConfig.UnreachablePolicy.LAST;
    boolean waitLogged = false;
    while (true) {
      boolean answered = join(System.nanoTime() + config.leaseMillis() * NANOS_PER_MILLI);
      if (session.isOpen()) {
        break;
      }
      boolean overdue = !answered && System.nanoTime() - startDeadline >= 0;
      if (overdue && mayUseStateFile) {
        applyStateFile();
        break;
      }
      if (overdue && !waitLogged) {
        waitLogged = true;
        log.line("no replica can be reached: waiting, as on_unreachable says");
      }
      Sleep.millis(POLL_MILLIS);
    }
    thread.start();
  }

  /** Goes by what was in force when this process, or the one before it, last heard. */
  private void applyStateFile() {
    log.line("no replica can be reached: starting by what was last in force");
    Optional<JsonNode> stored = stateFile.read();
    if (stored.isPresent()) {
      view.applyView(stored.get(), true, System.nanoTime());
      daemon.applyFleetView(view.drainedEndpoints(), view.isOutOfService());
      view.onSessionStarted();
    }
  }

  /** The listeners are there. */
  void onServing() {
    advance(Phase.SERVING);
  }

  /** A reload has changed what is balanced over. */
  void onReload(DaemonConfig next) {
    currentConfig = next;
  }

  /** The process was told to end: the fleet can't refuse that, and hears of it. */
  void onDraining() {
    advance(Phase.DRAINING);
  }

  private synchronized void advance(Phase next) {
    if (next.compareTo(phase) > 0) {
      phase = next;
    }
  }

  /**
   * The drain is over; {@code listener} runs once the replicas know, or can't be told within a
   * second.
   */
  void onDrained(boolean nothingInFlight, Runnable listener) {
    departure = new Departure(nothingInFlight, listener);
  }

  // --- on the agent's own thread

  private void run() {
    long renewalIntervalNanos = config.leaseMillis() * NANOS_PER_MILLI / RENEWALS_PER_LEASE;
    long nextRenewal = System.nanoTime();
    while (!closed) {
      try {
        if (departure != null) {
          leave(departure);
          return;
        }
        nextRenewal = keepSession(nextRenewal, renewalIntervalNanos);
        long now = System.nanoTime();
        if (view.refresh(session.leaseHolds(now), now)) {
          applyView();
        }
        if (session.isOpen()) {
          report(now + renewalIntervalNanos);
        }
        client.receiveViews(
            Math.min(nextRenewal, System.nanoTime() + POLL_MILLIS * NANOS_PER_MILLI));
      } catch (RuntimeException e) {
        log.failure("the fleet agent", e);
        Sleep.millis(POLL_MILLIS);
      }
    }
  }

  /** Joins or renews where that is due, and gives when the next renewal is (ns). */
  private long keepSession(long nextRenewal, long renewalIntervalNanos) {
    long now = System.nanoTime();
    if (!session.isOpen()) {
      join(now + renewalIntervalNanos);
      return System.nanoTime() + renewalIntervalNanos;
    }
    if (now - nextRenewal < 0) {
      return nextRenewal;
    }
    renew(now, now + renewalIntervalNanos);
    return now + renewalIntervalNanos;
  }

  /** Asks for a session; false if nobody answered. */
  private boolean join(long deadline) {
    LogEntry.EndpointCatalog catalog = catalogs.catalogOf(currentConfig);
    LogEntry.Join join =
        new LogEntry.Join(
            config.name(),
            incarnation,
            config.leaseMillis(),
            config.zone(),
            config.version(),
            catalog);
    long askedAt = System.nanoTime();
    Optional<SessionClient.Result> answer = submit(() -> client.join(join, deadline));
    if (answer.isEmpty()) {
      return false;
    }
    if (answer.get() instanceof SessionClient.Joined joined) {
      onJoined(joined, catalog, askedAt, deadline);
    } else if (answer.get() instanceof SessionClient.Refused refused) {
      log.event("not admitted to the fleet: " + refused.reasons(), "name", config.name());
      sleepRenewalInterval();
    }
    return true;
  }

  private void onJoined(
      SessionClient.Joined joined, LogEntry.EndpointCatalog catalog, long askedAt, long deadline) {
    session.onJoined(joined.session(), catalog);
    view.onSessionStarted();
    // The answer may be that of an earlier attempt: the lease counts from a renewal only, which
    // asks the leader anew.
    renew(askedAt, deadline);
    if (session.isOpen()) {
      onView(joined.view());
      log.event(
          "member of fleet " + config.fleet(), "name", config.name(), "session", session.id());
    }
  }

  private void renew(long askedAt, long deadline) {
    Optional<ObjectNode> loadReport =
        reportsWanted ? Optional.of(daemon.outcomeReport()) : Optional.empty();
    Optional<SessionClient.Renewal> renewal =
        replicas.attempt(() -> client.renew(config.name(), session.id(), loadReport, deadline));
    if (renewal.isEmpty()) {
      return;
    }
    reportsWanted = renewal.get().reportRequested();
    if (renewal.get().live()) {
      session.onRenewed(askedAt);
    } else {
      session.onLost();
      log.line("the session is over: joining again");
    }
  }

  /** Reports what has changed of what the daemon does. */
  private void report(long deadline) {
    MemberSession.Activity activity = activity();
    LogEntry.EndpointCatalog catalog = catalogs.catalogOf(currentConfig);
    Optional<LogEntry.MemberReport> report = session.nextReport(activity, catalog);
    if (report.isEmpty()) {
      return;
    }
    Optional<SessionClient.Result> answer = submit(() -> client.report(report.get(), deadline));
    if (answer.isPresent() && answer.get() instanceof SessionClient.Applied) {
      session.onReported(activity, catalog);
    }
  }

  private MemberSession.Activity activity() {
    boolean serving = phase == Phase.SERVING && !view.isOutOfService();
    SortedSet<String> busy = new TreeSet<>();
    if (!view.drainedEndpoints().isEmpty()) {
      busy.addAll(daemon.collectHosts(Worker::busyHosts));
      busy.retainAll(view.drainedEndpoints());
    }
    SortedSet<String> suspected = new TreeSet<>(daemon.collectHosts(Worker::ejectedHosts));
    return new MemberSession.Activity(view.version(), serving, busy, suspected);
  }

  /** The answer, unless no replica gave one or it was rejected before it reached the log. */
  private Optional<SessionClient.Result> submit(
      ReplicaReachability.Call<SessionClient.Result> submission) {
    Optional<SessionClient.Result> result = replicas.attempt(submission);
    if (result.isPresent() && result.get() instanceof SessionClient.Rejected rejected) {
      log.line("replicas: " + rejected.reason());
      sleepRenewalInterval();
      return Optional.empty();
    }
    return result;
  }

  private void sleepRenewalInterval() {
    Sleep.millis(config.leaseMillis() / RENEWALS_PER_LEASE);
  }

  private void onView(JsonNode pushed) {
    long now = System.nanoTime();
    if (view.applyView(pushed, session.leaseHolds(now), now)) {
      applyView();
    }
  }

  private void applyView() {
    daemon.applyFleetView(view.drainedEndpoints(), view.isOutOfService());
    stateFile.write(view);
  }

  private void leave(Departure last) {
    long deadline = System.nanoTime() + LEAVE_TIMEOUT_MILLIS * NANOS_PER_MILLI;
    if (session.isOpen() && last.nothingInFlight()) {
      submit(() -> client.leave(new LogEntry.Leave(config.name(), session.id()), deadline));
    }
    client.close();
    last.listener().run();
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }
}
