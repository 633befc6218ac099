package leadferry.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
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
 * Simulation of a fleet: many real load balancers and modelled upstream hosts, in one thread and in
 * virtual time. It shows what independent decisions of the proxies add up to. A host has three
 * cores, a queue, and a connection table that takes a share of its capacity as it fills; it warms
 * up after its start. A proxy keeps an idle connection as long as the platform's proxy does. Times
 * are milliseconds.
 *
 * <pre>
 *   arrival -> load balancer -> (connect) -> host: queue, work -> response with report -> load balancer
 * </pre>
 */
public final class FleetModel {
  public static final String CLAIM = "claim";
  public static final String LOG = "log";
  private static final double OBJECTIVE_MILLIS = 500;
  private static final double DEADLINE_MILLIS = 1_000;

  /** Share of the deadline after which a client gives up an attempt and sends the request again. */
  private static final double ATTEMPT_TIMEOUT_SHARE = 0.55;

  private static final int MAX_CLIENT_ATTEMPTS = 4;
  private static final double MEAN_WORK_MILLIS = 120;
  private static final double HANDSHAKE_WORK_MILLIS = 4;
  private static final double ONE_WAY_DELAY_MILLIS = 1;
  private static final double WARM_UP_MILLIS = 8_700;
  private static final double INITIAL_CAPACITY_SHARE = 0.3;
  private static final double OVERLOAD_WINDOW_MILLIS = 1_500;
  private static final double OVERLOAD_MULTIPLE = 3;

  /**
   * Parameters of a run.
   *
   * @param proxies the number of proxies
   * @param hosts the number of upstream hosts
   * @param load the offered load relative to the capacity of all hosts
   * @param connectionTableSize the number of connections that a host accepts
   * @param fullTableCost the share of the capacity of a host that a full connection table takes
   * @param idleTimeoutMillis how long a proxy keeps an idle connection
   * @param seed the seed of all random choices
   */
  public record Plan(
      int proxies,
      int hosts,
      double load,
      int connectionTableSize,
      double fullTableCost,
      double idleTimeoutMillis,
      long seed) {
    /**
     * Returns a plan with connection tables of 20 entries, which take 0.4 of the capacity of a host
     * when full, and the idle timeout of the platform's proxy.
     */
    public static Plan of(int proxies, int hosts, double load, long seed) {
      return new Plan(
          proxies, hosts, load, 20, 0.4, settings(proxies, 0).idleTimeoutMillis(60_000), seed);
    }
  }

  private record Event(double atMillis, long order, Runnable task) {}

  /** Modelled upstream host. */
  public final class Host {
    final long id;
    final double startedAtMillis;
    final ArrayDeque<Attempt> queuedAttempts = new ArrayDeque<>();
    final List<Double> sendTimes = new ArrayList<>();
    int runningAttempts;
    int connections;
    public int peakConnections;
    public int attemptsSent;
    boolean terminating;

    /** The request class that the host rejects, or null. */
    public String rejectedClass;

    /** Whether the host accepts requests and never responds. */
    public boolean hanging;

    /** The share of the responses of the host that are lost. */
    public double responseLossShare;

    Host(long id, double startedAtMillis) {
      this.id = id;
      this.startedAtMillis = startedAtMillis;
    }

    double capacityShare() {
      return startedAtMillis <= 0
          ? 1
          : Math.min(
              1,
              INITIAL_CAPACITY_SHARE
                  + (1 - INITIAL_CAPACITY_SHARE) * (nowMillis - startedAtMillis) / WARM_UP_MILLIS);
    }

    double speed() {
      return capacityShare()
          * (1 - plan.fullTableCost * Math.min(1, (double) connections / plan.connectionTableSize));
    }

    void enqueue(Attempt attempt) {
      queuedAttempts.add(attempt);
      startAttempts();
    }

    private void startAttempts() {
      while (runningAttempts < 3 && !queuedAttempts.isEmpty()) {
        Attempt attempt = queuedAttempts.poll();
        if (attempt.ended) {
          continue;
        }
        runningAttempts++;
        runAfter(
            attempt.workMillis / speed(),
            () -> {
              runningAttempts--;
              attempt.onWorkDone();
              startAttempts();
            });
      }
    }

    private EndpointUpdate endpointUpdate() {
      EndpointUpdate.Condition condition =
          terminating ? EndpointUpdate.Condition.TERMINATING : EndpointUpdate.Condition.READY;
      return new EndpointUpdate(id, "a", "k", id / 6, condition, 1, startedAtMillis);
    }
  }

  /** Attempt sent to a host. */
  private final class Attempt {
    final Proxy proxy;
    final Host host;
    final long requestId;
    final int number;
    final String className;
    final double sentAtMillis;
    double workMillis;
    boolean ended;

    Attempt(Proxy proxy, Host host, long requestId, int number, String className) {
      this.proxy = proxy;
      this.host = host;
      this.requestId = requestId;
      this.number = number;
      this.className = className;
      this.sentAtMillis = nowMillis;
      this.workMillis = MEAN_WORK_MILLIS * (0.4 + 1.2 * random.nextDouble());
    }

    void onWorkDone() {
      if (host.hanging) {
        return;
      }
      if (!ended && random.nextDouble() < host.responseLossShare) {
        lostResponses++;
        return;
      }
      end(AttemptOutcome.OK, true, true);
    }

    /** Ends the attempt; {@code keepsConnection} states whether its connection stays open. */
    void end(AttemptOutcome outcome, boolean isRequestOver, boolean keepsConnection) {
      if (ended) {
        return;
      }
      ended = true;
      proxy.releaseConnection(host, keepsConnection);
      LoadReport report =
          outcome == AttemptOutcome.OK || outcome == AttemptOutcome.FULL
              ? new LoadReport(
                  host.runningAttempts + host.queuedAttempts.size(),
                  Double.NaN,
                  Double.NaN,
                  Double.NaN,
                  Double.NaN,
                  Double.NaN)
              : null;
      proxy.onAttemptEnd(this, outcome, isRequestOver, report);
    }
  }

  private final class Proxy implements LoadBalancerActions, SuspicionProtocol.Actions {
    final LoadBalancer loadBalancer;
    final Map<Long, Integer> attemptCounts = new HashMap<>();
    final Map<Long, Attempt> openAttempts = new HashMap<>();
    final Map<Long, ClientRequest> openRequests = new HashMap<>();
    final Map<Host, ArrayDeque<Double>> idleSinceByHost = new HashMap<>();
    final SuspicionProtocol suspicionProtocol;
    final int index;
    long nextRequestId;

    Proxy(int index) {
      this.index = index;
      loadBalancer = new LoadBalancer(settings(plan.proxies, index), plan.seed * 31 + index, this);
      suspicionProtocol =
          new SuspicionProtocol(null, plan.proxies, OBJECTIVE_MILLIS, plan.seed * 37 + index, this);
    }

    void submit(ClientRequest request) {
      long id = nextRequestId++;
      openRequests.put(id, request);
      request.attempts++;
      loadBalancer.onRequest(
          nowMillis,
          new RequestArrival(
              id,
              loadBalancer.policyOf(request.className, ATTEMPT_TIMEOUT_SHARE * DEADLINE_MILLIS),
              null,
              ATTEMPT_TIMEOUT_SHARE * DEADLINE_MILLIS,
              Double.NaN,
              false));
      runAfter(ATTEMPT_TIMEOUT_SHARE * DEADLINE_MILLIS, () -> giveUp(id));
    }

    private void giveUp(long id) {
      if (openRequests.containsKey(id)) {
        Attempt attempt = openAttempts.get(id);
        if (attempt != null) {
          attempt.end(AttemptOutcome.TIMEOUT, true, false);
        } else {
          loadBalancer.onClientDisconnect(nowMillis, id);
          onRequestEnd(id, false);
        }
      }
    }

    private void onRequestEnd(long id, boolean served) {
      ClientRequest request = openRequests.remove(id);
      if (request == null) {
        return;
      }
      if (served) {
        servedInTime += nowMillis - request.arrivedAtMillis <= OBJECTIVE_MILLIS ? 1 : 0;
      } else if (request.attempts < MAX_CLIENT_ATTEMPTS) {
        runAfter(20, () -> submit(request));
      }
    }

    void onAttemptEnd(
        Attempt attempt, AttemptOutcome outcome, boolean isRequestOver, LoadReport report) {
      openAttempts.remove(attempt.requestId, attempt);
      if (gossipEnabled && outcome.hasResponse()) {
        suspicionProtocol.onResponse(nowMillis, attempt.host.id);
      }
      loadBalancer.onOutcome(
          nowMillis,
          attempt.requestId,
          attempt.number,
          outcome,
          nowMillis - attempt.sentAtMillis,
          isRequestOver,
          report);
      if (isRequestOver) {
        onRequestEnd(attempt.requestId, outcome == AttemptOutcome.OK);
      }
    }

    void releaseConnection(Host host, boolean keepsConnection) {
      if (!keepsConnection) {
        host.connections--;
        return;
      }
      ArrayDeque<Double> idleSince =
          idleSinceByHost.computeIfAbsent(host, key -> new ArrayDeque<>());
      idleSince.addLast(nowMillis);
      runAfter(
          plan.idleTimeoutMillis,
          () -> {
            if (!idleSince.isEmpty()
                && idleSince.peekFirst() <= nowMillis - plan.idleTimeoutMillis) {
              idleSince.pollFirst();
              host.connections--;
            }
          });
    }

    @Override
    public void send(long request, long endpoint, double windowMillis) {
      Host host = hostsById.get(endpoint);
      Attempt attempt =
          new Attempt(
              this,
              host,
              request,
              attemptCounts.merge(request, 1, Integer::sum) - 1,
              openRequests.get(request).className);
      openAttempts.put(request, attempt);
      attemptsSent++;
      suspicionProtocol.onAttempt();
      attemptsToHangingHosts += host.hanging ? 1 : 0;
      host.attemptsSent++;
      host.sendTimes.add(nowMillis);
      ArrayDeque<Double> idleSince = idleSinceByHost.get(host);
      boolean connects = idleSince == null || idleSince.pollLast() == null;
      if (connects) {
        handshakes++;
        if (host.connections >= plan.connectionTableSize) {
          connectionsRejected++;
          host.connections++; // counts until the host has rejected it
          runAfter(2 * ONE_WAY_DELAY_MILLIS, () -> attempt.end(AttemptOutcome.FULL, false, false));
          return;
        }
        host.connections++;
        host.peakConnections = Math.max(host.peakConnections, host.connections);
        attempt.workMillis += HANDSHAKE_WORK_MILLIS;
      }
      if (attempt.className.equals(host.rejectedClass)) {
        rejectedByHosts++;
        runAfter(2 * ONE_WAY_DELAY_MILLIS, () -> attempt.end(AttemptOutcome.FULL, false, true));
      } else {
        runAfter(ONE_WAY_DELAY_MILLIS, () -> host.enqueue(attempt));
      }
    }

    @Override
    public void reject(long request, double retryAfterMillis) {
      rejectedByProxies++;
      runAfter(0, () -> onRequestEnd(request, false));
    }

    @Override
    public void fail(long request) {
      runAfter(0, () -> onRequestEnd(request, false));
    }

    @Override
    public void cancel(long request, int attemptNumber) {
      Attempt attempt = openAttempts.get(request);
      if (attempt != null && attempt.number == attemptNumber) {
        runAfter(0, () -> attempt.end(AttemptOutcome.CANCELLED, false, false));
      }
    }

    @Override
    public void schedule(double delayMillis, long token) {
      runAfter(delayMillis, () -> loadBalancer.onTimer(nowMillis, token));
    }

    @Override
    public void onNoResponse(long endpoint, double atMillis, double sentAtMillis) {
      if (gossipEnabled) {
        suspicionProtocol.onNoResponse(atMillis, endpoint, sentAtMillis);
      }
    }

    @Override
    public void broadcast(byte[] message) {
      gossipBytes += message.length * (long) (proxies.size() - 1);
      for (Proxy proxy : proxies) {
        if (proxy != this && random.nextDouble() > 0.02) {
          FleetModel.this.runAfter(
              3 + 25 * random.nextDouble(),
              () -> proxy.suspicionProtocol.onMessage(nowMillis, index, message));
        }
      }
    }

    @Override
    public void eject(long endpoint, double lengthMillis, boolean isRepeated) {
      FleetModel.this.runAfter(0, () -> loadBalancer.onGossip(nowMillis, endpoint, lengthMillis));
    }

    @Override
    public void readmit(long endpoint) {
      FleetModel.this.runAfter(0, () -> loadBalancer.onGossip(nowMillis, endpoint, 0));
    }

    @Override
    public void scheduleTimer(double delayMillis) {
      FleetModel.this.runAfter(delayMillis, () -> suspicionProtocol.onTimer(nowMillis));
    }

    @Override
    public void watchEndpoints() {}

    @Override
    public void log(String line) {}
  }

  /** Request of a client, over all of its attempts. */
  private static final class ClientRequest {
    final String className;
    final double arrivedAtMillis;
    int attempts;

    ClientRequest(String className, double arrivedAtMillis) {
      this.className = className;
      this.arrivedAtMillis = arrivedAtMillis;
    }
  }

  private final Plan plan;
  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.atMillis != b.atMillis
                  ? Double.compare(a.atMillis, b.atMillis)
                  : Long.compare(a.order, b.order));
  private final List<Proxy> proxies = new ArrayList<>();
  private final Map<Long, Host> hostsById = new HashMap<>();
  public final List<Host> hosts = new ArrayList<>();
  private double nowMillis = 1_000;
  private long eventCount;
  private long hostCount;
  public long requests;
  public long servedInTime;
  public long attemptsSent;
  public long handshakes;
  public long rejectedByProxies;
  public long rejectedByHosts;
  public long lostResponses;

  /** Number of attempts sent to hosts that never respond. */
  public long attemptsToHangingHosts;

  /** Bytes of gossip that proxies received from each other. */
  public long gossipBytes;

  /** Whether proxies exchange gossip about endpoints that did not respond. */
  public boolean gossipEnabled = true;

  /** Number of new connections that hosts rejected because their connection tables were full. */
  public long connectionsRejected;

  /** Creates a fleet whose proxies start at the same moment, with warm hosts. */
  public FleetModel(Plan plan) {
    this.plan = plan;
    this.random = new Random(plan.seed);
    for (int i = 0; i < plan.hosts; i++) {
      addHost(0);
    }
    List<EndpointUpdate> entries = hosts.stream().map(Host::endpointUpdate).toList();
    for (int i = 0; i < plan.proxies; i++) {
      Proxy proxy = new Proxy(i);
      proxies.add(proxy);
      proxy.loadBalancer.onStart(nowMillis);
      proxy.loadBalancer.onEndpointList(nowMillis, EndpointListEvent.CACHED, entries);
      proxy.suspicionProtocol.onEndpointList(EndpointListEvent.CACHED, entries);
    }
    scheduleNextArrival();
  }

  private static Settings settings(int proxies, int position) {
    return new Settings(
        List.of(
            new Settings.RequestClass(
                CLAIM,
                OBJECTIVE_MILLIS,
                DEADLINE_MILLIS,
                Settings.Semantics.AT_MOST_ONCE,
                Settings.KeyScope.ALL,
                0,
                8,
                0),
            new Settings.RequestClass(
                LOG,
                OBJECTIVE_MILLIS,
                DEADLINE_MILLIS,
                Settings.Semantics.DEDUPLICATED,
                Settings.KeyScope.CELL,
                750,
                5,
                0)),
        List.of(),
        new Settings.Limits(true, true, true, 6, 1_200, 1),
        new Settings.WarmUpRules(
            WARM_UP_MILLIS,
            INITIAL_CAPACITY_SHARE,
            OVERLOAD_WINDOW_MILLIS,
            OVERLOAD_MULTIPLE,
            6_000),
        false,
        null,
        position,
        proxies,
        1,
        false);
  }

  private Host addHost(double startedAtMillis) {
    long id = ++hostCount * 0x9E3779B97F4AL;
    Host host = new Host(id, startedAtMillis);
    hosts.add(host);
    hostsById.put(host.id, host);
    return host;
  }

  /** Runs a task within {@link #advance}, {@code delayMillis} of virtual time from now. */
  public void runAfter(double delayMillis, Runnable task) {
    events.add(new Event(nowMillis + delayMillis, eventCount++, task));
  }

  /**
   * Schedules the next request. Requests arrive at random, at one rate for the fleet; the share of
   * a proxy is between a third and three times the mean.
   */
  private void scheduleNextArrival() {
    double requestsPerMilli = plan.load * plan.hosts * 3 / MEAN_WORK_MILLIS;
    runAfter(
        -Math.log(1 - random.nextDouble()) / requestsPerMilli,
        () -> {
          int proxyIndex = (int) (proxies.size() * Math.pow(random.nextDouble(), 1.6));
          requests++;
          proxies
              .get(proxyIndex)
              .submit(new ClientRequest(random.nextInt(10) < 7 ? CLAIM : LOG, nowMillis));
          scheduleNextArrival();
        });
  }

  /** Runs the events of the next {@code durationMillis} of virtual time. */
  public void advance(double durationMillis) {
    double untilMillis = nowMillis + durationMillis;
    while (!events.isEmpty() && events.peek().atMillis <= untilMillis) {
      Event event = events.poll();
      nowMillis = event.atMillis;
      event.task.run();
    }
    nowMillis = untilMillis;
  }

  /** Resets all counters. */
  public void resetCounters() {
    requests =
        servedInTime =
            attemptsSent =
                handshakes =
                    rejectedByProxies =
                        rejectedByHosts =
                            lostResponses =
                                connectionsRejected = attemptsToHangingHosts = gossipBytes = 0;
    for (Host host : hosts) {
      host.peakConnections = host.connections;
      host.attemptsSent = 0;
    }
  }

  /**
   * Replaces a host by a new, cold one. Each proxy receives the update after a random delay of up
   * to {@code maxDelayMillis}.
   */
  public void replace(Host old, double maxDelayMillis) {
    Host replacement = addHost(nowMillis);
    old.terminating = true;
    hosts.remove(old);
    List<EndpointUpdate> updates = List.of(old.endpointUpdate(), replacement.endpointUpdate());
    for (Proxy proxy : proxies) {
      runAfter(
          maxDelayMillis * random.nextDouble(),
          () -> {
            proxy.suspicionProtocol.onEndpointList(EndpointListEvent.DELTA, updates);
            proxy.loadBalancer.onEndpointList(nowMillis, EndpointListEvent.DELTA, updates);
          });
    }
  }

  /**
   * Returns the share of the proxies that have ejected the host because of gossip from several
   * proxies.
   */
  public double ejectedShare(Host host) {
    return proxies.stream().filter(proxy -> proxy.suspicionProtocol.isEjected(host.id)).count()
        / (double) proxies.size();
  }

  /** Returns the mean number of open connections per host. */
  public double meanConnections() {
    return hosts.stream().mapToInt(host -> host.connections).average().orElse(0);
  }

  /**
   * Returns the largest number of connections that any host had since the last {@link
   * #resetCounters}.
   */
  public int peakConnections() {
    return hosts.stream().mapToInt(host -> host.peakConnections).max().orElse(0);
  }

  /** Returns the share of the requests that were served within the latency objective. */
  public double servedShare() {
    return (double) servedInTime / requests;
  }

  /**
   * Returns the largest share of the overload limit that any cold host reached in any window: the
   * work sent to the host over the multiple of its capacity that the limit allows.
   */
  public double maxOverloadLimitShare() {
    double worst = 0;
    for (Host host : hosts) {
      for (int i = 0, windowStart = 0; host.startedAtMillis > 0 && i < host.sendTimes.size(); i++) {
        while (host.sendTimes.get(i) - host.sendTimes.get(windowStart) > OVERLOAD_WINDOW_MILLIS) {
          windowStart++;
        }
        double capacityShare =
            INITIAL_CAPACITY_SHARE
                + (1 - INITIAL_CAPACITY_SHARE)
                    * Math.min(
                        1,
                        (host.sendTimes.get(windowStart) - host.startedAtMillis) / WARM_UP_MILLIS);
        worst =
            Math.max(
                worst,
                (i - windowStart + 1)
                    * MEAN_WORK_MILLIS
                    / (OVERLOAD_MULTIPLE * 3 * OVERLOAD_WINDOW_MILLIS * capacityShare));
      }
    }
    return worst;
  }

  /** Prints figures of fleets of 15, 300 and 2,000 proxies; started by {@code bench/fleet}. */
  public static void main(String[] args) {
    System.out.println(
        "proxies hosts idle_ms calm_served mean_conns most_conns handshakes/req | 6 of 10 replaced in 7 s: served mean most handshakes/req cold | half limit a class: served turned_away/req");
    for (int[] size : new int[][] {{15, 60}, {300, 240}, {2_000, 240}}) {
      for (double idleTimeoutMillis :
          new double[] {42_000, Plan.of(size[0], size[1], 0.6, 1).idleTimeoutMillis()}) {
        Plan plan = Plan.of(size[0], size[1], 0.6, 1);
        plan =
            new Plan(
                plan.proxies,
                plan.hosts,
                plan.load,
                plan.connectionTableSize,
                plan.fullTableCost,
                idleTimeoutMillis,
                plan.seed);
        FleetModel calm = new FleetModel(plan);
        calm.advance(10_000);
        calm.resetCounters();
        calm.advance(10_000);
        StringBuilder line =
            new StringBuilder(String.format("%7d %5d %7.0f", size[0], size[1], idleTimeoutMillis));
        line.append(
            String.format(
                "  %.3f %.1f %d %.3f",
                calm.servedShare(),
                calm.meanConnections(),
                calm.peakConnections(),
                (double) calm.handshakes / calm.requests));
        calm.resetCounters();
        calm.replaceSixtyPercent(7_000);
        calm.advance(15_000);
        line.append(
            String.format(
                " | %.3f %.1f %d %.3f %.2f",
                calm.servedShare(),
                calm.meanConnections(),
                calm.peakConnections(),
                (double) calm.handshakes / calm.requests,
                calm.maxOverloadLimitShare()));
        FleetModel limited = new FleetModel(plan);
        limited.advance(10_000);
        for (int i = 0; i < limited.hosts.size(); i += 2) {
          limited.hosts.get(i).rejectedClass = CLAIM;
        }
        limited.resetCounters();
        limited.advance(10_000);
        line.append(
            String.format(
                " | %.3f %.3f",
                limited.servedShare(), (double) limited.rejectedByHosts / limited.requests));
        System.out.println(line);
      }
    }
  }

  /** Replaces 60% of the hosts by cold ones, at even intervals over {@code withinMillis}. */
  public void replaceSixtyPercent(double withinMillis) {
    List<Host> old = new ArrayList<>(hosts.subList(0, hosts.size() * 6 / 10));
    for (int i = 0; i < old.size(); i++) {
      Host host = old.get(i);
      runAfter(withinMillis * i / old.size(), () -> replace(host, 500));
    }
  }
}
