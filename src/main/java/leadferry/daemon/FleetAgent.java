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
 * Represents this daemon as a member of its fleet.
 *
 * <p>One thread keeps a session, applies the view that replicas push, and reports the daemon's
 * activity. No request waits for this thread: while no replica is reachable, the daemon continues
 * with the last view that it has.
 */
final class FleetAgent implements AutoCloseable {
  private static final int RENEWALS_PER_LEASE = 4;
  private static final long POLL_MILLIS = 50;
  private static final long LEAVE_TIMEOUT_MILLIS = 1_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Phase of the daemon's life that the fleet sees; phases only advance. */
  private enum Phase {
    STARTING,
    SERVING,
    DRAINING
  }

  /**
   * End of the daemon's drain.
   *
   * @param nothingInFlight whether the session may end at once
   * @param listener runs once the replicas know, or after {@link #LEAVE_TIMEOUT_MILLIS}
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
   * Obtains the view in force before the first request: from the replicas, or as {@code
   * on_unreachable} specifies.
   */
  void loadInitialView(DaemonConfig initialConfig) {
    currentConfig = initialConfig;
    long startDeadline = System.nanoTime() + config.startWaitMillis() * NANOS_PER_MILLI;
    boolean mayUseStateFile = config.onUnreachable() == DaemonConfig.UnreachablePolicy.LAST;
    boolean waitLogged = false;
    while (true) {
      boolean responded = join(System.nanoTime() + config.leaseMillis() * NANOS_PER_MILLI);
      if (session.isOpen()) {
        break;
      }
      boolean overdue = !responded && System.nanoTime() - startDeadline >= 0;
      if (overdue && mayUseStateFile) {
        applyStateFile();
        break;
      }
      if (overdue && !waitLogged) {
        waitLogged = true;
        log.line("no replica reachable: waiting (on_unreachable = wait)");
      }
      Sleep.millis(POLL_MILLIS);
    }
    thread.start();
  }

  /** Applies the view in the state file, which this process or its predecessor received last. */
  private void applyStateFile() {
    log.line("no replica reachable: starting with the last known state");
    Optional<JsonNode> stored = stateFile.read();
    if (stored.isPresent()) {
      view.applyView(stored.get(), true, System.nanoTime());
      daemon.applyFleetView(view.drainedEndpoints(), view.isOutOfService());
      view.onSessionStarted();
    }
  }

  /** Called when all listeners accept connections. */
  void onServing() {
    advance(Phase.SERVING);
  }

  /**
   * Called when a reload has changed the configuration, so that the next report carries the new
   * endpoints.
   */
  void onReload(DaemonConfig next) {
    currentConfig = next;
  }

  /**
   * Called when the process starts its drain. The fleet can't refuse that; it learns of it from the
   * next report.
   */
  void onDraining() {
    advance(Phase.DRAINING);
  }

  private synchronized void advance(Phase next) {
    if (next.compareTo(phase) > 0) {
      phase = next;
    }
  }

  /**
   * Called when the drain has ended.
   *
   * @param nothingInFlight whether the session may end at once
   * @param listener runs once the replicas know, or after {@link #LEAVE_TIMEOUT_MILLIS}
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
        log.failure("fleet agent failed", e);
        Sleep.millis(POLL_MILLIS);
      }
    }
  }

  /**
   * Joins or renews the session if that is due.
   *
   * @return time of the next renewal (ns)
   */
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

  /**
   * Requests a session.
   *
   * @return false if no replica responded
   */
  private boolean join(long deadlineNanos) {
    LogEntry.EndpointCatalog catalog = catalogs.catalogOf(currentConfig);
    LogEntry.Join join =
        new LogEntry.Join(
            config.name(),
            incarnation,
            config.leaseMillis(),
            config.zone(),
            config.version(),
            catalog);
    long sentNanos = System.nanoTime();
    Optional<SessionClient.Result> result = submit(() -> client.join(join, deadlineNanos));
    if (result.isEmpty()) {
      return false;
    }
    if (result.get() instanceof SessionClient.Joined joined) {
      onJoined(joined, catalog, sentNanos, deadlineNanos);
    } else if (result.get() instanceof SessionClient.Refused refused) {
      log.event("join refused by the fleet: " + refused.reasons(), "name", config.name());
      sleepRenewalInterval();
    }
    return true;
  }

  private void onJoined(
      SessionClient.Joined joined,
      LogEntry.EndpointCatalog catalog,
      long sentNanos,
      long deadlineNanos) {
    session.onJoined(joined.session(), catalog);
    view.onSessionStarted();
    // The response may repeat that of an earlier join. The lease therefore counts only from a
    // renewal, which reaches the present leader.
    renew(sentNanos, deadlineNanos);
    if (session.isOpen()) {
      onView(joined.view());
      log.event("joined fleet " + config.fleet(), "name", config.name(), "session", session.id());
    }
  }

  private void renew(long sentNanos, long deadlineNanos) {
    Optional<ObjectNode> loadReport =
        reportsWanted ? Optional.of(daemon.outcomeReport()) : Optional.empty();
    Optional<SessionClient.Renewal> renewal =
        replicas.attempt(
            () -> client.renew(config.name(), session.id(), loadReport, deadlineNanos));
    if (renewal.isEmpty()) {
      return;
    }
    reportsWanted = renewal.get().reportRequested();
    if (renewal.get().live()) {
      session.onRenewed(sentNanos);
    } else {
      session.onLost();
      log.line("session ended: joining again");
    }
  }

  /** Reports the daemon's activity if it has changed since the last report. */
  private void report(long deadlineNanos) {
    MemberSession.Activity activity = activity();
    LogEntry.EndpointCatalog catalog = catalogs.catalogOf(currentConfig);
    Optional<LogEntry.MemberReport> report = session.nextReport(activity, catalog);
    if (report.isEmpty()) {
      return;
    }
    Optional<SessionClient.Result> result =
        submit(() -> client.report(report.get(), deadlineNanos));
    if (result.isPresent() && result.get() instanceof SessionClient.Applied) {
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

  /**
   * Returns the result of a submission; empty if no replica responded or the submission was
   * rejected before it reached the replicated log.
   */
  private Optional<SessionClient.Result> submit(
      ReplicaReachability.Call<SessionClient.Result> submission) {
    Optional<SessionClient.Result> result = replicas.attempt(submission);
    if (result.isPresent() && result.get() instanceof SessionClient.Rejected rejected) {
      log.line("call rejected by the replicas: " + rejected.reason());
      sleepRenewalInterval();
      return Optional.empty();
    }
    return result;
  }

  private void sleepRenewalInterval() {
    Sleep.millis(config.leaseMillis() / RENEWALS_PER_LEASE);
  }

  private void onView(JsonNode pushedView) {
    long now = System.nanoTime();
    if (view.applyView(pushedView, session.leaseHolds(now), now)) {
      applyView();
    }
  }

  private void applyView() {
    daemon.applyFleetView(view.drainedEndpoints(), view.isOutOfService());
    stateFile.write(view);
  }

  private void leave(Departure departure) {
    long deadlineNanos = System.nanoTime() + LEAVE_TIMEOUT_MILLIS * NANOS_PER_MILLI;
    if (session.isOpen() && departure.nothingInFlight()) {
      submit(() -> client.leave(new LogEntry.Leave(config.name(), session.id()), deadlineNanos));
    }
    client.close();
    departure.listener().run();
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }
}
