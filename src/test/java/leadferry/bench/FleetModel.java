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
 * Many real modules before modelled hosts, in one thread and in virtual time: what each does alone,
 * added up over the fleet. A host has three cores, a queue, a table of connections that takes of
 * its capacity as it fills, and warms up after its start. A proxy keeps an idle connection as long
 * as the platform's does. Times are ms.
 *
 * <pre>
 *   arrival -> module -> (connect) -> host: queue, work -> answer with report -> module
 * </pre>
 */
public final class FleetModel {
  public static final String CLAIM = "claim";
  public static final String LOG = "log";
  private static final double AIM = 500;
  private static final double DEADLINE = 1_000;

  /** A client gives up, and asks again, after so much of its time. */
  private static final double TRY_PART = 0.55;

  private static final int TRIES = 4;
  private static final double WORK = 120;
  private static final double HANDSHAKE_WORK = 4;
  private static final double TRIP = 1;
  private static final double COLD = 8_700;
  private static final double COLD_FROM = 0.3;
  private static final double FALL = 1_500;
  private static final double FALL_MULTIPLE = 3;

  /** What a run is to have. */
  public record Plan(
      int proxies,
      int hosts,
      double load,
      int connectionTableSize,
      double fullTableCost,
      double idleTimeoutMillis,
      long seed) {
    /**
     * With tables of 20 connections that take 0.4 of a host when full, and the idle time of the
     * platform's proxy.
     */
    public static Plan of(int proxies, int hosts, double load, long seed) {
      return new Plan(
          proxies, hosts, load, 20, 0.4, settings(proxies, 0).idleTimeoutMillis(60_000), seed);
    }
  }

  private record Event(double at, long order, Runnable what) {}

  /** A host of the model. */
  public final class Host {
    final long id;
    final double startedAtMillis;
    final ArrayDeque<Attempt> queue = new ArrayDeque<>();
    final List<Double> sendTimes = new ArrayList<>();
    int runningAttempts;
    int connections;
    public int peakConnections;
    public int attemptsSent;
    boolean terminating;

    /** The class that it turns away, or null. */
    public String rejectedClass;

    /** Whether it takes work and answers nothing. */
    public boolean hanging;

    /** The share of its answers that get lost on the way. */
    public double responseLossShare;

    Host(long id, double since) {
      this.id = id;
      this.startedAtMillis = since;
    }

    double warmth() {
      return startedAtMillis <= 0
          ? 1
          : Math.min(1, COLD_FROM + (1 - COLD_FROM) * (now - startedAtMillis) / COLD);
    }

    double speed() {
      return warmth()
          * (1 - plan.fullTableCost * Math.min(1, (double) connections / plan.connectionTableSize));
    }

    void take(Attempt job) {
      queue.add(job);
      run();
    }

    private void run() {
      while (runningAttempts < 3 && !queue.isEmpty()) {
        Attempt j = queue.poll();
        if (j.over) {
          continue;
        }
        runningAttempts++;
        runAfter(
            j.work / speed(),
            () -> {
              runningAttempts--;
              j.done();
              run();
            });
      }
    }

    private EndpointUpdate entry() {
      EndpointUpdate.Condition c =
          terminating ? EndpointUpdate.Condition.TERMINATING : EndpointUpdate.Condition.READY;
      return new EndpointUpdate(id, "a", "k", id / 6, c, 1, startedAtMillis);
    }
  }

  /** One attempt at a host. */
  private final class Attempt {
    final Proxy proxy;
    final Host host;
    final long request;
    final int number;
    final String type;
    final double sentAt;
    double work;
    boolean over;

    Attempt(Proxy proxy, Host host, long request, int number, String type) {
      this.proxy = proxy;
      this.host = host;
      this.request = request;
      this.number = number;
      this.type = type;
      this.sentAt = now;
      this.work = WORK * (0.4 + 1.2 * random.nextDouble());
    }

    void done() {
      if (host.hanging) {
        return;
      }
      if (!over && random.nextDouble() < host.responseLossShare) {
        lostResponses++;
        return;
      }
      end(AttemptOutcome.OK, true, true);
    }

    /** Ends the attempt; {@code keep} tells that its connection may carry another. */
    void end(AttemptOutcome result, boolean served, boolean keep) {
      if (over) {
        return;
      }
      over = true;
      proxy.release(host, keep);
      LoadReport load =
          result == AttemptOutcome.OK || result == AttemptOutcome.FULL
              ? new LoadReport(
                  host.runningAttempts + host.queue.size(),
                  Double.NaN,
                  Double.NaN,
                  Double.NaN,
                  Double.NaN,
                  Double.NaN)
              : null;
      proxy.outcome(this, result, served, load);
    }
  }

  private final class Proxy implements LoadBalancerActions, SuspicionProtocol.Actions {
    final LoadBalancer module;
    final Map<Long, Integer> attempts = new HashMap<>();
    final Map<Long, Attempt> open = new HashMap<>();
    final Map<Long, ClientRequest> asks = new HashMap<>();
    final Map<Host, ArrayDeque<Double>> idle = new HashMap<>();
    final SuspicionProtocol suspicions;
    final int position;
    long next;

    Proxy(int position) {
      this.position = position;
      module = new LoadBalancer(settings(plan.proxies, position), plan.seed * 31 + position, this);
      suspicions = new SuspicionProtocol(null, plan.proxies, AIM, plan.seed * 37 + position, this);
    }

    void ask(ClientRequest a) {
      long id = next++;
      asks.put(id, a);
      a.tries++;
      module.onRequest(
          now, new RequestArrival(id, a.type, null, TRY_PART * DEADLINE, Double.NaN, false));
      runAfter(TRY_PART * DEADLINE, () -> giveUp(id));
    }

    private void giveUp(long id) {
      if (asks.containsKey(id)) {
        Attempt j = open.get(id);
        if (j != null) {
          j.end(AttemptOutcome.TIMEOUT, true, false);
        } else {
          module.onClientDisconnect(now, id);
          answered(id, false);
        }
      }
    }

    private void answered(long id, boolean served) {
      ClientRequest a = asks.remove(id);
      if (a == null) {
        return;
      }
      if (served) {
        servedInTime += now - a.at <= AIM ? 1 : 0;
      } else if (a.tries < TRIES) {
        runAfter(20, () -> ask(a));
      }
    }

    void outcome(Attempt j, AttemptOutcome result, boolean over, LoadReport load) {
      open.remove(j.request, j);
      if (gossipEnabled && result.hasResponse()) {
        suspicions.onResponse(now, j.host.id);
      }
      module.onOutcome(now, j.request, j.number, result, now - j.sentAt, over, load);
      if (over) {
        answered(j.request, result == AttemptOutcome.OK);
      }
    }

    void release(Host host, boolean keep) {
      if (!keep) {
        host.connections--;
        return;
      }
      ArrayDeque<Double> rests = idle.computeIfAbsent(host, x -> new ArrayDeque<>());
      rests.addLast(now);
      runAfter(
          plan.idleTimeoutMillis,
          () -> {
            if (!rests.isEmpty() && rests.peekFirst() <= now - plan.idleTimeoutMillis) {
              rests.pollFirst();
              host.connections--;
            }
          });
    }

    @Override
    public void send(long request, long id, double apart) {
      Host host = byId.get(id);
      Attempt j =
          new Attempt(
              this,
              host,
              request,
              attempts.merge(request, 1, Integer::sum) - 1,
              asks.get(request).type);
      open.put(request, j);
      attemptsSent++;
      suspicions.onAttempt();
      attemptsToHangingHosts += host.hanging ? 1 : 0;
      host.attemptsSent++;
      host.sendTimes.add(now);
      ArrayDeque<Double> rests = idle.get(host);
      boolean connects = rests == null || rests.pollLast() == null;
      if (connects) {
        handshakes++;
        if (host.connections >= plan.connectionTableSize) {
          connectionsRejected++;
          host.connections++; // for as long as it takes to be turned away
          runAfter(2 * TRIP, () -> j.end(AttemptOutcome.FULL, false, false));
          return;
        }
        host.connections++;
        host.peakConnections = Math.max(host.peakConnections, host.connections);
        j.work += HANDSHAKE_WORK;
      }
      if (j.type.equals(host.rejectedClass)) {
        rejectedByHosts++;
        runAfter(2 * TRIP, () -> j.end(AttemptOutcome.FULL, false, true));
      } else {
        runAfter(TRIP, () -> host.take(j));
      }
    }

    @Override
    public void reject(long request, double retryAfterMillis) {
      rejectedByProxies++;
      runAfter(0, () -> answered(request, false));
    }

    @Override
    public void fail(long request) {
      runAfter(0, () -> answered(request, false));
    }

    @Override
    public void cancel(long request, int attempt) {
      Attempt j = open.get(request);
      if (j != null && j.number == attempt) {
        runAfter(0, () -> j.end(AttemptOutcome.CANCELLED, false, false));
      }
    }

    @Override
    public void schedule(double delay, long token) {
      runAfter(delay, () -> module.onTimer(now, token));
    }

    @Override
    public void onNoResponse(long host, double at, double sentAt) {
      if (gossipEnabled) {
        suspicions.onNoResponse(at, host, sentAt);
      }
    }

    @Override
    public void broadcast(byte[] message) {
      gossipBytes += message.length * (long) (proxies.size() - 1);
      for (Proxy p : proxies) {
        if (p != this && random.nextDouble() > 0.02) {
          FleetModel.this.runAfter(
              3 + 25 * random.nextDouble(), () -> p.suspicions.onMessage(now, position, message));
        }
      }
    }

    @Override
    public void eject(long host, double lengthMillis, boolean again) {
      FleetModel.this.runAfter(0, () -> module.onGossip(now, host, lengthMillis));
    }

    @Override
    public void readmit(long host) {
      FleetModel.this.runAfter(0, () -> module.onGossip(now, host, 0));
    }

    @Override
    public void scheduleTimer(double delayMillis) {
      FleetModel.this.runAfter(delayMillis, () -> suspicions.onTimer(now));
    }

    @Override
    public void watchEndpoints() {}

    @Override
    public void log(String line) {}
  }

  /** What a client wants, over all of its tries. */
  private static final class ClientRequest {
    final String type;
    final double at;
    int tries;

    ClientRequest(String type, double at) {
      this.type = type;
      this.at = at;
    }
  }

  private final Plan plan;
  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Double.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private final List<Proxy> proxies = new ArrayList<>();
  private final Map<Long, Host> byId = new HashMap<>();
  public final List<Host> hosts = new ArrayList<>();
  private double now = 1_000;
  private long order;
  private long nextHost;
  public long requests;
  public long servedInTime;
  public long attemptsSent;
  public long handshakes;
  public long rejectedByProxies;
  public long rejectedByHosts;
  public long lostResponses;

  /** Requests sent to hosts that answer nothing. */
  public long attemptsToHangingHosts;

  /** Bytes that proxies got from each other. */
  public long gossipBytes;

  /** Whether proxies tell each other what they lost. */
  public boolean gossipEnabled = true;

  /** New connections that hosts turned away, as their tables were full. */
  public long connectionsRejected;

  /** All proxies at once, before hosts that are warm. */
  public FleetModel(Plan plan) {
    this.plan = plan;
    this.random = new Random(plan.seed);
    for (int i = 0; i < plan.hosts; i++) {
      add(0);
    }
    List<EndpointUpdate> entries = hosts.stream().map(Host::entry).toList();
    for (int i = 0; i < plan.proxies; i++) {
      Proxy p = new Proxy(i);
      proxies.add(p);
      p.module.onStart(now);
      p.module.onEndpointList(now, EndpointListEvent.CACHED, entries);
      p.suspicions.onEndpointList(EndpointListEvent.CACHED, entries);
    }
    arrive();
  }

  private static Settings settings(int proxies, int position) {
    return new Settings(
        List.of(
            new Settings.RequestClass(
                CLAIM,
                AIM,
                DEADLINE,
                Settings.Semantics.AT_MOST_ONCE,
                Settings.KeyScope.ALL,
                0,
                8,
                0),
            new Settings.RequestClass(
                LOG,
                AIM,
                DEADLINE,
                Settings.Semantics.DEDUPLICATED,
                Settings.KeyScope.CELL,
                750,
                5,
                0)),
        List.of(),
        new Settings.Limits(true, true, true, 6, 1_200, 1),
        new Settings.WarmUpRules(COLD, COLD_FROM, FALL, FALL_MULTIPLE, 6_000),
        false,
        null,
        position,
        proxies,
        1,
        false);
  }

  private Host add(double since) {
    long id = ++nextHost * 0x9E3779B97F4AL;
    Host h = new Host(id, since);
    hosts.add(h);
    byId.put(h.id, h);
    return h;
  }

  /** Does something after so long, within {@link #advance}. */
  public void runAfter(double delay, Runnable what) {
    events.add(new Event(now + delay, order++, what));
  }

  /**
   * Requests arrive by chance, at one rate for the fleet; a proxy's part is between a third and
   * three times the mean.
   */
  private void arrive() {
    double perMs = plan.load * plan.hosts * 3 / WORK;
    runAfter(
        -Math.log(1 - random.nextDouble()) / perMs,
        () -> {
          int p = (int) (proxies.size() * Math.pow(random.nextDouble(), 1.6));
          requests++;
          proxies.get(p).ask(new ClientRequest(random.nextInt(10) < 7 ? CLAIM : LOG, now));
          arrive();
        });
  }

  /** Lets so much time pass. */
  public void advance(double time) {
    double until = now + time;
    while (!events.isEmpty() && events.peek().at <= until) {
      Event e = events.poll();
      now = e.at;
      e.what.run();
    }
    now = until;
  }

  /** Forgets what was counted so far. */
  public void resetCounters() {
    requests =
        servedInTime =
            attemptsSent =
                handshakes =
                    rejectedByProxies =
                        rejectedByHosts =
                            lostResponses =
                                connectionsRejected = attemptsToHangingHosts = gossipBytes = 0;
    for (Host h : hosts) {
      h.peakConnections = h.connections;
      h.attemptsSent = 0;
    }
  }

  /** Puts a new, cold host in the place of one; each proxy hears of both within {@code late} ms. */
  public void replace(Host old, double late) {
    Host h = add(now);
    old.terminating = true;
    hosts.remove(old);
    List<EndpointUpdate> news = List.of(old.entry(), h.entry());
    for (Proxy p : proxies) {
      runAfter(
          late * random.nextDouble(),
          () -> {
            p.suspicions.onEndpointList(EndpointListEvent.DELTA, news);
            p.module.onEndpointList(now, EndpointListEvent.DELTA, news);
          });
    }
  }

  /** The share of the proxies that leave the host out on the word of several. */
  public double ejectedShare(Host h) {
    return proxies.stream().filter(p -> p.suspicions.isEjected(h.id)).count()
        / (double) proxies.size();
  }

  /** Connections that are open now at a host, on the mean. */
  public double meanConnections() {
    return hosts.stream().mapToInt(h -> h.connections).average().orElse(0);
  }

  /** The most connections that a host has had since it was last counted. */
  public int peakConnections() {
    return hosts.stream().mapToInt(h -> h.peakConnections).max().orElse(0);
  }

  /** Requests in time, over those asked. */
  public double servedShare() {
    return (double) servedInTime / requests;
  }

  /**
   * The worst of all cold hosts and windows: work sent, over the multiple of capacity that the rule
   * allows.
   */
  public double coldBudgetUsed() {
    double worst = 0;
    for (Host h : hosts) {
      for (int i = 0, from = 0; h.startedAtMillis > 0 && i < h.sendTimes.size(); i++) {
        while (h.sendTimes.get(i) - h.sendTimes.get(from) > FALL) {
          from++;
        }
        double warmth =
            COLD_FROM
                + (1 - COLD_FROM) * Math.min(1, (h.sendTimes.get(from) - h.startedAtMillis) / COLD);
        worst = Math.max(worst, (i - from + 1) * WORK / (FALL_MULTIPLE * 3 * FALL * warmth));
      }
    }
    return worst;
  }

  /** Figures of fleets of 15, 300 and 2,000 proxies: {@code bench/fleet}. */
  public static void main(String[] args) {
    System.out.println(
        "proxies hosts idle_ms calm_served mean_conns most_conns handshakes/req | 6 of 10 replaced in 7 s: served mean most handshakes/req cold | half limit a class: served turned_away/req");
    for (int[] size : new int[][] {{15, 60}, {300, 240}, {2_000, 240}}) {
      for (double idle :
          new double[] {42_000, Plan.of(size[0], size[1], 0.6, 1).idleTimeoutMillis()}) {
        Plan plan = Plan.of(size[0], size[1], 0.6, 1);
        plan =
            new Plan(
                plan.proxies,
                plan.hosts,
                plan.load,
                plan.connectionTableSize,
                plan.fullTableCost,
                idle,
                plan.seed);
        FleetModel m = new FleetModel(plan);
        m.advance(10_000);
        m.resetCounters();
        m.advance(10_000);
        StringBuilder s = new StringBuilder(String.format("%7d %5d %7.0f", size[0], size[1], idle));
        s.append(
            String.format(
                "  %.3f %.1f %d %.3f",
                m.servedShare(),
                m.meanConnections(),
                m.peakConnections(),
                (double) m.handshakes / m.requests));
        m.resetCounters();
        m.replaceSixtyPercent(7_000);
        m.advance(15_000);
        s.append(
            String.format(
                " | %.3f %.1f %d %.3f %.2f",
                m.servedShare(),
                m.meanConnections(),
                m.peakConnections(),
                (double) m.handshakes / m.requests,
                m.coldBudgetUsed()));
        FleetModel l = new FleetModel(plan);
        l.advance(10_000);
        for (int i = 0; i < l.hosts.size(); i += 2) {
          l.hosts.get(i).rejectedClass = CLAIM;
        }
        l.resetCounters();
        l.advance(10_000);
        s.append(
            String.format(
                " | %.3f %.3f", l.servedShare(), (double) l.rejectedByHosts / l.requests));
        System.out.println(s);
      }
    }
  }

  /** Replaces six hosts of ten by cold ones, evenly over so long. */
  public void replaceSixtyPercent(double within) {
    List<Host> old = new ArrayList<>(hosts.subList(0, hosts.size() * 6 / 10));
    for (int i = 0; i < old.size(); i++) {
      Host h = old.get(i);
      runAfter(within * i / old.size(), () -> replace(h, 500));
    }
  }
}
