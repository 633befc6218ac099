package leadferry.consensus;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.server.storage.RaftStorage.StartupOption;

/**
 * One replica: its copy of the log, the state machine that it is applied to, and, while it leads,
 * the clock over leases.
 *
 * <p>An entry is answered once a majority has it on disk and it has been applied here. Whoever
 * renews a lease, or reads, is answered only after {@link LeadershipConfirmation}.
 */
public final class Replica implements AutoCloseable {
  private static final int TICK_MILLIS = 50;

  private final ReplicaConfig config;
  private final Consumer<String> log;
  private final FleetStateMachine stateMachine;
  private final LeaderLeaseTimers leaderTimers;
  private final MemberReportTable reports = new MemberReportTable();
  private final ScheduledExecutorService clockThread =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "replica-clock");
            thread.setDaemon(true);
            return thread;
          });
  private final RatisServer server;
  private final LeadershipConfirmation confirmation;
  private final ReplicaApiServer apiServer;

  /**
   * Starts a replica.
   *
   * @param allowEmptyFolder whether an empty folder may be taken for a new replica's
   * @param fatalErrorListener is told what this replica can't go on after
   * @throws IOException if its folder or an address can't be had, with what was expected
   */
  public Replica(
      ReplicaConfig config,
      boolean allowEmptyFolder,
      Consumer<String> log,
      Consumer<Throwable> fatalErrorListener)
      throws IOException {
    this.config = config;
    this.log = log;
    this.stateMachine = new FleetStateMachine(config.times());
    this.leaderTimers = new LeaderLeaseTimers(stateMachine);
    RaftGroupId group = RatisServer.groupIdOf(config.fleet());
    StartupOption startup = ReplicaFolder.claim(config, group, allowEmptyFolder);
    this.apiServer = new ReplicaApiServer(config, this);
    try {
      this.server =
          new RatisServer(
              config,
              group,
              startup,
              new RatisStateMachine(stateMachine, apiServer::publishView, fatalErrorListener));
    } catch (IOException | RuntimeException e) {
      apiServer.close();
      throw e;
    }
    this.confirmation = new LeadershipConfirmation(server, clockThread);
    clockThread.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    apiServer.listen();
  }

  /** Puts an entry into the log and hands on the outcome, once there is one. */
  void submit(ObjectNode entry, Consumer<ReplicaResponse> listener) {
    if (!isLeading()) {
      listener.accept(redirect());
      return;
    }
    server
        .append(Json.bytes(entry.put("schema", LogEntryCodec.SCHEMA)))
        .whenComplete(
            (reply, failure) ->
                listener.accept(
                    RatisServer.failureOf(reply, failure)
                        .<ReplicaResponse>map(ReplicaResponse.Undecided::new)
                        .orElseGet(
                            () ->
                                new ReplicaResponse.Completed(
                                    Json.parse(reply.getMessage().getContent().toByteArray())))));
  }

  /**
   * Hands on what {@code answer} gives once a majority has confirmed that this replica leads; a
   * redirect, or undecided, where none has.
   */
  void respondAsLeader(
      Function<Replica, ObjectNode> bodySupplier, Consumer<ReplicaResponse> listener) {
    confirmation.request(
        result ->
            listener.accept(
                result.confirmed()
                    ? new ReplicaResponse.Completed(bodySupplier.apply(this))
                    : unconfirmed(result.reason())));
  }

  private ReplicaResponse unconfirmed(String reason) {
    return isLeading() ? new ReplicaResponse.Undecided(reason) : redirect();
  }

  private boolean isLeading() {
    return server.leadershipTerm() != RatisServer.NOT_LEADING;
  }

  private ReplicaResponse redirect() {
    return new ReplicaResponse.Redirect(server.otherLeaderName());
  }

  // --- for answerAsLeader

  /** Asks the state machine something. */
  ObjectNode query(Function<FleetStateMachine, ObjectNode> query) {
    synchronized (stateMachine) {
      return query.apply(stateMachine);
    }
  }

  /** Renews a session and keeps the report that came with it; false where the session is over. */
  boolean renewSession(String name, long session, JsonNode report) {
    boolean renewed = leaderTimers.renewSession(name, session, System.nanoTime());
    if (renewed) {
      reports.put(name, session, report, System.nanoTime());
    }
    return renewed;
  }

  /** Renews the lease of a release's driver; false where it is over. */
  boolean renewDriverLease(String release, long fence) {
    return leaderTimers.renewDriverLease(release, fence, System.nanoTime());
  }

  /** Whether members are to send load reports with their renewals. */
  boolean shouldSendReports() {
    synchronized (stateMachine) {
      return stateMachine.hasActiveRelease();
    }
  }

  /** The newest report of each member whose session lives. */
  ObjectNode memberReports() {
    synchronized (stateMachine) {
      return reports.describe(stateMachine.liveSessions(), System.nanoTime());
    }
  }

  // --- for any replica

  /** The state machine; its monitor guards it. */
  FleetStateMachine stateMachine() {
    return stateMachine;
  }

  /** What staff may want to know of this replica itself. */
  ObjectNode health() {
    ObjectNode health = Json.object().put("keeper", config.name());
    server.writeHealth(health);
    return health;
  }

  private void tick() {
    try {
      apiServer.publishView();
      if (!isLeading()) {
        return;
      }
      long term = server.currentTerm();
      for (String timer : leaderTimers.pollExpired(term, System.nanoTime())) {
        submitExpiry(timer);
      }
    } catch (IOException | RuntimeException e) {
      // Guards against a periodic task that ends for ever with its first exception.
      log.accept("the replica's clock: " + e);
    }
  }

  private void submitExpiry(String timer) {
    submit(
        LogEntryCodec.encodeExpiry(timer),
        response -> {
          if (!(response instanceof ReplicaResponse.Completed)) {
            leaderTimers.allowResubmission(timer);
          }
        });
  }

  @Override
  public void close() throws IOException {
    clockThread.shutdownNow();
    apiServer.close();
    server.close();
  }
}
