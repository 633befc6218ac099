package leadferry.adapter;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import leadferry.gossip.SuspicionProtocol;
import leadferry.loadbalancer.AttemptOutcome;
import leadferry.loadbalancer.EndpointListEvent;
import leadferry.loadbalancer.EndpointUpdate;
import leadferry.loadbalancer.LoadBalancer;
import leadferry.loadbalancer.LoadBalancerActions;
import leadferry.loadbalancer.LoadReport;
import leadferry.loadbalancer.RequestArrival;
import leadferry.loadbalancer.Settings;

/**
 * Hosts one {@link LoadBalancer} for each instance named on the wire and speaks the wire for them.
 */
public final class Adapter {
  /** A token that the module does not use: its own are requests, and -1. */
  private static final long TALK_TIMER = -2;

  private final LineReader reader;
  private final OutputStream out;
  private final PrintStream err;
  private final Line line = new Line();
  private final ReplyWriter reply = new ReplyWriter();
  private final Map<Long, LoadBalancer> instances = new HashMap<>();

  /**
   * The share of each instance in what all know of silent hosts, where the deployment lets them
   * talk.
   */
  private final Map<Long, SuspicionProtocol> talking = new HashMap<>();

  /** What came of an event for a module that was still about it. */
  private final List<Runnable> after = new ArrayList<>();

  private final Map<Long, List<EndpointUpdate>> ledgers = new HashMap<>();
  private double now;

  /** Creates an adapter on these streams. */
  public Adapter(InputStream in, OutputStream out, PrintStream err) {
    this.reader = new LineReader(in);
    this.out = out;
    this.err = err;
  }

  /**
   * Answers batches until the input ends.
   *
   * @throws MalformedInputException if the input is not of the wire
   */
  public void run() throws IOException {
    while (reader.next(line)) {
      if (!line.named("sync")) {
        throw line.malformed("a batch starts with 'sync'");
      }
      now = line.decimal("wall");
      boolean alive = batch();
      reply.flush(out);
      if (!alive) {
        return;
      }
    }
  }

  private boolean batch() throws IOException {
    boolean alive = true;
    while (true) {
      if (!reader.next(line)) {
        throw new MalformedInputException("the input ends in the middle of a batch");
      }
      if (line.named("eob")) {
        reply.word("ok").end();
        return alive;
      }
      if (alive) {
        try {
          event();
          after.forEach(Runnable::run);
          after.clear();
        } catch (MalformedInputException e) {
          throw e;
        } catch (RuntimeException e) {
          // A failure of the decisions must be seen, never swallowed.
          e.printStackTrace(err);
          long who = line.number("who", 0);
          reply.word("crash who=").number(who).word(" text=").text(e.toString()).end();
          alive = false;
        }
      }
    }
  }

  private void event() throws IOException {
    if (line.named("outcome")) {
      outcome();
    } else if (line.named("inbound")) {
      inbound();
    } else if (line.named("wake")) {
      wake();
    } else if (line.named("ledger")) {
      ledger();
    } else if (line.named("membership")) {
      membership();
    } else if (line.named("probed")) {
      LoadBalancer b = instance();
      long host = line.number("host");
      if (b != null) {
        b.onLoadReport(now, host, load());
      }
    } else if (line.named("gone")) {
      LoadBalancer b = instance();
      long id = line.number("txn");
      if (b != null) {
        b.onClientDisconnect(now, id);
      }
    } else if (line.named("first_byte")) {
      LoadBalancer b = instance();
      long id = line.number("txn");
      int number = (int) line.number("sendNo");
      if (b != null) {
        b.onFirstByte(now, id, number, line.decimal("spent", 0));
      }
    } else if (line.named("retire")) {
      instances.remove(line.number("who"));
      talking.remove(line.number("who"));
    } else if (line.named("heard")) {
      SuspicionProtocol s = talking.get(line.number("who"));
      if (s != null) {
        s.onMessage(now, (int) line.number("from"), raw());
      }
    } else if (line.named("new_instance")) {
      start(line.number("who"), SettingsReader.parse(line.string("conf")), line.number("prng"));
    } else if (line.named("sync") || line.named("host")) {
      throw line.malformed("'" + line.name() + "' is out of place");
    }
    // An event that is not known is skipped.
  }

  private byte[] raw() {
    try {
      return Base64.getDecoder().decode(line.string("raw", ""));
    } catch (IllegalArgumentException e) {
      throw line.malformed("field 'raw' is not base64");
    }
  }

  private void start(long who, JsonNode conf, long seed) {
    Settings settings = SettingsReader.read(conf);
    Wire wire = new Wire(who);
    LoadBalancer b = new LoadBalancer(settings, seed, wire);
    instances.put(who, b);
    talking.remove(who);
    if (SettingsReader.peers(conf)) {
      talking.put(
          who,
          new SuspicionProtocol(
              settings.zone(), settings.balancers(), settings.shortestAimMillis(), seed, wire));
    }
    b.onStart(now);
  }

  private LoadBalancer instance() {
    return instances.get(line.number("who"));
  }

  private void outcome() {
    LoadBalancer b = instance();
    long id = line.number("txn");
    int number = (int) line.number("sendNo");
    AttemptOutcome result = result((int) line.number("reason"));
    double spent = line.decimal("spent", 0);
    boolean over = line.flag("terminal");
    SuspicionProtocol talks = talking.get(line.number("who"));
    if (talks != null && result != null && result.answered()) {
      talks.onResponse(now, line.number("host"));
    }
    if (b != null) {
      // A reason that is not known proves nothing: as an error, it may have run.
      b.onOutcome(
          now, id, number, result == null ? AttemptOutcome.ERROR : result, spent, over, load());
    }
  }

  private void inbound() {
    LoadBalancer b = instance();
    long id = line.number("txn");
    String type = line.string("class");
    double budget = line.decimal("budget");
    if (b != null) {
      b.onRequest(
          now,
          new RequestArrival(
              id,
              type,
              line.string("org", null),
              budget,
              line.decimal("estimate", Double.NaN),
              line.flag("resent")));
    }
  }

  private void wake() {
    LoadBalancer b = instance();
    long token = line.number("token");
    SuspicionProtocol talks = talking.get(line.number("who"));
    if (token == TALK_TIMER) {
      if (talks != null) {
        talks.onTimer(now);
      }
    } else if (b != null) {
      b.onTimer(now, token);
    }
  }

  private void ledger() throws IOException {
    long buffer = line.number("buffer");
    long records = line.number("records");
    List<EndpointUpdate> entries = new ArrayList<>();
    for (long i = 0; i < records; i++) {
      if (!reader.next(line)) {
        throw new MalformedInputException("the input ends in the middle of a ledger");
      }
      if (!line.named("host")) {
        throw line.malformed("a ledger has fewer 'host' lines than it says");
      }
      entries.add(
          new EndpointUpdate(
              line.number("host"),
              line.string("hall", ""),
              line.string("model", ""),
              line.number("group", 0),
              condition(line.string("condition", "Ready")),
              line.decimal("capacityHint", 1),
              line.decimal("onlineSince", 0)));
    }
    ledgers.put(buffer, entries);
  }

  private static EndpointUpdate.Condition condition(String s) {
    return switch (s) {
      case "Ready" -> EndpointUpdate.Condition.READY;
      case "Gone" -> EndpointUpdate.Condition.GONE;
      default -> EndpointUpdate.Condition.TERMINATING; // nothing new goes to a state not known
    };
  }

  private void membership() {
    LoadBalancer b = instance();
    EndpointListEvent how =
        switch (line.string("how")) {
          case "delta" -> EndpointListEvent.DELTA;
          case "full" -> EndpointListEvent.FULL;
          case "cached" -> EndpointListEvent.CACHED;
          case "failed" -> EndpointListEvent.FAILED;
          default -> null;
        };
    if (b == null || how == null) {
      return;
    }
    List<EndpointUpdate> entries = List.of();
    if (how != EndpointListEvent.FAILED) {
      entries = ledgers.get(line.number("buffer"));
      if (entries == null) {
        throw line.malformed("no ledger with this number has come");
      }
    }
    b.onEndpointList(now, how, entries);
    SuspicionProtocol talks = talking.get(line.number("who"));
    if (talks != null) {
      talks.onEndpointList(how, entries);
    }
  }

  private LoadReport load() {
    double[] v = line.report("load", "rif", "q", "busy", "lat_ms", "rate", "fail_rate");
    return v == null ? null : new LoadReport(v[0], v[1], v[2], v[3], v[4], v[5]);
  }

  private static AttemptOutcome result(int code) {
    return switch (code) {
      case 1 -> AttemptOutcome.OK;
      case 2 -> AttemptOutcome.ERROR;
      case 3 -> AttemptOutcome.FULL;
      case 4 -> AttemptOutcome.TIMEOUT;
      case 5 -> AttemptOutcome.CONNECT_FAILED;
      case 6 -> AttemptOutcome.RESET;
      case 7 -> AttemptOutcome.CANCELLED;
      case 8 -> AttemptOutcome.MOOT;
      default -> null;
    };
  }

  /** The actions of one instance, written in the order they are made. */
  private final class Wire implements LoadBalancerActions, SuspicionProtocol.Actions {
    private final long who;

    Wire(long who) {
      this.who = who;
    }

    private ReplyWriter start(String action) {
      return reply.word(action).word(" who=").number(who);
    }

    @Override
    public void send(long request, long host, double apart) {
      SuspicionProtocol talks = talking.get(who);
      if (talks != null) {
        talks.onAttempt();
      }
      start("transmit").word(" txn=").number(request).word(" host=").number(host);
      reply.end();
    }

    @Override
    public void reject(long request, double retryAfterMillis) {
      start("shed").word(" txn=").number(request);
      if (retryAfterMillis > 0) {
        reply.word(" coolDown=").time(retryAfterMillis);
      }
      reply.end();
    }

    @Override
    public void fail(long request) {
      start("abort").word(" txn=").number(request).end();
    }

    @Override
    public void cancel(long request, int attempt) {
      start("cancel").word(" txn=").number(request).word(" sendNo=").number(attempt).end();
    }

    @Override
    public void schedule(double delay, long token) {
      start("set_timer").word(" sleepFor=").time(Math.max(0, delay));
      reply.word(" token=").number(token).end();
    }

    @Override
    public void onNoResponse(long host, double at, double sentAt) {
      SuspicionProtocol talks = talking.get(who);
      if (talks != null) {
        talks.onNoResponse(at, host, sentAt);
      }
    }

    @Override
    public void broadcast(byte[] message) {
      start("memo_to")
          .word(" recipient=all raw=")
          .word(Base64.getEncoder().encodeToString(message))
          .end();
    }

    @Override
    public void eject(long host, double lengthMillis, boolean again) {
      after.add(() -> instances.get(who).onGossip(now, host, lengthMillis));
    }

    @Override
    public void readmit(long host) {
      after.add(() -> instances.get(who).onGossip(now, host, 0));
    }

    @Override
    public void scheduleTimer(double delayMillis) {
      schedule(delayMillis, TALK_TIMER);
    }

    @Override
    public void watchEndpoints() {
      start("follow").word(" active=1").end();
    }

    @Override
    public void log(String text) {
      start("say_log").word(" text=").text(text).end();
    }
  }
}
