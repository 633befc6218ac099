package leadferry.adapter;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PipedInputStream;
import java.io.PipedOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * A small simulated deployment on the adapter's wire: four instances, two zones, servers that are
 * slow, silent, full, failing, draining or cold. Made the transcripts of {@code fixtures/adapter};
 * the same seed gives the same events as long as the adapter answers the same.
 */
final class AdapterScenario {
  private static final int INSTANCES = 4;
  private static final double END_MILLIS = 9_000;
  private static final double BATCH_MILLIS = 5;

  private static final class Server {
    long id;
    String zone;
    long cell;
    double since;
    String condition = "Ready";
    double meanMillis;
    int held;
  }

  private static final class Attempt {
    int who;
    long request;
    int number;
    Server server;
    double sentAt;
    boolean ended;
  }

  private static final class Request {
    long id;
    double deadline;
    boolean over;
    boolean streamed;
    final List<Attempt> attempts = new ArrayList<>();
  }

  private record Event(double at, long order, Runnable what) {}

  private final long seed;
  private final Random random;
  private final List<Server> servers = new ArrayList<>();
  private final Map<Long, Request> requests = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::order));
  private final StringBuilder batch = new StringBuilder();
  private final Set<Integer> alive = new HashSet<>();
  private final boolean subscribes;
  private final boolean parallel;
  private double now = 1_000;
  private long order;
  private long nextId = 100;
  private int stamp = 1;

  AdapterScenario(long seed) {
    this.seed = seed;
    this.random = new Random(seed);
    this.subscribes = seed % 2 == 0;
    this.parallel = seed % 3 != 0;
  }

  /**
   * Runs the adapter through the scenario; the events go to {@code input}, its answers to {@code
   * output}.
   */
  void run(StringBuilder input, StringBuilder output) throws IOException, InterruptedException {
    PipedOutputStream events = new PipedOutputStream();
    PipedInputStream commands = new PipedInputStream(1 << 16);
    PipedInputStream adapterIn = new PipedInputStream(events, 1 << 16);
    OutputStream adapterOut = new PipedOutputStream(commands);
    Thread adapter =
        new Thread(
            () -> {
              try {
                new Adapter(
                        adapterIn,
                        adapterOut,
                        new PrintStream(System.err, true, StandardCharsets.UTF_8))
                    .run();
                adapterOut.close();
              } catch (IOException e) {
                throw new IllegalStateException(e);
              }
            },
            "adapter");
    adapter.start();
    BufferedReader answers =
        new BufferedReader(new InputStreamReader(commands, StandardCharsets.UTF_8));
    start();
    while (now < END_MILLIS + 1_000) {
      while (!this.events.isEmpty() && this.events.peek().at() <= now) {
        this.events.poll().what().run();
      }
      if (batch.length() > 0) {
        String text = String.format(Locale.ROOT, "sync wall=%.3f%n", now) + batch + "eob\n";
        batch.setLength(0);
        input.append(text);
        events.write(text.getBytes(StandardCharsets.UTF_8));
        events.flush();
        String line;
        while (!(line = answers.readLine()).equals("ok")) {
          output.append(line).append('\n');
          command(line);
        }
        output.append("ok\n");
      }
      now += BATCH_MILLIS;
    }
    events.close();
    adapter.join();
  }

  private void at(double when, Runnable what) {
    events.add(new Event(when, order++, what));
  }

  private void event(String format, Object... args) {
    batch.append(String.format(Locale.ROOT, format, args)).append('\n');
  }

  private void start() {
    for (int i = 0; i < 14; i++) {
      Server s = new Server();
      s.id = 7_000 + 13L * i;
      s.zone = i % 2 == 0 ? "z1" : "z2";
      s.cell = i / 4;
      s.meanMillis = 8 + 4 * (i % 3);
      servers.add(s);
    }
    for (int who = 0; who < INSTANCES; who++) {
      int instance = who;
      at(now, () -> startInstance(instance));
      arrivals(instance);
    }
    at(2_000, () -> servers.get(1).meanMillis = 1e9); // silent
    at(2_500, () -> servers.get(4).meanMillis = -1); // failing
    at(3_000, () -> drain(servers.get(2)));
    at(3_300, () -> join());
    at(3_800, () -> servers.get(6).meanMillis = 400); // slow
    at(4_400, () -> servers.get(1).meanMillis = 9);
    at(
        4_800,
        () -> {
          servers.get(5).since = now;
          tellAll("full");
        });
    at(
        5_200,
        () -> {
          event("retire who=2");
          alive.remove(2);
        });
    at(5_400, () -> startInstance(2));
    at(5_600, () -> servers.get(7).meanMillis = -2); // connections fail
    at(
        6_000,
        () ->
            servers.forEach(
                s -> s.meanMillis = s.meanMillis > 0 ? 6 * s.meanMillis : s.meanMillis)); // jam
    at(
        7_200,
        () ->
            servers.forEach(
                s ->
                    s.meanMillis = s.meanMillis > 0 && s.meanMillis < 1e9 ? s.meanMillis / 6 : 10));
    for (double when = 1_500; when < END_MILLIS; when += 700) {
      double it = when;
      at(
          it,
          () -> {
            int who = random.nextInt(INSTANCES);
            Server s = servers.get(random.nextInt(servers.size()));
            event("probed who=%d host=%d spent=2.5 reason=1 load=%s", who, s.id, load(s));
          });
    }
  }

  private String settings(int who) {
    return "{\"balancers\":"
        + INSTANCES
        + ",\"position\":"
        + who
        + ",\"zone\":\"z"
        + (1 + who % 2)
        + "\","
        + "\"membershipMode\":\""
        + (subscribes ? "subscribe" : "automatic")
        + "\",\"overShareWorth\":0.1,"
        + "\"worthBy\":\""
        + (seed % 2 == 0 ? "request" : "work")
        + "\","
        + "\"tenants\":[{\"name\":\"t1\",\"quotaPerS\":100,\"portion\":0.7},{\"name\":\"t2\",\"quotaPerS\":40,\"portion\":0.3}],"
        + "\"classes\":["
        + "{\"name\":\"read\",\"aim\":100,\"deadline\":400,\"semantics\":\"idempotent\",\"value\":1,\"lateWorth\":0.2},"
        + "{\"name\":\"log\",\"aim\":150,\"deadline\":600,\"semantics\":\"deduplicated\",\"keyScope\":\"cell\",\"repeatWindow\":300,\"value\":5},"
        + "{\"name\":\"zonal\",\"aim\":150,\"deadline\":600,\"semantics\":\"deduplicated\",\"keyScope\":\"zone\",\"repeatWindow\":400,\"value\":3},"
        + "{\"name\":\"key\",\"aim\":150,\"deadline\":600,\"semantics\":\"deduplicated\",\"keyScope\":\"all\",\"repeatWindow\":400,\"value\":2},"
        + "{\"name\":\"claim\",\"aim\":200,\"deadline\":500,\"semantics\":\"at_most_once\",\"value\":8},"
        + "{\"name\":\"stream\",\"aim\":100,\"deadline\":400,\"semantics\":\"idempotent\",\"streamed\":true,\"value\":1}],"
        + "\"limits\":{\"maxAttempts\":4,\"parallelTries\":"
        + parallel
        + ",\"cancel\":"
        + (seed % 5 != 0)
        + ",\"retryAfter\":true,\"maxRetryAfter\":1200,\"peers\":true,\"streamsPerConn\":1},"
        + "\"rules\":{\"cold\":2000,\"startCapacity\":0.3,\"fall\":500,\"fallMultiple\":3,\"askWithin\":4000}}";
  }

  private void startInstance(int who) {
    event(
        "new_instance who=%d prng=%d conf=%s", who, 1_000 * seed + who + (long) now, settings(who));
    alive.add(who);
    ledger(servers);
    event("membership who=%d buffer=0 how=cached stamp=%d", who, stamp);
  }

  private void ledger(List<Server> list) {
    event("ledger buffer=0 records=%d", list.size());
    for (Server s : list) {
      event(
          "host host=%d hall=%s model=m%d group=%d condition=%s capacityHint=1%s",
          s.id,
          s.zone,
          s.id % 2,
          s.cell,
          s.condition,
          s.since > 0 ? " onlineSince=" + s.since : "");
    }
  }

  private void tellAll(String how) {
    stamp++;
    ledger(servers);
    for (int who : alive) {
      event("membership who=%d buffer=0 how=%s stamp=%d", who, how, stamp);
    }
  }

  private void drain(Server s) {
    s.condition = "Terminating";
    stamp++;
    ledger(List.of(s));
    for (int who : alive) {
      event("membership who=%d buffer=0 how=delta stamp=%d", who, stamp);
    }
    at(
        now + 1_500,
        () -> {
          s.condition = "Gone";
          ledger(List.of(s));
          alive.forEach(w -> event("membership who=%d buffer=0 how=delta stamp=%d", w, ++stamp));
          servers.remove(s);
        });
  }

  private void join() {
    Server s = new Server();
    s.id = 9_001;
    s.zone = "z1";
    s.cell = 9;
    s.since = now;
    s.meanMillis = 9;
    servers.add(s);
    tellAll("full");
  }

  private void arrivals(int who) {
    double gap = -Math.log(1 - random.nextDouble()) * 28;
    double when = now + 50 + gap;
    arrive(who, when);
  }

  private void arrive(int who, double when) {
    if (when > END_MILLIS) {
      return;
    }
    at(
        when,
        () -> {
          request(who);
          arrive(
              who,
              when - Math.log(1 - random.nextDouble()) * (now > 6_000 && now < 7_000 ? 9 : 28));
        });
  }

  private void request(int who) {
    Request r = new Request();
    r.id = nextId++;
    String type =
        List.of("read", "read", "log", "zonal", "key", "claim", "stream", "novel")
            .get(random.nextInt(8));
    double budget = type.equals("claim") ? 500 : random.nextInt(6) == 0 ? 90 : 400;
    r.deadline = now + budget;
    r.streamed = type.equals("stream");
    if (!alive.contains(who)) {
      return;
    }
    requests.put(r.id, r);
    event(
        "inbound who=%d txn=%d class=%s%s budget=%.1f%s",
        who,
        r.id,
        type,
        random.nextInt(4) == 0 ? "" : " org=t" + (1 + random.nextInt(2)),
        budget,
        random.nextBoolean() ? " estimate=12.0" : "");
    if (random.nextInt(12) == 0) {
      at(
          now + 10 + random.nextInt(60),
          () -> {
            if (!r.over && alive.contains(who)) {
              r.over = true;
              event("gone who=%d txn=%d", who, r.id);
            }
          });
    }
  }

  private static String field(String line, String key) {
    for (String part : line.split(" ")) {
      if (part.startsWith(key + "=")) {
        return part.substring(key.length() + 1);
      }
    }
    return "";
  }

  private void command(String line) {
    int who = Integer.parseInt(field(line, "who"));
    switch (line.substring(0, line.indexOf(' '))) {
      case "transmit" ->
          transmit(who, Long.parseLong(field(line, "txn")), Long.parseLong(field(line, "host")));
      case "shed", "abort" -> requests.get(Long.parseLong(field(line, "txn"))).over = true;
      case "cancel" -> {
        Attempt a =
            requests
                .get(Long.parseLong(field(line, "txn")))
                .attempts
                .get(Integer.parseInt(field(line, "sendNo")));
        at(now + BATCH_MILLIS, () -> end(a, 7));
      }
      case "set_timer" -> {
        String token = field(line, "token");
        at(
            now + Math.max(BATCH_MILLIS, Double.parseDouble(field(line, "sleepFor"))),
            () -> {
              if (alive.contains(who)) {
                event("wake who=%d token=%s", who, token);
              }
            });
      }
      case "memo_to" -> {
        for (int other : List.copyOf(alive)) {
          if (other != who && random.nextInt(10) > 0) {
            at(
                now + BATCH_MILLIS,
                () -> event("heard who=%d from=%d raw=%s", other, who, field(line, "raw")));
          }
        }
      }
      case "follow" -> {
        boolean fails = random.nextInt(2) == 0;
        at(
            now + BATCH_MILLIS,
            () -> {
              if (!fails) {
                ledger(servers);
              }
              event(
                  "membership who=%d buffer=0 how=%s stamp=%d",
                  who, fails ? "failed" : "full", stamp);
            });
      }
      default -> {}
    }
  }

  private void transmit(int who, long request, long host) {
    Request r = requests.get(request);
    Attempt a = new Attempt();
    a.who = who;
    a.request = request;
    a.number = r.attempts.size();
    a.server = servers.stream().filter(s -> s.id == host).findFirst().orElse(null);
    a.sentAt = now;
    r.attempts.add(a);
    if (a.server == null) {
      at(now + BATCH_MILLIS, () -> end(a, 5));
      return;
    }
    Server s = a.server;
    double cold = s.since > 0 && now - s.since < 2_000 ? 2 : 1;
    double taken =
        Math.max(
            1,
            s.meanMillis * cold * (0.3 - Math.log(1 - random.nextDouble())) * (1 + s.held / 4.0));
    s.held++;
    int reason = 1;
    if (s.meanMillis == -1) {
      reason = 2;
      taken = 3;
    } else if (s.meanMillis == -2) {
      reason = 5;
      taken = 40;
    } else if (s.held > 6) {
      reason = 3;
      taken = 1;
    } else if (random.nextInt(60) == 0) {
      reason = 6;
    }
    double left = r.deadline - now;
    int how = taken < left ? reason : 4;
    double when = now + Math.min(taken, Math.max(1, left));
    if (r.streamed && how == 1 && !r.over) {
      at(
          now + taken / 2,
          () -> {
            if (!a.ended && !r.over && alive.contains(who)) {
              event(
                  "first_byte who=%d txn=%d sendNo=%d host=%d spent=%.1f",
                  who, request, a.number, host, now - a.sentAt);
            }
          });
    }
    at(when, () -> end(a, how));
  }

  private void end(Attempt a, int reason) {
    if (a.ended) {
      return;
    }
    a.ended = true;
    if (a.server != null) {
      a.server.held--;
    }
    if (!alive.contains(a.who)) {
      return;
    }
    Request r = requests.get(a.request);
    boolean over = r.over || reason == 1;
    r.over = over;
    event(
        "outcome who=%d txn=%d sendNo=%d host=%d reason=%d spent=%.1f%s%s",
        a.who,
        a.request,
        a.number,
        a.server == null ? 0 : a.server.id,
        reason,
        now - a.sentAt,
        over ? " terminal=1" : "",
        reason <= 2 && a.server != null ? " load=" + load(a.server) : "");
  }

  private static String load(Server s) {
    return "rif:"
        + s.held
        + ",q:"
        + Math.max(0, s.held - 3)
        + ",busy:0."
        + Math.min(9, s.held)
        + ",lat_ms:"
        + (s.meanMillis > 0 && s.meanMillis < 1e6 ? Math.round(s.meanMillis) : 5)
        + ",rate:40,fail_rate:0.5";
  }

  /** Writes the transcripts of seeds 1 to 5 into the folder that is named. */
  public static void main(String[] args) throws IOException, InterruptedException {
    for (int seed = 1; seed <= 5; seed++) {
      StringBuilder in = new StringBuilder();
      StringBuilder out = new StringBuilder();
      new AdapterScenario(seed).run(in, out);
      write(args[0] + "/seed-" + seed + ".in.gz", in);
      write(args[0] + "/seed-" + seed + ".out.gz", out);
    }
  }

  private static void write(String file, StringBuilder text) throws IOException {
    try (OutputStream out =
        new java.util.zip.GZIPOutputStream(new java.io.FileOutputStream(file))) {
      out.write(text.toString().getBytes(StandardCharsets.UTF_8));
    }
  }
}
