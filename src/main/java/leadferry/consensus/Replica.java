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
 * One replica: its copy of the log, the state machine that applies the log and, while this replica
 * leads, the lease timers.
 *
 * <p>The response to a submitted entry is sent once a majority has the entry on disk and this
 * replica has applied it. The responses to renewals and reads are sent only after {@link
 * LeadershipConfirmation} has confirmed that this replica leads.
 */
public final class Replica implements AutoCloseable {
  private static final int TICK_MILLIS = 50;

  private final ReplicaConfig config;
  private final Consumer<String> log;
  private final FleetStateMachine stateMachine;
  private final LeaderLeaseTimers leaderTimers;
  private final MemberReportTable reports = new MemberReportTable();
  private final ScheduledExecutorService timerExecutor =
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
   * @param allowEmptyFolder whether this replica may start with an empty folder, as a new one does
   * @param fatalErrorListener receives an error after which this replica can't continue
   * @throws IOException if the folder or an address can't be used; the message says what was
   *     expected
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
    RaftGroupId groupId = RatisServer.groupIdOf(config.fleet());
    StartupOption startup = ReplicaFolder.claim(config, groupId, allowEmptyFolder);
    this.apiServer = new ReplicaApiServer(config, this);
    try {
      this.server =
          new RatisServer(
              config,
              groupId,
              startup,
              new RatisStateMachine(stateMachine, apiServer::publishView, fatalErrorListener));
    } catch (IOException | RuntimeException e) {
      apiServer.close();
      throw e;
    }
    this.confirmation = new LeadershipConfirmation(server, timerExecutor);
    timerExecutor.scheduleWithFixedDelay(
        this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    apiServer.listen();
  }

  /** Submits an entry to the log and passes the response to {@code listener}. */
  void submit(ObjectNode entry, Consumer<ReplicaResponse> listener) {
    if (!isLeading()) {
      listener.accept(redirectResponse());
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
   * Passes the result of {@code bodySupplier} to {@code listener} once a majority has confirmed
   * that this replica leads. Without a confirmation the response is {@link
   * ReplicaResponse.Redirect} or {@link ReplicaResponse.Undecided}.
   */
  void respondAsLeader(
      Function<Replica, ObjectNode> bodySupplier, Consumer<ReplicaResponse> listener) {
    confirmation.request(
        result ->
            listener.accept(
                result.confirmed()
                    ? new ReplicaResponse.Completed(bodySupplier.apply(this))
                    : unconfirmedResponse(result.reason())));
  }

  private ReplicaResponse unconfirmedResponse(String reason) {
    return isLeading() ? new ReplicaResponse.Undecided(reason) : redirectResponse();
  }

  private boolean isLeading() {
    return server.leadershipTerm() != RatisServer.NOT_LEADING;
  }

  private ReplicaResponse redirectResponse() {
    return new ReplicaResponse.Redirect(server.otherLeaderName());
  }

  // --- operations of respondAsLeader

  /** Runs a query on the state machine. */
  ObjectNode query(Function<FleetStateMachine, ObjectNode> query) {
    synchronized (stateMachine) {
      return query.apply(stateMachine);
    }
  }

  /**
   * Renews a session and stores the report sent with the renewal; returns false if the session has
   * ended.
   */
  boolean renewSession(String name, long session, JsonNode report) {
    boolean renewed = leaderTimers.renewSession(name, session, System.nanoTime());
    if (renewed) {
      reports.put(name, session, report, System.nanoTime());
    }
    return renewed;
  }

  /** Renews the lease of a release driver; returns false if the lease has ended. */
  boolean renewDriverLease(String release, long fence) {
    return leaderTimers.renewDriverLease(release, fence, System.nanoTime());
  }

  /** Returns whether members should send load reports with their renewals. */
  boolean shouldSendReports() {
    synchronized (stateMachine) {
      return stateMachine.hasActiveRelease();
    }
  }

  /** Returns the newest report of each member with a live session. */
  ObjectNode memberReports() {
    synchronized (stateMachine) {
      return reports.describe(stateMachine.liveSessions(), System.nanoTime());
    }
  }

  // --- operations of any replica

  /** Returns the state machine. Callers synchronize on it. */
  FleetStateMachine stateMachine() {
    return stateMachine;
  }

  /** Returns the health of this replica for operators. */
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
      // Guards against the end of this task: the executor drops a periodic task that throws.
      log.accept("replica timer task failed: " + e);
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
    timerExecutor.shutdownNow();
    apiServer.close();
    server.close();
  }
}
