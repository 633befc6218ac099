package leadferry.loadbalancer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import leadferry.loadbalancer.EndpointUpdate.Condition;
import leadferry.loadbalancer.Settings.Scope;
import leadferry.loadbalancer.Settings.Semantics;

/** A load balancer under random legal events, with what it does judged against the rules. */
final class LoadBalancerSimulation implements LoadBalancerActions {
  /** How late a final answer may be: timers are no exact clocks. */
  private static final double SLACK_MILLIS = 20;

  /** What the checker itself knows of an attempt. */
  private static final class AttemptRecord {
    final long endpoint;

    /** When its first byte went out; NaN before. */
    double sentAtMillis = Double.NaN;

    AttemptOutcome result;

    AttemptRecord(long endpoint) {
      this.endpoint = endpoint;
    }

    boolean mayHaveRun() {
      return result == null
          ? !Double.isNaN(sentAtMillis)
          : !(result == AttemptOutcome.FULL
              || result == AttemptOutcome.CONNECT_FAILED
              || result == AttemptOutcome.MOOT);
    }
  }

  private static final class RequestRecord {
    Settings.RequestClass requestClass;
    double deadlineMillis;
    boolean ended;
    final List<AttemptRecord> attempts = new ArrayList<>();
  }

  final Random random;
  final Settings settings;
  final boolean parallel;
  final int maxAttempts;

  /** How long (ms) a connection may take to come up; in between much happens. */
  final double mostConnectMillis;

  final Map<Long, RequestRecord> requests = new HashMap<>();
  final Map<Long, EndpointUpdate> endpointList = new HashMap<>();
  final Map<Long, List<Double>> sendsWhileWarmingUp = new HashMap<>();
  final List<Object[]> due = new ArrayList<>();
  final List<String> faults = new ArrayList<>();
  double nowMillis = 500;
  LoadBalancer balancer;
  long nextId;
  int answered;

  LoadBalancerSimulation(long seed) {
    random = new Random(seed);
    parallel = random.nextBoolean();
    maxAttempts = 1 + random.nextInt(5);
    mostConnectMillis = 0;
    settings =
        LoadBalancerFixture.settings(
            parallel,
            maxAttempts,
            random.nextBoolean(),
            LoadBalancerFixture.requestClass("safe", Semantics.IDEMPOTENT, Scope.ALL),
            LoadBalancerFixture.requestClass("all", Semantics.DEDUPLICATED, Scope.ALL),
            LoadBalancerFixture.requestClass("zone", Semantics.DEDUPLICATED, Scope.ZONE),
            LoadBalancerFixture.requestClass("cell", Semantics.DEDUPLICATED, Scope.CELL),
            LoadBalancerFixture.requestClass("once", Semantics.AT_MOST_ONCE, Scope.ALL));
  }

  /** One of a deployment that nobody has. */
  LoadBalancerSimulation(long seed, Settings drawn, double mostConnectMillis) {
    this.random = new Random(seed);
    this.settings = drawn;
    this.parallel = drawn.limits().parallelTries();
    this.maxAttempts = drawn.limits().maxAttempts();
    this.mostConnectMillis = mostConnectMillis;
  }

  void at(double delay, Runnable what) {
    due.add(new Object[] {nowMillis + delay, what});
  }

  @Override
  public void send(long id, long endpointId, double windowMillis) {
    RequestRecord request = requests.get(id);
    EndpointUpdate endpoint = endpointList.get(endpointId);
    judgeSend(request, endpoint);
    if (endpoint != null
        && endpoint.onlineSince() > 0
        && nowMillis - endpoint.onlineSince() < 8_000) {
      sendsWhileWarmingUp.computeIfAbsent(endpointId, key -> new ArrayList<>()).add(nowMillis);
    }
    int number = request.attempts.size();
    AttemptRecord attempt = new AttemptRecord(endpointId);
    request.attempts.add(attempt);
    if (mostConnectMillis > 0 && random.nextInt(3) == 0) {
      at(
          Math.min(request.deadlineMillis - nowMillis, mostConnectMillis * random.nextDouble()),
          () -> comesUp(id, request, attempt, number, windowMillis));
    } else {
      write(id, request, attempt, number);
    }
  }

  private void judgeSend(RequestRecord request, EndpointUpdate endpoint) {
    if (request.ended) {
      faults.add("rule 1: sent after the end");
    }
    if (endpoint == null || endpoint.condition() != Condition.READY) {
      faults.add("rule 3: sent to an endpoint that drains or is gone");
    }
    if (request.attempts.size() >= maxAttempts) {
      faults.add("more attempts than allowed");
    }
    for (AttemptRecord attempt : request.attempts) {
      if (attempt.result == null && !parallel) {
        faults.add("rule 2: two attempts out");
      }
    }
  }

  /**
   * What an engine asks at the last moment: whether its client waits still, and how far apart it is
   * from others.
   */
  private void comesUp(
      long id, RequestRecord request, AttemptRecord attempt, int number, double windowMillis) {
    boolean goes = !request.ended && nowMillis < request.deadlineMillis;
    for (AttemptRecord other : request.attempts) {
      goes &=
          other == attempt || !other.mayHaveRun() || nowMillis - other.sentAtMillis < windowMillis;
    }
    if (attempt.result == null && goes) {
      write(id, request, attempt, number);
    } else {
      settle(id, request, attempt, number, AttemptOutcome.MOOT, 0);
    }
  }

  private void write(long id, RequestRecord request, AttemptRecord attempt, int number) {
    attempt.sentAtMillis = nowMillis;
    for (AttemptRecord other : request.attempts) {
      if (other != attempt
          && other.mayHaveRun()
          && !repeatable(request, other, endpointList.get(attempt.endpoint))) {
        faults.add("rule 2: repeated where it may have run");
      }
    }
    double leftMillis = request.deadlineMillis - nowMillis;
    double chance = random.nextDouble();
    double spentMillis = Math.min(leftMillis, -60 * Math.log(1 - random.nextDouble()));
    AttemptOutcome end =
        chance < 0.5 && spentMillis < leftMillis
            ? AttemptOutcome.OK
            : chance < 0.6 ? AttemptOutcome.TIMEOUT : AttemptOutcome.values()[random.nextInt(7)];
    if (end == AttemptOutcome.TIMEOUT || (end == AttemptOutcome.OK && spentMillis >= leftMillis)) {
      end = AttemptOutcome.TIMEOUT;
      spentMillis = leftMillis;
    }
    AttemptOutcome result = end;
    double tookMillis = spentMillis;
    at(spentMillis, () -> settle(id, request, attempt, number, result, tookMillis));
  }

  private boolean repeatable(
      RequestRecord request, AttemptRecord attempt, EndpointUpdate endpoint) {
    if (request.requestClass.semantics() == Semantics.IDEMPOTENT) {
      return true;
    }
    if (request.requestClass.semantics() == Semantics.AT_MOST_ONCE
        || nowMillis - attempt.sentAtMillis >= request.requestClass.repeatWindow()) {
      return false;
    }
    EndpointUpdate first = endpointList.get(attempt.endpoint);
    return switch (request.requestClass.scope()) {
      case ALL -> true;
      case ZONE -> first.zone().equals(endpoint.zone());
      case CELL -> first.cell() == endpoint.cell();
    };
  }

  private void settle(
      long id,
      RequestRecord request,
      AttemptRecord attempt,
      int number,
      AttemptOutcome result,
      double spentMillis) {
    if (attempt.result != null) {
      return;
    }
    attempt.result = result;
    boolean over = request.ended || result == AttemptOutcome.OK;
    request.ended |= over;
    if (result == AttemptOutcome.OK) {
      answered++;
    }
    LoadReport report = held(random.nextInt(9));
    balancer.onOutcome(
        nowMillis, id, number, result, spentMillis, over, random.nextBoolean() ? report : null);
  }

  private static LoadReport held(double requestCount) {
    return new LoadReport(requestCount, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
  }

  private void end(long id) {
    RequestRecord request = requests.get(id);
    if (request.ended) {
      faults.add("rule 1: answered twice");
    }
    if (nowMillis > request.deadlineMillis + SLACK_MILLIS) {
      faults.add("rule 1: answered too late");
    }
    request.ended = true;
    answered++;
  }

  @Override
  public void reject(long id, double retryAfterMillis) {
    RequestRecord request = requests.get(id);
    for (AttemptRecord attempt : request.attempts) {
      if (attempt.mayHaveRun()
          && request.requestClass.semantics() != Semantics.IDEMPOTENT
          && !(request.requestClass.semantics() == Semantics.DEDUPLICATED
              && request.requestClass.scope() == Scope.ALL
              && nowMillis - attempt.sentAtMillis < request.requestClass.repeatWindow())) {
        faults.add("rule 2: rejected where it may have run");
      }
    }
    end(id);
  }

  @Override
  public void fail(long id) {
    end(id);
  }

  @Override
  public void cancel(long id, int number) {
    RequestRecord request = requests.get(id);
    AttemptRecord attempt = request.attempts.get(number);
    if (!settings.limits().cancel()) {
      faults.add("cancelled where that is not allowed");
    }
    if (Double.isNaN(attempt.sentAtMillis)) {
      at(0, () -> settle(id, request, attempt, number, AttemptOutcome.MOOT, 0));
      return;
    }
    at(
        0,
        () ->
            settle(
                id,
                request,
                attempt,
                number,
                AttemptOutcome.CANCELLED,
                nowMillis - attempt.sentAtMillis));
  }

  @Override
  public void schedule(double delay, long token) {
    at(Math.max(delay, 0.001), () -> balancer.onTimer(nowMillis, token));
  }

  @Override
  public void watchEndpoints() {
    at(50, () -> balancer.onEndpointList(nowMillis, EndpointListEvent.FAILED, List.of()));
  }

  @Override
  public void log(String line) {}

  void change(int endpoints) {
    long id = random.nextInt(endpoints);
    EndpointUpdate old = endpointList.get(id);
    Condition condition =
        switch (random.nextInt(5)) {
          case 0 -> Condition.TERMINATING;
          case 1 -> Condition.GONE;
          default -> Condition.READY;
        };
    double onlineSinceMillis =
        random.nextInt(3) == 0 ? nowMillis : old == null ? 0 : old.onlineSince();
    EndpointUpdate update = LoadBalancerFixture.endpoint(id, condition, onlineSinceMillis);
    endpointList.put(id, update);
    if (random.nextInt(4) > 0) {
      balancer.onEndpointList(nowMillis, EndpointListEvent.DELTA, List.of(update));
      return;
    }
    List<EndpointUpdate> all = new ArrayList<>();
    for (long known : new TreeSet<>(endpointList.keySet())) {
      EndpointUpdate endpoint = endpointList.get(known);
      if (endpoint.condition() == Condition.GONE) {
        continue;
      }
      if (random.nextInt(10) == 0) {
        endpointList.put(
            known, LoadBalancerFixture.endpoint(known, Condition.GONE, endpoint.onlineSince()));
      } else {
        all.add(endpoint);
      }
    }
    balancer.onEndpointList(nowMillis, EndpointListEvent.FULL, all);
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
      at(delay, () -> change(endpoints));
    }
    // What peers say is a hint, true or not, of endpoints that exist or don't: no rule may rest on
    // it.
    for (double delay = 50; delay < lengthMillis; delay += 1 + random.nextInt(200)) {
      long id = random.nextInt(endpoints + 1);
      double ejectionMillis = random.nextInt(3) == 0 ? 0 : random.nextInt(8_000);
      at(delay, () -> balancer.onGossip(nowMillis, id, ejectionMillis));
    }
    runEvents(stopMillis);
    for (RequestRecord request : requests.values()) {
      if (!request.ended) {
        faults.add("rule 1: lost");
      }
    }
  }

  private void runEvents(double stopMillis) {
    while (!due.isEmpty()) {
      int first = 0;
      for (int i = 1; i < due.size(); i++) {
        if ((double) due.get(i)[0] < (double) due.get(first)[0]) {
          first = i;
        }
      }
      Object[] next = due.remove(first);
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
    double longestMillis = request.requestClass.deadline();
    double budgetMillis =
        random.nextInt(20) == 0
            ? random.nextInt(3) - 1
            : longestMillis / 16 + random.nextDouble() * 7 * longestMillis / 8;
    request.deadlineMillis = nowMillis + budgetMillis;
    long id = nextId++;
    requests.put(id, request);
    balancer.onRequest(
        nowMillis, LoadBalancerFixture.request(id, request.requestClass.name(), budgetMillis));
    // A client may leave early; what is out still ends.
    if (random.nextInt(30) == 0) {
      at(
          random.nextInt(100),
          () -> {
            if (!request.ended) {
              request.ended = true;
              balancer.onClientDisconnect(nowMillis, id);
            }
          });
    }
    at(-8 * Math.log(1 - random.nextDouble()), () -> arrive(stopMillis));
  }
}
