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
  private final LeaderClock leaderClock;
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
  private final ReplicaEndpoint endpoint;

  /**
   * Starts a replica.
   *
   * @param fresh whether an empty folder may be taken for a new replica's
   * @param fatal is told what this replica can't go on after
   * @throws IOException if its folder or an address can't be had, with what was expected
   */
  public Replica(
      ReplicaConfig config, boolean fresh, Consumer<String> log, Consumer<Throwable> fatal)
      throws IOException {
    this.config = config;
    this.log = log;
    this.stateMachine = new FleetStateMachine(config.times());
    this.leaderClock = new LeaderClock(stateMachine);
    RaftGroupId group = RatisServer.groupOf(config.fleet());
    StartupOption startup = ReplicaFolder.claim(config, group, fresh);
    this.endpoint = new ReplicaEndpoint(config, this);
    try {
      this.server =
          new RatisServer(
              config,
              group,
              startup,
              new RatisStateMachine(stateMachine, endpoint::publishView, fatal));
    } catch (IOException | RuntimeException e) {
      endpoint.close();
      throw e;
    }
    this.confirmation = new LeadershipConfirmation(server, clockThread);
    clockThread.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    endpoint.listen();
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
                                new ReplicaResponse.Answered(
                                    Json.read(reply.getMessage().getContent().toByteArray())))));
  }

  /**
   * Hands on what {@code answer} gives once a majority has confirmed that this replica leads; a
   * redirect, or undecided, where none has.
   */
  void answerAsLeader(Function<Replica, ObjectNode> answer, Consumer<ReplicaResponse> listener) {
    confirmation.request(
        result ->
            listener.accept(
                result.confirmed()
                    ? new ReplicaResponse.Answered(answer.apply(this))
                    : unconfirmed(result.reason())));
  }

  private ReplicaResponse unconfirmed(String reason) {
    return isLeading() ? new ReplicaResponse.Undecided(reason) : redirect();
  }

  private boolean isLeading() {
    return server.leadingTerm() != RatisServer.NOT_LEADING;
  }

  private ReplicaResponse redirect() {
    return new ReplicaResponse.Redirect(server.otherLeader());
  }

  // --- for answerAsLeader

  /** Asks the state machine something. */
  ObjectNode query(Function<FleetStateMachine, ObjectNode> question) {
    synchronized (stateMachine) {
      return question.apply(stateMachine);
    }
  }

  /** Renews a session and keeps the report that came with it; false where the session is over. */
  boolean renewSession(String name, long session, JsonNode report) {
    boolean lives = leaderClock.renewSession(name, session, System.nanoTime());
    if (lives) {
      reports.put(name, session, report, System.nanoTime());
    }
    return lives;
  }

  /** Renews the lease of a release's driver; false where it is over. */
  boolean renewDriver(String release, long fence) {
    return leaderClock.renewDriver(release, fence, System.nanoTime());
  }

  /** Whether members are to send load reports with their renewals. */
  boolean reportsWanted() {
    synchronized (stateMachine) {
      return stateMachine.reportsWanted();
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
      endpoint.publishView();
      if (!isLeading()) {
        return;
      }
      long term = server.currentTerm();
      for (String timer : leaderClock.due(term, System.nanoTime())) {
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
          if (!(response instanceof ReplicaResponse.Answered)) {
            leaderClock.retry(timer);
          }
        });
  }

  @Override
  public void close() throws IOException {
    clockThread.shutdownNow();
    endpoint.close();
    server.close();
  }
}
