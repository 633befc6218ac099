package leadferry.loadbalancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import leadferry.loadbalancer.EndpointUpdate.Condition;
import leadferry.loadbalancer.Settings.Scope;
import leadferry.loadbalancer.Settings.Semantics;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Random legal events against a balancer, judged by a checker that shares no code with it. */
class LoadBalancerRulesTest {
  private static final double SLACK = 20;

  /** What the checker itself knows of an attempt. */
  private static final class Try {
    final long host;

    /** When its first byte went out; NaN before. */
    double at = Double.NaN;

    AttemptOutcome result;

    Try(long host) {
      this.host = host;
    }

    boolean mayHaveRun() {
      return result == null
          ? !Double.isNaN(at)
          : !(result == AttemptOutcome.FULL
              || result == AttemptOutcome.CONNECT_FAILED
              || result == AttemptOutcome.MOOT);
    }
  }

  private static final class Req {
    Settings.RequestClass type;
    double deadline;
    boolean ended;
    final List<Try> tries = new ArrayList<>();
  }

  private final class World implements LoadBalancerActions {
    final Random random;
    final Settings settings;
    final boolean parallel;
    final int maxAttempts;

    /** How long (ms) a connection may take to come up; in between much happens. */
    final double lateness;

    final Map<Long, Req> reqs = new HashMap<>();
    final Map<Long, EndpointUpdate> list = new HashMap<>();
    final Map<Long, List<Double>> coldSends = new HashMap<>();
    final List<Object[]> due = new ArrayList<>();
    final List<String> faults = new ArrayList<>();
    double now = 500;
    LoadBalancer balancer;
    long nextId;
    int answered;

    World(long seed) {
      random = new Random(seed);
      parallel = random.nextBoolean();
      maxAttempts = 1 + random.nextInt(5);
      lateness = 0;
      settings =
          LoadBalancerFixture.settings(
              parallel,
              maxAttempts,
              random.nextBoolean(),
              LoadBalancerFixture.type("safe", Semantics.IDEMPOTENT, Scope.ALL),
              LoadBalancerFixture.type("all", Semantics.DEDUPLICATED, Scope.ALL),
              LoadBalancerFixture.type("zone", Semantics.DEDUPLICATED, Scope.ZONE),
              LoadBalancerFixture.type("cell", Semantics.DEDUPLICATED, Scope.CELL),
              LoadBalancerFixture.type("once", Semantics.AT_MOST_ONCE, Scope.ALL));
    }

    /** One of a deployment that nobody has. */
    World(long seed, Settings drawn, double lateness) {
      this.random = new Random(seed);
      this.settings = drawn;
      this.parallel = drawn.limits().parallelTries();
      this.maxAttempts = drawn.limits().maxAttempts();
      this.lateness = lateness;
    }

    void at(double delay, Runnable what) {
      due.add(new Object[] {now + delay, what});
    }

    @Override
    public void send(long id, long host, double apart) {
      Req r = reqs.get(id);
      EndpointUpdate h = list.get(host);
      if (r.ended) {
        faults.add("rule 1: sent after the end");
      }
      if (h == null || h.condition() != Condition.READY) {
        faults.add("rule 3: sent to a host that drains or is gone");
      }
      if (r.tries.size() >= maxAttempts) {
        faults.add("more attempts than allowed");
      }
      for (Try t : r.tries) {
        if (t.result == null && !parallel) {
          faults.add("rule 2: two attempts out");
        }
      }
      if (h != null && h.onlineSince() > 0 && now - h.onlineSince() < 8_000) {
        coldSends.computeIfAbsent(host, x -> new ArrayList<>()).add(now);
      }
      int number = r.tries.size();
      Try t = new Try(host);
      r.tries.add(t);
      if (lateness > 0 && random.nextInt(3) == 0) {
        at(
            Math.min(r.deadline - now, lateness * random.nextDouble()),
            () -> comesUp(id, r, t, number, apart));
      } else {
        write(id, r, t, number);
      }
    }

    /**
     * What an engine asks at the last moment: whether its client waits still, and how far apart it
     * is from others.
     */
    private void comesUp(long id, Req r, Try t, int number, double apart) {
      boolean goes = !r.ended && now < r.deadline;
      for (Try other : r.tries) {
        goes &= other == t || !other.mayHaveRun() || now - other.at < apart;
      }
      if (t.result == null && goes) {
        write(id, r, t, number);
      } else {
        settle(id, r, t, number, AttemptOutcome.MOOT, 0);
      }
    }

    private void write(long id, Req r, Try t, int number) {
      t.at = now;
      for (Try other : r.tries) {
        if (other != t && other.mayHaveRun() && !repeatable(r, other, list.get(t.host))) {
          faults.add("rule 2: repeated where it may have run");
        }
      }
      double left = r.deadline - now;
      double p = random.nextDouble();
      double spent = Math.min(left, -60 * Math.log(1 - random.nextDouble()));
      AttemptOutcome end =
          p < 0.5 && spent < left
              ? AttemptOutcome.OK
              : p < 0.6 ? AttemptOutcome.TIMEOUT : AttemptOutcome.values()[random.nextInt(7)];
      if (end == AttemptOutcome.TIMEOUT || (end == AttemptOutcome.OK && spent >= left)) {
        end = AttemptOutcome.TIMEOUT;
        spent = left;
      }
      AttemptOutcome result = end;
      double took = spent;
      at(spent, () -> settle(id, r, t, number, result, took));
    }

    private boolean repeatable(Req r, Try t, EndpointUpdate h) {
      if (r.type.semantics() == Semantics.IDEMPOTENT) {
        return true;
      }
      if (r.type.semantics() == Semantics.AT_MOST_ONCE || now - t.at >= r.type.repeatWindow()) {
        return false;
      }
      EndpointUpdate first = list.get(t.host);
      return switch (r.type.scope()) {
        case ALL -> true;
        case ZONE -> first.zone().equals(h.zone());
        case CELL -> first.cell() == h.cell();
      };
    }

    private void settle(long id, Req r, Try t, int number, AttemptOutcome result, double spent) {
      if (t.result != null) {
        return;
      }
      t.result = result;
      boolean over = r.ended || result == AttemptOutcome.OK;
      r.ended |= over;
      if (result == AttemptOutcome.OK) {
        answered++;
      }
      LoadReport report = held(random.nextInt(9));
      balancer.onOutcome(
          now, id, number, result, spent, over, random.nextBoolean() ? report : null);
    }

    private static LoadReport held(double n) {
      return new LoadReport(n, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    private void end(long id) {
      Req r = reqs.get(id);
      if (r.ended) {
        faults.add("rule 1: answered twice");
      }
      if (now > r.deadline + SLACK) {
        faults.add("rule 1: answered too late");
      }
      r.ended = true;
      answered++;
    }

    @Override
    public void reject(long id, double retryAfterMillis) {
      Req r = reqs.get(id);
      for (Try t : r.tries) {
        if (t.mayHaveRun()
            && r.type.semantics() != Semantics.IDEMPOTENT
            && !(r.type.semantics() == Semantics.DEDUPLICATED
                && r.type.scope() == Scope.ALL
                && now - t.at < r.type.repeatWindow())) {
          faults.add("rule 2: refused where it may have run");
        }
      }
      end(id);
    }

    @Override
    public void fail(long id) {
      end(id);
    }

    @Override
    public void cancel(long id, int attempt) {
      Req r = reqs.get(id);
      Try t = r.tries.get(attempt);
      if (!settings.limits().cancel()) {
        faults.add("cancelled where that is not allowed");
      }
      if (Double.isNaN(t.at)) {
        at(0, () -> settle(id, r, t, attempt, AttemptOutcome.MOOT, 0));
        return;
      }
      at(0, () -> settle(id, r, t, attempt, AttemptOutcome.CANCELLED, now - t.at));
    }

    @Override
    public void schedule(double delay, long token) {
      at(Math.max(delay, 0.001), () -> balancer.onTimer(now, token));
    }

    @Override
    public void watchEndpoints() {
      at(50, () -> balancer.onEndpointList(now, EndpointListEvent.FAILED, List.of()));
    }

    @Override
    public void log(String line) {}

    void change(int hosts) {
      long id = random.nextInt(hosts);
      EndpointUpdate old = list.get(id);
      Condition c =
          switch (random.nextInt(5)) {
            case 0 -> Condition.TERMINATING;
            case 1 -> Condition.GONE;
            default -> Condition.READY;
          };
      double since = random.nextInt(3) == 0 ? now : old == null ? 0 : old.onlineSince();
      EndpointUpdate e = LoadBalancerFixture.host(id, c, since);
      list.put(id, e);
      if (random.nextInt(4) > 0) {
        balancer.onEndpointList(now, EndpointListEvent.DELTA, List.of(e));
        return;
      }
      List<EndpointUpdate> all = new ArrayList<>();
      for (long k : new java.util.TreeSet<>(list.keySet())) {
        EndpointUpdate h = list.get(k);
        if (h.condition() == Condition.GONE) {
          continue;
        }
        if (random.nextInt(10) == 0) {
          list.put(k, LoadBalancerFixture.host(k, Condition.GONE, h.onlineSince()));
        } else {
          all.add(h);
        }
      }
      balancer.onEndpointList(now, EndpointListEvent.FULL, all);
    }

    void run(int hosts, double length) {
      balancer = new LoadBalancer(settings, random.nextLong(), this);
      for (EndpointUpdate e : LoadBalancerFixture.hosts(hosts)) {
        list.put(e.id(), e);
      }
      balancer.onStart(now);
      balancer.onEndpointList(now, EndpointListEvent.CACHED, new ArrayList<>(list.values()));
      double stop = now + length;
      arrive(stop);
      for (double t = 100; t < length; t += 100 + random.nextInt(400)) {
        at(t, () -> change(hosts));
      }
      // What peers say is a hint, true or not, of hosts that exist or don't: no rule may rest on
      // it.
      for (double t = 50; t < length; t += 1 + random.nextInt(200)) {
        long id = random.nextInt(hosts + 1);
        double out = random.nextInt(3) == 0 ? 0 : random.nextInt(8_000);
        at(t, () -> balancer.onGossip(now, id, out));
      }
      while (!due.isEmpty()) {
        int first = 0;
        for (int i = 1; i < due.size(); i++) {
          if ((double) due.get(i)[0] < (double) due.get(first)[0]) {
            first = i;
          }
        }
        Object[] next = due.remove(first);
        now = Math.max(now, (double) next[0]);
        if (now > stop + 12_000) {
          break;
        }
        ((Runnable) next[1]).run();
      }
      for (Req r : reqs.values()) {
        if (!r.ended) {
          faults.add("rule 1: lost");
        }
      }
    }

    private void arrive(double stop) {
      if (now > stop) {
        return;
      }
      Req r = new Req();
      r.type = settings.classes().get(random.nextInt(settings.classes().size()));
      double most = r.type.deadline();
      double budget =
          random.nextInt(20) == 0
              ? random.nextInt(3) - 1
              : most / 16 + random.nextDouble() * 7 * most / 8;
      r.deadline = now + budget;
      long id = nextId++;
      reqs.put(id, r);
      balancer.onRequest(now, LoadBalancerFixture.request(id, r.type.name(), budget));
      // A client may leave early; what is out still ends.
      if (random.nextInt(30) == 0) {
        at(
            random.nextInt(100),
            () -> {
              if (!r.ended) {
                r.ended = true;
                balancer.onClientDisconnect(now, id);
              }
            });
      }
      at(-8 * Math.log(1 - random.nextDouble()), () -> arrive(stop));
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 7, 24})
  void holdUnderRandomEvents(int hosts) {
    Set<String> faults = new HashSet<>();
    int answered = 0;
    for (long seed = 0; seed < 12; seed++) {
      World w = new World(seed * 31 + hosts);
      if (hosts == 0) {
        w.run(1, 0.5); // one host that the first change may remove
      } else {
        w.run(hosts, 4_000);
      }
      faults.addAll(w.faults);
      answered += w.answered;
      coldShare(w, hosts, faults);
    }
    assertThat(faults).isEmpty();
    assertThat(answered).isGreaterThan(10);
  }

  /**
   * Other customers': each of the settings drawn for itself, connections that come up late, and
   * what clients allow.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 3, 9, 24})
  void holdUnderDrawnSettings(int hosts) {
    int answered = 0;
    for (long seed = 0; seed < 40; seed++) {
      Random draw = new Random(1_000 * hosts + seed);
      World w = new World(seed * 31 + hosts, drawn(draw), draw.nextInt(1_500));
      w.run(hosts, 3_000);
      assertThat(w.faults).as("seed %d, settings %s", seed, w.settings).isEmpty();
      answered += w.answered;
    }
    assertThat(answered).isGreaterThan(10_000);
  }

  private static Settings drawn(Random draw) {
    List<Settings.RequestClass> classes = new ArrayList<>();
    int n = 1 + draw.nextInt(20);
    for (int i = 0; i < n; i++) {
      double aim = 20 + draw.nextInt(2_000);
      double deadline = Math.min(8_000, aim * (1 + 9 * draw.nextDouble()));
      classes.add(
          new Settings.RequestClass(
              "c" + i,
              aim,
              deadline,
              Semantics.values()[draw.nextInt(3)],
              Scope.values()[draw.nextInt(3)],
              5 + draw.nextInt(3_000),
              draw.nextInt(10),
              draw.nextInt(2)));
    }
    return new Settings(
        classes,
        List.of(),
        new Settings.Limits(
            draw.nextBoolean(),
            draw.nextBoolean(),
            draw.nextBoolean(),
            1 + draw.nextInt(8),
            draw.nextInt(2_000),
            1),
        new Settings.Rules(
            1 + draw.nextInt(20_000),
            0.1 + 0.9 * draw.nextDouble(),
            100 + draw.nextInt(3_000),
            1 + draw.nextInt(5),
            10_000),
        draw.nextBoolean(),
        draw.nextBoolean() ? "a" : "",
        0,
        1 + draw.nextInt(100),
        draw.nextDouble(),
        draw.nextBoolean());
  }

  /** Rule 4: 125 requests a second over the hosts; the proxy's own share of a cold host. */
  private static void coldShare(World w, int hosts, Set<String> faults) {
    if (hosts < 2) {
      return;
    }
    for (Map.Entry<Long, List<Double>> e : w.coldSends.entrySet()) {
      double since = w.list.get(e.getKey()).onlineSince();
      List<Double> sends = e.getValue();
      for (int i = 0; i < sends.size(); i++) {
        int in = 0;
        for (int k = i; k < sends.size() && sends.get(k) < sends.get(i) + 1_500; k++) {
          in++;
        }
        // A third of the hosts can be out, so the mean share may grow by half; the rate that the
        // proxy judges by wanders too. All in all well under the multiple of 3.
        double warm = 0.3 + 0.7 * Math.max(0, sends.get(i) + 1_500 - since) / 8_000;
        double share = 125.0 / Math.max(1, hosts / 2.0) * 1.5;
        if (in > 3 * Math.min(1, warm) * share + 3) {
          faults.add("rule 4: " + in + " sends to a cold host");
        }
      }
    }
  }
}
