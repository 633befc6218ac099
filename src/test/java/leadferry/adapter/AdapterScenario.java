package leadferry.adapter;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * A small simulated deployment on the adapter's wire: four instances, two zones, servers that are
 * slow, silent, full, failing, draining or warming up. Made the transcripts of {@code
 * fixtures/adapter}, by {@link AdapterRecorder}; the same seed gives the same events as long as the
 * adapter answers the same.
 */
final class AdapterScenario {
  private static final int INSTANCES = 4;
  private static final double END_MILLIS = 9_000;
  private static final double BATCH_MILLIS = 5;

  // How an attempt ended, by the wire's numbers.
  private static final int OK = 1;
  private static final int ERROR = 2;
  private static final int FULL = 3;
  private static final int TIMEOUT = 4;
  private static final int CONNECT_FAILED = 5;
  private static final int RESET = 6;
  private static final int CANCELLED = 7;

  private final long seed;
  private final Random random;
  private final List<SimulatedServer> servers = new ArrayList<>();
  private final Map<Long, ScenarioRequest> requests = new HashMap<>();
  private final VirtualTime time = new VirtualTime(1_000);
  private final StringBuilder batch = new StringBuilder();
  private final Set<Integer> alive = new HashSet<>();
  private final boolean subscribes;
  private final boolean parallel;
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
  void run(StringBuilder input, StringBuilder output) throws IOException {
    try (AdapterThread adapter = new AdapterThread()) {
      start();
      while (nowMillis() < END_MILLIS + 1_000) {
        time.runDue();
        if (batch.length() > 0) {
          String text =
              String.format(Locale.ROOT, "sync wall=%.3f%n", nowMillis()) + batch + "eob\n";
          batch.setLength(0);
          input.append(text);
          for (String line : adapter.answer(text)) {
            output.append(line).append('\n');
            command(new WireCommand(line));
          }
          output.append("ok\n");
        }
        time.advance(BATCH_MILLIS);
      }
    }
  }

  private double nowMillis() {
    return time.nowMillis();
  }

  private void at(double whenMillis, Runnable what) {
    time.at(whenMillis, what);
  }

  private void event(String format, Object... args) {
    batch.append(String.format(Locale.ROOT, format, args)).append('\n');
  }

  private void start() {
    servers.addAll(SimulatedServer.initial());
    for (int who = 0; who < INSTANCES; who++) {
      int instance = who;
      at(nowMillis(), () -> startInstance(instance));
      arrivals(instance);
    }
    scheduleFaults();
    scheduleOverload();
    scheduleProbes();
  }

  private void scheduleFaults() {
    at(2_000, () -> servers.get(1).meanMillis = SimulatedServer.SILENT);
    at(2_500, () -> servers.get(4).meanMillis = SimulatedServer.FAILING);
    at(3_000, () -> drain(servers.get(2)));
    at(3_300, () -> join());
    at(3_800, () -> servers.get(6).meanMillis = 400); // slow
    at(4_400, () -> servers.get(1).meanMillis = 9);
    at(
        4_800,
        () -> {
          servers.get(5).onlineSinceMillis = nowMillis();
          tellAll("full");
        });
    at(
        5_200,
        () -> {
          event("retire who=2");
          alive.remove(2);
        });
    at(5_400, () -> startInstance(2));
    at(5_600, () -> servers.get(7).meanMillis = SimulatedServer.UNREACHABLE);
  }

  private void scheduleOverload() {
    at(6_000, () -> servers.forEach(SimulatedServer::overload));
    at(7_200, () -> servers.forEach(SimulatedServer::recover));
  }

  private void scheduleProbes() {
    for (double when = 1_500; when < END_MILLIS; when += 700) {
      at(
          when,
          () -> {
            int who = random.nextInt(INSTANCES);
            SimulatedServer server = servers.get(random.nextInt(servers.size()));
            event(
                "probed who=%d host=%d spent=2.5 reason=1 load=%s",
                who, server.id, server.loadReport());
          });
    }
  }

  private void startInstance(int who) {
    event(
        "new_instance who=%d prng=%d conf=%s",
        who,
        1_000 * seed + who + (long) nowMillis(),
        ScenarioSettings.json(seed, INSTANCES, who, subscribes, parallel));
    alive.add(who);
    ledger(servers);
    event("membership who=%d buffer=0 how=cached stamp=%d", who, stamp);
  }

  private void ledger(List<SimulatedServer> list) {
    event("ledger buffer=0 records=%d", list.size());
    for (SimulatedServer server : list) {
      event("%s", server.entry());
    }
  }

  private void tellAll(String how) {
    stamp++;
    ledger(servers);
    for (int who : alive) {
      event("membership who=%d buffer=0 how=%s stamp=%d", who, how, stamp);
    }
  }

  private void drain(SimulatedServer server) {
    server.condition = "Terminating";
    stamp++;
    ledger(List.of(server));
    for (int who : alive) {
      event("membership who=%d buffer=0 how=delta stamp=%d", who, stamp);
    }
    at(
        nowMillis() + 1_500,
        () -> {
          server.condition = "Gone";
          ledger(List.of(server));
          alive.forEach(
              instance ->
                  event("membership who=%d buffer=0 how=delta stamp=%d", instance, ++stamp));
          servers.remove(server);
        });
  }

  private void join() {
    servers.add(SimulatedServer.joined(nowMillis()));
    tellAll("full");
  }

  private void arrivals(int who) {
    double gapMillis = -Math.log(1 - random.nextDouble()) * 28;
    arrive(who, nowMillis() + 50 + gapMillis);
  }

  private void arrive(int who, double whenMillis) {
    if (whenMillis > END_MILLIS) {
      return;
    }
    at(
        whenMillis,
        () -> {
          request(who);
          arrive(
              who,
              whenMillis
                  - Math.log(1 - random.nextDouble())
                      * (nowMillis() > 6_000 && nowMillis() < 7_000 ? 9 : 28));
        });
  }

  private void request(int who) {
    ScenarioRequest request = new ScenarioRequest();
    request.id = nextId++;
    String type =
        List.of("read", "read", "log", "zonal", "key", "claim", "stream", "novel")
            .get(random.nextInt(8));
    double budgetMillis = type.equals("claim") ? 500 : random.nextInt(6) == 0 ? 90 : 400;
    request.deadlineMillis = nowMillis() + budgetMillis;
    request.streamed = type.equals("stream");
    if (!alive.contains(who)) {
      return;
    }
    requests.put(request.id, request);
    event(
        "inbound who=%d txn=%d class=%s%s budget=%.1f%s",
        who,
        request.id,
        type,
        random.nextInt(4) == 0 ? "" : " org=t" + (1 + random.nextInt(2)),
        budgetMillis,
        random.nextBoolean() ? " estimate=12.0" : "");
    if (random.nextInt(12) == 0) {
      at(
          nowMillis() + 10 + random.nextInt(60),
          () -> {
            if (!request.over && alive.contains(who)) {
              request.over = true;
              event("gone who=%d txn=%d", who, request.id);
            }
          });
    }
  }

  private void command(WireCommand command) {
    int who = (int) command.number("who");
    switch (command.name()) {
      case "transmit" -> transmit(who, command.number("txn"), command.number("host"));
      case "shed", "abort" -> requests.get(command.number("txn")).over = true;
      case "cancel" -> cancel(command);
      case "set_timer" -> setTimer(who, command);
      case "memo_to" -> broadcast(who, command.field("raw"));
      case "follow" -> watchEndpoints(who);
      default -> {}
    }
  }

  private void cancel(WireCommand command) {
    ScenarioRequest.Attempt attempt =
        requests.get(command.number("txn")).attempts.get((int) command.number("sendNo"));
    at(nowMillis() + BATCH_MILLIS, () -> end(attempt, CANCELLED));
  }

  private void setTimer(int who, WireCommand command) {
    String token = command.field("token");
    at(
        nowMillis() + Math.max(BATCH_MILLIS, Double.parseDouble(command.field("sleepFor"))),
        () -> {
          if (alive.contains(who)) {
            event("wake who=%d token=%s", who, token);
          }
        });
  }

  private void broadcast(int who, String message) {
    for (int other : List.copyOf(alive)) {
      if (other != who && random.nextInt(10) > 0) {
        at(
            nowMillis() + BATCH_MILLIS,
            () -> event("heard who=%d from=%d raw=%s", other, who, message));
      }
    }
  }

  private void watchEndpoints(int who) {
    boolean fails = random.nextInt(2) == 0;
    at(
        nowMillis() + BATCH_MILLIS,
        () -> {
          if (!fails) {
            ledger(servers);
          }
          event(
              "membership who=%d buffer=0 how=%s stamp=%d", who, fails ? "failed" : "full", stamp);
        });
  }

  private void transmit(int who, long requestId, long endpoint) {
    ScenarioRequest request = requests.get(requestId);
    ScenarioRequest.Attempt attempt = new ScenarioRequest.Attempt();
    attempt.who = who;
    attempt.request = requestId;
    attempt.number = request.attempts.size();
    attempt.server =
        servers.stream().filter(server -> server.id == endpoint).findFirst().orElse(null);
    attempt.sentAtMillis = nowMillis();
    request.attempts.add(attempt);
    if (attempt.server == null) {
      at(nowMillis() + BATCH_MILLIS, () -> end(attempt, CONNECT_FAILED));
    } else {
      serve(request, attempt);
    }
  }

  private void serve(ScenarioRequest request, ScenarioRequest.Attempt attempt) {
    SimulatedServer server = attempt.server;
    double servedMillis =
        Math.max(
            1,
            server.meanMillis
                * server.slowness(nowMillis())
                * (0.3 - Math.log(1 - random.nextDouble()))
                * (1 + server.held / 4.0));
    server.held++;
    int reason = reasonOf(server);
    double takenMillis =
        switch (reason) {
          case ERROR -> 3;
          case CONNECT_FAILED -> 40;
          case FULL -> 1;
          default -> servedMillis;
        };
    double leftMillis = request.deadlineMillis - nowMillis();
    int inTime = takenMillis < leftMillis ? reason : TIMEOUT;
    double endMillis = nowMillis() + Math.min(takenMillis, Math.max(1, leftMillis));
    if (request.streamed && inTime == OK && !request.over) {
      at(nowMillis() + takenMillis / 2, () -> firstByte(request, attempt));
    }
    at(endMillis, () -> end(attempt, inTime));
  }

  private int reasonOf(SimulatedServer server) {
    if (server.meanMillis == SimulatedServer.FAILING) {
      return ERROR;
    }
    if (server.meanMillis == SimulatedServer.UNREACHABLE) {
      return CONNECT_FAILED;
    }
    if (server.isFull()) {
      return FULL;
    }
    return random.nextInt(60) == 0 ? RESET : OK;
  }

  private void firstByte(ScenarioRequest request, ScenarioRequest.Attempt attempt) {
    if (!attempt.ended && !request.over && alive.contains(attempt.who)) {
      event(
          "first_byte who=%d txn=%d sendNo=%d host=%d spent=%.1f",
          attempt.who,
          request.id,
          attempt.number,
          attempt.server.id,
          nowMillis() - attempt.sentAtMillis);
    }
  }

  private void end(ScenarioRequest.Attempt attempt, int reason) {
    if (attempt.ended) {
      return;
    }
    attempt.ended = true;
    if (attempt.server != null) {
      attempt.server.held--;
    }
    if (!alive.contains(attempt.who)) {
      return;
    }
    ScenarioRequest request = requests.get(attempt.request);
    boolean over = request.over || reason == OK;
    request.over = over;
    event(
        "outcome who=%d txn=%d sendNo=%d host=%d reason=%d spent=%.1f%s%s",
        attempt.who,
        attempt.request,
        attempt.number,
        attempt.server == null ? 0 : attempt.server.id,
        reason,
        nowMillis() - attempt.sentAtMillis,
        over ? " terminal=1" : "",
        reason <= ERROR && attempt.server != null ? " load=" + attempt.server.loadReport() : "");
  }
}
