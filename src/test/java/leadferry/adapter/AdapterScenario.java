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
 * A small simulated deployment on the adapter's wire format: four instances, two zones, and servers
 * that are slow, silent, full, failing, draining or warming up. {@link AdapterRecorder} used it to
 * create the transcripts in {@code fixtures/adapter}. The same seed produces the same events as
 * long as the adapter sends the same commands.
 */
final class AdapterScenario {
  private static final int INSTANCES = 4;
  private static final double END_MILLIS = 9_000;
  private static final double BATCH_MILLIS = 5;

  // Outcomes of an attempt, by their numbers on the wire.
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
  private final Set<Integer> runningInstances = new HashSet<>();
  private final boolean shouldWatchDiscovery;
  private final boolean canRunParallelAttempts;
  private long nextId = 100;
  private int listVersion = 1;

  AdapterScenario(long seed) {
    this.seed = seed;
    this.random = new Random(seed);
    this.shouldWatchDiscovery = seed % 2 == 0;
    this.canRunParallelAttempts = seed % 3 != 0;
  }

  /**
   * Runs the adapter through the scenario. Writes the events to {@code input} and the adapter's
   * replies to {@code output}.
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
          for (String line : adapter.exchange(text)) {
            output.append(line).append('\n');
            runCommand(new WireCommand(line));
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

  private void schedule(double timeMillis, Runnable action) {
    time.schedule(timeMillis, action);
  }

  private void addEvent(String format, Object... args) {
    batch.append(String.format(Locale.ROOT, format, args)).append('\n');
  }

  private void start() {
    servers.addAll(SimulatedServer.createInitial());
    for (int instance = 0; instance < INSTANCES; instance++) {
      int startedInstance = instance;
      schedule(nowMillis(), () -> startInstance(startedInstance));
      scheduleFirstArrival(startedInstance);
    }
    scheduleFaults();
    scheduleOverload();
    scheduleProbes();
  }

  private void scheduleFaults() {
    schedule(2_000, () -> servers.get(1).meanMillis = SimulatedServer.SILENT);
    schedule(2_500, () -> servers.get(4).meanMillis = SimulatedServer.FAILING);
    schedule(3_000, () -> drain(servers.get(2)));
    schedule(3_300, () -> addServer());
    schedule(3_800, () -> servers.get(6).meanMillis = 400); // slow
    schedule(4_400, () -> servers.get(1).meanMillis = 9);
    schedule(
        4_800,
        () -> {
          servers.get(5).onlineSinceMillis = nowMillis();
          addEndpointListForAll("full");
        });
    schedule(
        5_200,
        () -> {
          addEvent("retire who=2");
          runningInstances.remove(2);
        });
    schedule(5_400, () -> startInstance(2));
    schedule(5_600, () -> servers.get(7).meanMillis = SimulatedServer.UNREACHABLE);
  }

  private void scheduleOverload() {
    schedule(6_000, () -> servers.forEach(SimulatedServer::slowDown));
    schedule(7_200, () -> servers.forEach(SimulatedServer::recover));
  }

  private void scheduleProbes() {
    for (double when = 1_500; when < END_MILLIS; when += 700) {
      schedule(
          when,
          () -> {
            int instance = random.nextInt(INSTANCES);
            SimulatedServer server = servers.get(random.nextInt(servers.size()));
            addEvent(
                "probed who=%d host=%d spent=2.5 reason=1 load=%s",
                instance, server.id, server.loadReport());
          });
    }
  }

  private void startInstance(int instance) {
    addEvent(
        "new_instance who=%d prng=%d conf=%s",
        instance,
        1_000 * seed + instance + (long) nowMillis(),
        ScenarioSettings.json(
            seed, INSTANCES, instance, shouldWatchDiscovery, canRunParallelAttempts));
    runningInstances.add(instance);
    addEndpointBuffer(servers);
    addEvent("membership who=%d buffer=0 how=cached stamp=%d", instance, listVersion);
  }

  private void addEndpointBuffer(List<SimulatedServer> list) {
    addEvent("ledger buffer=0 records=%d", list.size());
    for (SimulatedServer server : list) {
      addEvent("%s", server.endpointEntry());
    }
  }

  private void addEndpointListForAll(String listKind) {
    listVersion++;
    addEndpointBuffer(servers);
    for (int instance : runningInstances) {
      addEvent("membership who=%d buffer=0 how=%s stamp=%d", instance, listKind, listVersion);
    }
  }

  private void drain(SimulatedServer server) {
    server.condition = "Terminating";
    listVersion++;
    addEndpointBuffer(List.of(server));
    for (int runningInstance : runningInstances) {
      addEvent("membership who=%d buffer=0 how=delta stamp=%d", runningInstance, listVersion);
    }
    schedule(
        nowMillis() + 1_500,
        () -> {
          server.condition = "Gone";
          addEndpointBuffer(List.of(server));
          runningInstances.forEach(
              runningInstance ->
                  addEvent(
                      "membership who=%d buffer=0 how=delta stamp=%d",
                      runningInstance, ++listVersion));
          servers.remove(server);
        });
  }

  private void addServer() {
    servers.add(SimulatedServer.createStarted(nowMillis()));
    addEndpointListForAll("full");
  }

  private void scheduleFirstArrival(int instance) {
    double gapMillis = -Math.log(1 - random.nextDouble()) * 28;
    scheduleArrival(instance, nowMillis() + 50 + gapMillis);
  }

  private void scheduleArrival(int instance, double whenMillis) {
    if (whenMillis > END_MILLIS) {
      return;
    }
    schedule(
        whenMillis,
        () -> {
          addRequest(instance);
          scheduleArrival(
              instance,
              whenMillis
                  - Math.log(1 - random.nextDouble())
                      * (nowMillis() > 6_000 && nowMillis() < 7_000 ? 9 : 28));
        });
  }

  private void addRequest(int instance) {
    ScenarioRequest request = new ScenarioRequest();
    request.id = nextId++;
    String className =
        List.of("read", "read", "log", "zonal", "key", "claim", "stream", "novel")
            .get(random.nextInt(8));
    double budgetMillis = className.equals("claim") ? 500 : random.nextInt(6) == 0 ? 90 : 400;
    request.deadlineMillis = nowMillis() + budgetMillis;
    request.isStreamed = className.equals("stream");
    if (!runningInstances.contains(instance)) {
      return;
    }
    requests.put(request.id, request);
    addEvent(
        "inbound who=%d txn=%d class=%s%s budget=%.1f%s",
        instance,
        request.id,
        className,
        random.nextInt(4) == 0 ? "" : " org=t" + (1 + random.nextInt(2)),
        budgetMillis,
        random.nextBoolean() ? " estimate=12.0" : "");
    if (random.nextInt(12) == 0) {
      schedule(
          nowMillis() + 10 + random.nextInt(60),
          () -> {
            if (!request.isOver && runningInstances.contains(instance)) {
              request.isOver = true;
              addEvent("gone who=%d txn=%d", instance, request.id);
            }
          });
    }
  }

  private void runCommand(WireCommand command) {
    int instance = (int) command.number("who");
    switch (command.name()) {
      case "transmit" -> send(instance, command.number("txn"), command.number("host"));
      case "shed", "abort" -> requests.get(command.number("txn")).isOver = true;
      case "cancel" -> cancel(command);
      case "set_timer" -> setTimer(instance, command);
      case "memo_to" -> broadcast(instance, command.field("raw"));
      case "follow" -> watchEndpoints(instance);
      default -> {}
    }
  }

  private void cancel(WireCommand command) {
    ScenarioRequest.Attempt attempt =
        requests.get(command.number("txn")).attempts.get((int) command.number("sendNo"));
    schedule(nowMillis() + BATCH_MILLIS, () -> endAttempt(attempt, CANCELLED));
  }

  private void setTimer(int instance, WireCommand command) {
    String token = command.field("token");
    schedule(
        nowMillis() + Math.max(BATCH_MILLIS, Double.parseDouble(command.field("sleepFor"))),
        () -> {
          if (runningInstances.contains(instance)) {
            addEvent("wake who=%d token=%s", instance, token);
          }
        });
  }

  private void broadcast(int instance, String message) {
    for (int other : List.copyOf(runningInstances)) {
      if (other != instance && random.nextInt(10) > 0) {
        schedule(
            nowMillis() + BATCH_MILLIS,
            () -> addEvent("heard who=%d from=%d raw=%s", other, instance, message));
      }
    }
  }

  private void watchEndpoints(int instance) {
    boolean isFailing = random.nextInt(2) == 0;
    schedule(
        nowMillis() + BATCH_MILLIS,
        () -> {
          if (!isFailing) {
            addEndpointBuffer(servers);
          }
          addEvent(
              "membership who=%d buffer=0 how=%s stamp=%d",
              instance, isFailing ? "failed" : "full", listVersion);
        });
  }

  private void send(int instance, long requestId, long endpoint) {
    ScenarioRequest request = requests.get(requestId);
    ScenarioRequest.Attempt attempt = new ScenarioRequest.Attempt();
    attempt.instance = instance;
    attempt.requestId = requestId;
    attempt.number = request.attempts.size();
    attempt.server =
        servers.stream().filter(server -> server.id == endpoint).findFirst().orElse(null);
    attempt.sentAtMillis = nowMillis();
    request.attempts.add(attempt);
    if (attempt.server == null) {
      schedule(nowMillis() + BATCH_MILLIS, () -> endAttempt(attempt, CONNECT_FAILED));
    } else {
      serve(request, attempt);
    }
  }

  private void serve(ScenarioRequest request, ScenarioRequest.Attempt attempt) {
    SimulatedServer server = attempt.server;
    double serviceMillis =
        Math.max(
            1,
            server.meanMillis
                * server.slowness(nowMillis())
                * (0.3 - Math.log(1 - random.nextDouble()))
                * (1 + server.heldRequests / 4.0));
    server.heldRequests++;
    int serverOutcome = outcomeOf(server);
    double responseMillis =
        switch (serverOutcome) {
          case ERROR -> 3;
          case CONNECT_FAILED -> 40;
          case FULL -> 1;
          default -> serviceMillis;
        };
    double remainingMillis = request.deadlineMillis - nowMillis();
    int outcome = responseMillis < remainingMillis ? serverOutcome : TIMEOUT;
    double endMillis = nowMillis() + Math.min(responseMillis, Math.max(1, remainingMillis));
    if (request.isStreamed && outcome == OK && !request.isOver) {
      schedule(nowMillis() + responseMillis / 2, () -> firstByte(request, attempt));
    }
    schedule(endMillis, () -> endAttempt(attempt, outcome));
  }

  private int outcomeOf(SimulatedServer server) {
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
    if (!attempt.isEnded && !request.isOver && runningInstances.contains(attempt.instance)) {
      addEvent(
          "first_byte who=%d txn=%d sendNo=%d host=%d spent=%.1f",
          attempt.instance,
          request.id,
          attempt.number,
          attempt.server.id,
          nowMillis() - attempt.sentAtMillis);
    }
  }

  private void endAttempt(ScenarioRequest.Attempt attempt, int outcome) {
    if (attempt.isEnded) {
      return;
    }
    attempt.isEnded = true;
    if (attempt.server != null) {
      attempt.server.heldRequests--;
    }
    if (!runningInstances.contains(attempt.instance)) {
      return;
    }
    ScenarioRequest request = requests.get(attempt.requestId);
    boolean isOver = request.isOver || outcome == OK;
    request.isOver = isOver;
    addEvent(
        "outcome who=%d txn=%d sendNo=%d host=%d reason=%d spent=%.1f%s%s",
        attempt.instance,
        attempt.requestId,
        attempt.number,
        attempt.server == null ? 0 : attempt.server.id,
        outcome,
        nowMillis() - attempt.sentAtMillis,
        isOver ? " terminal=1" : "",
        outcome <= ERROR && attempt.server != null ? " load=" + attempt.server.loadReport() : "");
  }
}
