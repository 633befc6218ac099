package leadferry.consensus;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import leadferry.release.Releases;
import org.apache.ratis.RaftConfigKeys;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.grpc.GrpcConfigKeys;
import org.apache.ratis.protocol.ClientId;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.rpc.SupportedRpcType;
import org.apache.ratis.server.DivisionInfo;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.RaftServerConfigKeys;
import org.apache.ratis.server.RaftServerConfigKeys.Read;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.util.SizeInBytes;
import org.apache.ratis.util.TimeDuration;

/**
 * One keeper: its copy of the log, the ledger that it comes to, and, while it leads, the time of
 * sessions.
 *
 * <p>An entry is answered once a majority has it on disk and it has been applied here. Whoever
 * renews a lease, or reads, is answered only after a majority has confirmed that this keeper still
 * leads: one word from each for all who wait.
 */
public final class Replica implements AutoCloseable {
  private static final int TICK_MS = 50;
  private static final int MOST_REPORT_BYTES = 256 * 1024;
  private static final SizeInBytes BATCH = SizeInBytes.valueOf("4MB");

  private final ReplicaConfig config;
  private final FleetStateMachine ledger;
  private final RaftServer server;
  private final RaftGroupId group;
  private final LeaseTimers timers = new LeaseTimers();
  private final ClientId self = ClientId.randomId();
  private final AtomicLong calls = new AtomicLong();
  private final ScheduledExecutorService clock =
      Executors.newSingleThreadScheduledExecutor(
          r -> {
            Thread t = new Thread(r, "keeper-clock");
            t.setDaemon(true);
            return t;
          });
  private final ReplicaEndpoint api;

  /**
   * Those who wait for a word that this keeper leads, and those whom the one that is under way is
   * for.
   */
  private List<Consumer<String>> waiting = new ArrayList<>();

  private boolean asking;
  private long term = -1;

  /**
   * Starts a keeper.
   *
   * @param fresh whether an empty folder may be taken for a new keeper's. One that had a folder and
   *     lost it must not vote as if it had promised nothing
   * @throws IOException if its folder or an address can't be had, with what was expected
   */
  public Replica(
      ReplicaConfig config, boolean fresh, Consumer<String> log, Consumer<Throwable> fatal)
      throws IOException {
    this.config = config;
    this.ledger = new FleetStateMachine(config.times());
    this.group =
        RaftGroupId.valueOf(
            UUID.nameUUIDFromBytes(
                ("leadferry " + config.fleet()).getBytes(StandardCharsets.UTF_8)));
    boolean known = folder(fresh);
    List<RaftPeer> peers = new ArrayList<>();
    config
        .peers()
        .forEach((n, a) -> peers.add(RaftPeer.newBuilder().setId(n).setAddress(a).build()));
    this.api = new ReplicaEndpoint(config, this, log);
    RaftServer s;
    try {
      s =
          RaftServer.newBuilder()
              .setServerId(RaftPeerId.valueOf(config.name()))
              .setGroup(RaftGroup.valueOf(group, peers))
              .setStateMachine(new RatisStateMachine(ledger, api::changed, fatal))
              .setProperties(properties())
              .setOption(
                  known ? RaftStorage.StartupOption.RECOVER : RaftStorage.StartupOption.FORMAT)
              .build();
      s.start();
    } catch (IOException | RuntimeException e) {
      api.close();
      throw e;
    }
    this.server = s;
    clock.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    api.listen();
  }

  /** Whether the folder holds a keeper's log; checks that it is this one's. */
  private boolean folder(boolean fresh) throws IOException {
    Files.createDirectories(config.folder());
    Path mark = config.folder().resolve("keeper");
    String mine = config.fleet() + "/" + config.name() + "\n";
    boolean known = Files.exists(mark);
    if (known) {
      String found = Files.readString(mark);
      if (!found.equals(mine)) {
        throw new IOException(
            config.folder()
                + ": of keeper "
                + found.strip()
                + " (expected: of "
                + mine.strip()
                + ")");
      }
    } else if (!fresh) {
      throw new IOException(
          config.folder()
              + ": no keeper's log (expected: the one that this keeper had; --new where it never had one)");
    } else {
      try (var files = Files.list(config.folder())) {
        if (files.findAny().isPresent()) {
          throw new IOException(
              config.folder() + ": not empty, and no keeper's (expected: an empty folder)");
        }
      }
      Files.writeString(mark, mine);
    }
    return known
        && Files.isDirectory(
            config.folder().resolve("log").resolve(group.getUuid().toString()).resolve("current"));
  }

  private RaftProperties properties() {
    RaftProperties p = new RaftProperties();
    int e = config.electionMs();
    RaftServerConfigKeys.setStorageDir(p, List.of(config.folder().resolve("log").toFile()));
    RaftConfigKeys.Rpc.setType(p, SupportedRpcType.GRPC);
    GrpcConfigKeys.Server.setHost(p, config.log().getAddress().getHostAddress());
    GrpcConfigKeys.Server.setPort(p, config.log().getPort());
    RaftServerConfigKeys.Rpc.setTimeoutMin(p, ms(e));
    RaftServerConfigKeys.Rpc.setTimeoutMax(p, ms(2 * e));
    RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMin(p, ms(Math.max(50, e / 4)));
    RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMax(p, ms(e));
    RaftServerConfigKeys.Rpc.setRequestTimeout(p, ms(e));
    RaftServerConfigKeys.Rpc.setSleepTime(p, ms(Math.max(20, e / 8)));
    Read.setOption(p, Read.Option.LINEARIZABLE);
    Read.setLeaderLeaseEnabled(p, false);
    Read.setTimeout(p, ms(2 * e));
    RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(p, true);
    RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(p, config.snapshotEntries());
    RaftServerConfigKeys.Snapshot.setCreationGap(p, Math.max(1, config.snapshotEntries() / 4));
    RaftServerConfigKeys.Snapshot.setRetentionFileNum(p, 2);
    // What a keeper that is down still lacks stays in the log: a snapshot is sent only to one that
    // lost its folder.
    RaftServerConfigKeys.Log.setPurgeUptoSnapshotIndex(p, false);
    RaftServerConfigKeys.Log.setSegmentSizeMax(p, SizeInBytes.valueOf("4MB"));
    RaftServerConfigKeys.Log.setPreallocatedSize(p, SizeInBytes.valueOf("256KB"));
    RaftServerConfigKeys.Log.setWriteBufferSize(p, SizeInBytes.valueOf(BATCH.getSize() + 64));
    RaftServerConfigKeys.Log.Appender.setBufferByteLimit(p, BATCH);
    return p;
  }

  private static TimeDuration ms(int ms) {
    return TimeDuration.valueOf(ms, TimeUnit.MILLISECONDS);
  }

  // --- what is asked of it

  /**
   * Puts an entry into the log; {@code done} gets the outcome, or an object with {@code redirect}
   * where it surely was not put there, or with {@code undecided} where that is not known.
   */
  void submit(ObjectNode entry, Consumer<ObjectNode> done) {
    if (!leads()) {
      done.accept(elsewhere());
      return;
    }
    byte[] bytes = Json.bytes(entry.put("schema", LogEntryCodec.SCHEMA));
    ask(RaftClientRequest.writeRequestType(), Message.valueOf(ByteString.copyFrom(bytes)))
        .whenComplete(
            (reply, failure) -> {
              if (failure == null && reply.isSuccess()) {
                done.accept(Json.read(reply.getMessage().getContent().toByteArray()));
              } else {
                Object why = failure != null ? failure : reply.getException();
                done.accept(Json.object().put("undecided", String.valueOf(why)));
              }
            });
  }

  private CompletableFuture<RaftClientReply> ask(RaftClientRequest.Type type, Message message) {
    try {
      return server.submitClientRequestAsync(
          RaftClientRequest.newBuilder()
              .setClientId(self)
              .setServerId(server.getId())
              .setGroupId(group)
              .setCallId(calls.incrementAndGet())
              .setMessage(message)
              .setType(type)
              .build());
    } catch (IOException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  /**
   * Runs {@code then} with null once a majority has confirmed that this keeper leads, or with why
   * it has not.
   */
  void confirmed(Consumer<String> then) {
    synchronized (this) {
      waiting.add(then);
      if (asking) {
        return;
      }
      asking = true;
    }
    confirm();
  }

  private void confirm() {
    List<Consumer<String>> now;
    synchronized (this) {
      now = waiting;
      waiting = new ArrayList<>();
    }
    // Guards against a follower that confirms: the library lets it read, by a word of the leader's,
    // but what is renewed
    // here would be counted by nobody, and the leader would take for dead whoever was told that its
    // lease goes on.
    long led = leadsIn();
    CompletableFuture<RaftClientReply> word =
        led < 0
            ? CompletableFuture.failedFuture(new IllegalStateException("does not lead"))
            : ask(RaftClientRequest.readRequestType(false), Message.EMPTY);
    word.whenComplete(
        (reply, failure) -> {
          String no = unconfirmed(led, reply, failure);
          now.forEach(c -> c.accept(no));
          boolean more;
          synchronized (this) {
            more = !waiting.isEmpty();
            asking = more;
          }
          if (more) {
            clock.execute(this::confirm);
          }
        });
  }

  /**
   * Why that reply does not confirm that this keeper led throughout, in that term; null where it
   * does.
   */
  private String unconfirmed(long led, RaftClientReply reply, Throwable failure) {
    if (failure != null) {
      return failure.toString();
    }
    if (!reply.isSuccess()) {
      return String.valueOf(reply.getException());
    }
    return leadsIn() == led ? null : "led no longer";
  }

  /** Renews a session; to be called once {@link #confirmed}. False where it is over. */
  boolean renew(String name, long session) {
    synchronized (ledger) {
      return ledger.lives(name, session)
          && timers.renew(SessionTable.timer(name, session), System.nanoTime());
    }
  }

  /**
   * Goes on with a driver's lease; to be called once {@link #confirmed}. False where it is over.
   */
  boolean renewDriver(String release, long fence) {
    synchronized (ledger) {
      return ledger.drives(release, fence)
          && timers.renew(Releases.timer(release, fence), System.nanoTime());
    }
  }

  // What members tell of what they serve: not agreed, not kept, and gone with this keeper's lead. A
  // driver that finds
  // none waits for the next.

  private record Report(long session, long at, JsonNode what) {}

  private final Map<String, Report> reports = new ConcurrentHashMap<>();

  /** Keeps what a member has told with a renewal; a longer one than that is dropped. */
  void report(String name, long session, JsonNode what) {
    if (what.isObject() && Json.bytes(what).length <= MOST_REPORT_BYTES) {
      reports.put(name, new Report(session, System.nanoTime(), what));
    }
  }

  /**
   * The newest report of each member whose session lives, with its age; and the names of those that
   * have none.
   */
  ObjectNode reports() {
    Map<String, Long> living;
    synchronized (ledger) {
      living = ledger.living();
    }
    reports.keySet().retainAll(living.keySet());
    ObjectNode o = Json.object();
    ObjectNode by = o.putObject("reports");
    living.forEach(
        (name, session) -> {
          Report r = reports.get(name);
          if (r != null && r.session() == session) {
            by.putObject(name)
                .put("session", session)
                .put("age_ms", (System.nanoTime() - r.at()) / 1_000_000)
                .set("told", r.what());
          }
        });
    living.keySet().stream().filter(n -> !by.has(n)).forEach(o.putArray("missing")::add);
    return o;
  }

  FleetStateMachine ledger() {
    return ledger;
  }

  private DivisionInfo info() throws IOException {
    return server.getDivision(group).getInfo();
  }

  boolean leads() {
    return leadsIn() >= 0;
  }

  /** The term in which this keeper leads, or -1. */
  private long leadsIn() {
    try {
      DivisionInfo i = info();
      long term = i.getCurrentTerm();
      return i.isLeaderReady() && i.getCurrentTerm() == term ? term : -1;
    } catch (IOException | RuntimeException e) {
      return -1;
    }
  }

  /** The answer of one that does not lead. */
  ObjectNode elsewhere() {
    String leader = "";
    try {
      RaftPeerId id = info().getLeaderId();
      leader = id == null || id.equals(server.getId()) ? "" : id.toString();
    } catch (IOException | RuntimeException e) {
      // nobody is known to lead
    }
    return Json.object().put("redirect", leader);
  }

  /** What staff may want to know of this keeper itself. */
  ObjectNode health() {
    ObjectNode o = Json.object().put("keeper", config.name());
    try {
      DivisionInfo i = info();
      o.put("role", i.getCurrentRole().name().toLowerCase(java.util.Locale.ROOT))
          .put("term", i.getCurrentTerm());
      o.put("applied", i.getLastAppliedIndex())
          .put("leader", i.getLeaderId() == null ? "" : i.getLeaderId().toString());
      long[] match = i.isLeader() ? i.getFollowerMatchIndices() : new long[0];
      Arrays.stream(match).forEach(o.putArray("followers")::add);
    } catch (IOException | RuntimeException e) {
      o.put("role", "unknown");
    }
    return o;
  }

  // --- time

  private void tick() {
    try {
      api.tick();
      if (!leads()) {
        return;
      }
      long now = System.nanoTime();
      long current = info().getCurrentTerm();
      List<String> due;
      synchronized (ledger) {
        if (current != term) {
          term = current;
          timers.begin(now);
        }
        due = timers.due(ledger.timers(), now);
      }
      for (String timer : due) {
        submit(
            LogEntryCodec.encodeExpiry(timer),
            o -> {
              if (o.has("redirect") || o.has("undecided")) {
                synchronized (ledger) {
                  timers.untold(timer);
                }
              }
            });
      }
    } catch (IOException | RuntimeException e) {
      // Guards against a periodic task that ends for ever with its first exception; the next look
      // is soon.
      api.log("the keeper's clock: " + e);
    }
  }

  @Override
  public void close() throws IOException {
    clock.shutdownNow();
    api.close();
    server.close();
  }
}
