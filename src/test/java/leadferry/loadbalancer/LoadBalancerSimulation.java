package leadferry.loadbalancer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import leadferry.loadbalancer.EndpointUpdate.Condition;
import leadferry.loadbalancer.Settings.KeyScope;
import leadferry.loadbalancer.Settings.Semantics;

/**
 * Runs a load balancer under random valid events and checks its actions against the rules: 1, a
 * request gets exactly one final response, in time, and no attempt after it; 2, no effect happens
 * twice; 3, only ready endpoints get attempts; 4, a warming endpoint is not overloaded.
 */
final class LoadBalancerSimulation implements LoadBalancerActions {
  /** Tolerance for a late final response, because timers are inexact. */
  private static final double SLACK_MILLIS = 20;

  /** State of an attempt as known to the checker. */
  private static final class AttemptRecord {
    final long endpoint;

    /** Time at which the first byte was sent; NaN before. */
    double sentAtMillis = Double.NaN;

    AttemptOutcome outcome;

    AttemptRecord(long endpoint) {
      this.endpoint = endpoint;
    }

    boolean mayHaveRun() {
      return outcome == null
          ? !Double.isNaN(sentAtMillis)
          : !(outcome == AttemptOutcome.FULL
              || outcome == AttemptOutcome.CONNECT_FAILED
              || outcome == AttemptOutcome.MOOT);
    }
  }

  private static final class RequestRecord {
    Settings.RequestClass requestClass;
    double deadlineMillis;
    boolean isEnded;
    final List<AttemptRecord> attempts = new ArrayList<>();
  }

  final Random random;
  final Settings settings;
  final boolean isParallel;
  final int maxAttempts;

  /** Longest time (ms) to establish a connection, during which other events occur. */
  final double maxConnectMillis;

  final Map<Long, RequestRecord> requests = new HashMap<>();
  final Map<Long, EndpointUpdate> endpointList = new HashMap<>();
  final Map<Long, List<Double>> sendsWhileWarmingUp = new HashMap<>();
  final List<Object[]> dueEvents = new ArrayList<>();
  final List<String> violations = new ArrayList<>();
  double nowMillis = 500;
  LoadBalancer balancer;
  long nextId;
  int finishedRequests;

  LoadBalancerSimulation(long seed) {
    random = new Random(seed);
    isParallel = random.nextBoolean();
    maxAttempts = 1 + random.nextInt(5);
    maxConnectMillis = 0;
    settings =
        LoadBalancerFixture.settings(
            isParallel,
            maxAttempts,
            random.nextBoolean(),
            LoadBalancerFixture.requestClass("safe", Semantics.IDEMPOTENT, KeyScope.ALL),
            LoadBalancerFixture.requestClass("all", Semantics.DEDUPLICATED, KeyScope.ALL),
            LoadBalancerFixture.requestClass("zone", Semantics.DEDUPLICATED, KeyScope.ZONE),
            LoadBalancerFixture.requestClass("cell", Semantics.DEDUPLICATED, KeyScope.CELL),
            LoadBalancerFixture.requestClass("once", Semantics.AT_MOST_ONCE, KeyScope.ALL));
  }

  /** Creates a simulation of an unusual deployment with drawn settings. */
  LoadBalancerSimulation(long seed, Settings settings, double maxConnectMillis) {
    this.random = new Random(seed);
    this.settings = settings;
    this.isParallel = settings.limits().canRunParallelAttempts();
    this.maxAttempts = settings.limits().maxAttempts();
    this.maxConnectMillis = maxConnectMillis;
  }

  void after(double delayMillis, Runnable event) {
    dueEvents.add(new Object[] {nowMillis + delayMillis, event});
  }

  @Override
  public void send(long id, long endpointId, double windowMillis) {
    RequestRecord request = requests.get(id);
    EndpointUpdate endpoint = endpointList.get(endpointId);
    checkSend(request, endpoint);
    if (endpoint != null
        && endpoint.onlineSinceMillis() > 0
        && nowMillis - endpoint.onlineSinceMillis() < 8_000) {
      sendsWhileWarmingUp.computeIfAbsent(endpointId, key -> new ArrayList<>()).add(nowMillis);
    }
    int number = request.attempts.size();
    AttemptRecord attempt = new AttemptRecord(endpointId);
    request.attempts.add(attempt);
    if (maxConnectMillis > 0 && random.nextInt(3) == 0) {
      after(
          Math.min(request.deadlineMillis - nowMillis, maxConnectMillis * random.nextDouble()),
          () -> onConnected(id, request, attempt, number, windowMillis));
    } else {
      write(id, request, attempt, number);
    }
  }

  private void checkSend(RequestRecord request, EndpointUpdate endpoint) {
    if (request.isEnded) {
      violations.add("rule 1: attempt sent after the final response");
    }
    if (endpoint == null || endpoint.condition() != Condition.READY) {
      violations.add("rule 3: attempt sent to a draining or removed endpoint");
    }
    if (request.attempts.size() >= maxAttempts) {
      violations.add("more attempts than permitted");
    }
    for (AttemptRecord attempt : request.attempts) {
      if (attempt.outcome == null && !isParallel) {
        violations.add("rule 2: two attempts open, parallel attempts not permitted");
      }
    }
  }

  /**
   * Checks, as the engine does before it sends the first byte, whether the client still waits and
   * whether the other attempts are recent enough.
   */
  private void onConnected(
      long id, RequestRecord request, AttemptRecord attempt, int number, double windowMillis) {
    boolean canSend = !request.isEnded && nowMillis < request.deadlineMillis;
    for (AttemptRecord other : request.attempts) {
      canSend &=
          other == attempt || !other.mayHaveRun() || nowMillis - other.sentAtMillis < windowMillis;
    }
    if (attempt.outcome == null && canSend) {
      write(id, request, attempt, number);
    } else {
      endAttempt(id, request, attempt, number, AttemptOutcome.MOOT, 0);
    }
  }

  private void write(long id, RequestRecord request, AttemptRecord attempt, int number) {
    attempt.sentAtMillis = nowMillis;
    for (AttemptRecord other : request.attempts) {
      if (other != attempt
          && other.mayHaveRun()
          && !isRepeatable(request, other, endpointList.get(attempt.endpoint))) {
        violations.add("rule 2: unsafe repeat of an attempt that may have been executed");
      }
    }
    double leftMillis = request.deadlineMillis - nowMillis;
    double draw = random.nextDouble();
    double spentMillis = Math.min(leftMillis, -60 * Math.log(1 - random.nextDouble()));
    AttemptOutcome drawn =
        draw < 0.5 && spentMillis < leftMillis
            ? AttemptOutcome.OK
            : draw < 0.6 ? AttemptOutcome.TIMEOUT : AttemptOutcome.values()[random.nextInt(7)];
    if (drawn == AttemptOutcome.TIMEOUT
        || (drawn == AttemptOutcome.OK && spentMillis >= leftMillis)) {
      drawn = AttemptOutcome.TIMEOUT;
      spentMillis = leftMillis;
    }
    AttemptOutcome outcome = drawn;
    double actualMillis = spentMillis;
    after(spentMillis, () -> endAttempt(id, request, attempt, number, outcome, actualMillis));
  }

  private boolean isRepeatable(
      RequestRecord request, AttemptRecord attempt, EndpointUpdate endpoint) {
    if (request.requestClass.semantics() == Semantics.IDEMPOTENT) {
      return true;
    }
    if (request.requestClass.semantics() == Semantics.AT_MOST_ONCE
        || nowMillis - attempt.sentAtMillis >= request.requestClass.deduplicationWindowMillis()) {
      return false;
    }
    EndpointUpdate first = endpointList.get(attempt.endpoint);
    return switch (request.requestClass.keyScope()) {
      case ALL -> true;
      case ZONE -> first.zone().equals(endpoint.zone());
      case CELL -> first.cell() == endpoint.cell();
    };
  }

  private void endAttempt(
      long id,
      RequestRecord request,
      AttemptRecord attempt,
      int number,
      AttemptOutcome outcome,
      double spentMillis) {
    if (attempt.outcome != null) {
      return;
    }
    attempt.outcome = outcome;
    boolean isOver = request.isEnded || outcome == AttemptOutcome.OK;
    request.isEnded |= isOver;
    if (outcome == AttemptOutcome.OK) {
      finishedRequests++;
    }
    LoadReport report = loadReport(random.nextInt(9));
    balancer.onOutcome(
        nowMillis, id, number, outcome, spentMillis, isOver, random.nextBoolean() ? report : null);
  }

  private static LoadReport loadReport(double heldRequests) {
    return new LoadReport(heldRequests, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
  }

  private void endRequest(long id) {
    RequestRecord request = requests.get(id);
    if (request.isEnded) {
      violations.add("rule 1: second final response");
    }
    if (nowMillis > request.deadlineMillis + SLACK_MILLIS) {
      violations.add("rule 1: final response after the deadline");
    }
    request.isEnded = true;
    finishedRequests++;
  }

  @Override
  public void reject(long id, double retryAfterMillis) {
    RequestRecord request = requests.get(id);
    for (AttemptRecord attempt : request.attempts) {
      if (attempt.mayHaveRun()
          && request.requestClass.semantics() != Semantics.IDEMPOTENT
          && !(request.requestClass.semantics() == Semantics.DEDUPLICATED
              && request.requestClass.keyScope() == KeyScope.ALL
              && nowMillis - attempt.sentAtMillis
                  < request.requestClass.deduplicationWindowMillis())) {
        violations.add("rule 2: rejected as safe to retry, but may have been executed");
      }
    }
    endRequest(id);
  }

  @Override
  public void fail(long id) {
    endRequest(id);
  }

  @Override
  public void cancel(long id, int number) {
    RequestRecord request = requests.get(id);
    AttemptRecord attempt = request.attempts.get(number);
    if (!settings.limits().canCancel()) {
      violations.add("attempt cancelled, but cancelling is not permitted");
    }
    if (Double.isNaN(attempt.sentAtMillis)) {
      after(0, () -> endAttempt(id, request, attempt, number, AttemptOutcome.MOOT, 0));
      return;
    }
    after(
        0,
        () ->
            endAttempt(
                id,
                request,
                attempt,
                number,
                AttemptOutcome.CANCELLED,
                nowMillis - attempt.sentAtMillis));
  }

  @Override
  public void schedule(double delayMillis, long token) {
    after(Math.max(delayMillis, 0.001), () -> balancer.onTimer(nowMillis, token));
  }

  @Override
  public void watchEndpoints() {
    after(50, () -> balancer.onEndpointList(nowMillis, EndpointListEvent.FAILED, List.of()));
  }

  @Override
  public void log(String line) {}

  void changeEndpoint(int endpoints) {
    long id = random.nextInt(endpoints);
    EndpointUpdate previous = endpointList.get(id);
    Condition condition =
        switch (random.nextInt(5)) {
          case 0 -> Condition.TERMINATING;
          case 1 -> Condition.GONE;
          default -> Condition.READY;
        };
    double onlineSinceMillis =
        random.nextInt(3) == 0 ? nowMillis : previous == null ? 0 : previous.onlineSinceMillis();
    EndpointUpdate update = LoadBalancerFixture.endpoint(id, condition, onlineSinceMillis);
    endpointList.put(id, update);
    if (random.nextInt(4) > 0) {
      balancer.onEndpointList(nowMillis, EndpointListEvent.DELTA, List.of(update));
      return;
    }
    List<EndpointUpdate> fullList = new ArrayList<>();
    for (long known : new TreeSet<>(endpointList.keySet())) {
      EndpointUpdate endpoint = endpointList.get(known);
      if (endpoint.condition() == Condition.GONE) {
        continue;
      }
      if (random.nextInt(10) == 0) {
        endpointList.put(
            known,
            LoadBalancerFixture.endpoint(known, Condition.GONE, endpoint.onlineSinceMillis()));
      } else {
        fullList.add(endpoint);
      }
    }
    balancer.onEndpointList(nowMillis, EndpointListEvent.FULL, fullList);
  }

  void run(int endpoints, double lengthMillis) {
    balancer = new LoadBalancer(settings, random.nextLong(), this);
    for (EndpointUpdate update : LoadBalancerFixture.endpoints(endpoints)) {
      endpointList.put(update.id(), update);
    }
    balancer.onStart(nowMillis);
    balancer.onEndpointList(
        nowMillis, EndpointListEvent.CACHED, new ArrayList<>(endpointList.values()));
    double stopMillis = nowMillis + lengthMillis;
    arrive(stopMillis);
    for (double delay = 100; delay < lengthMillis; delay += 100 + random.nextInt(400)) {
      after(delay, () -> changeEndpoint(endpoints));
    }
    // Gossip hints may be wrong and may name unknown endpoints: no rule may depend on them.
    for (double delay = 50; delay < lengthMillis; delay += 1 + random.nextInt(200)) {
      long id = random.nextInt(endpoints + 1);
      double ejectionMillis = random.nextInt(3) == 0 ? 0 : random.nextInt(8_000);
      after(delay, () -> balancer.onGossip(nowMillis, id, ejectionMillis));
    }
    runEvents(stopMillis);
    for (RequestRecord request : requests.values()) {
      if (!request.isEnded) {
        violations.add("rule 1: no final response");
      }
    }
  }

  private void runEvents(double stopMillis) {
    while (!dueEvents.isEmpty()) {
      int first = 0;
      for (int i = 1; i < dueEvents.size(); i++) {
        if ((double) dueEvents.get(i)[0] < (double) dueEvents.get(first)[0]) {
          first = i;
        }
      }
      Object[] next = dueEvents.remove(first);
      nowMillis = Math.max(nowMillis, (double) next[0]);
      if (nowMillis > stopMillis + 12_000) {
        break;
      }
      ((Runnable) next[1]).run();
    }
  }

  private void arrive(double stopMillis) {
    if (nowMillis > stopMillis) {
      return;
    }
    RequestRecord request = new RequestRecord();
    request.requestClass = settings.classes().get(random.nextInt(settings.classes().size()));
    double longestMillis = request.requestClass.deadlineMillis();
    double budgetMillis =
        random.nextInt(20) == 0
            ? random.nextInt(3) - 1
            : longestMillis / 16 + random.nextDouble() * 7 * longestMillis / 8;
    request.deadlineMillis = nowMillis + budgetMillis;
    long id = nextId++;
    requests.put(id, request);
    String name = request.requestClass.name();
    balancer.onRequest(nowMillis, LoadBalancerFixture.request(balancer, id, name, budgetMillis));
    // A client may disconnect early. Open attempts still end.
    if (random.nextInt(30) == 0) {
      after(
          random.nextInt(100),
          () -> {
            if (!request.isEnded) {
              request.isEnded = true;
              balancer.onClientDisconnect(nowMillis, id);
            }
          });
    }
    after(-8 * Math.log(1 - random.nextDouble()), () -> arrive(stopMillis));
  }
}
