package leadferry.loadbalancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import leadferry.loadbalancer.EndpointUpdate.Condition;
import leadferry.loadbalancer.Settings.Scope;
import leadferry.loadbalancer.Settings.Semantics;
import org.junit.jupiter.api.Test;

class LoadBalancerTest {
  private static final String SAFE = "safe";
  private final LoadBalancerFixture bench = new LoadBalancerFixture();

  private LoadBalancer balancer(Settings settings, List<EndpointUpdate> hosts) {
    LoadBalancer b = new LoadBalancer(settings, 7, bench);
    b.onStart(bench.now);
    b.onEndpointList(bench.now, EndpointListEvent.CACHED, hosts);
    return b;
  }

  private LoadBalancer safe(int hosts) {
    return balancer(
        LoadBalancerFixture.settings(
            LoadBalancerFixture.type(SAFE, Semantics.IDEMPOTENT, Scope.ALL)),
        LoadBalancerFixture.hosts(hosts));
  }

  private void serve(LoadBalancer b, long id, double spent) {
    b.onRequest(bench.now, LoadBalancerFixture.request(id, SAFE, 800));
    LoadBalancerFixture.Send s = bench.last();
    bench.now += spent;
    b.onOutcome(bench.now, id, s.number(), AttemptOutcome.OK, spent, true, null);
  }

  @Test
  void refusesAtOnceWithoutHosts() {
    LoadBalancer b = safe(0);
    b.onRequest(bench.now, LoadBalancerFixture.request(1, SAFE, 800));
    assertThat(bench.refused).containsExactly(1L);
  }

  @Test
  void spreadsOpenRequestsByOwnCount() {
    LoadBalancer b = safe(4);
    Map<Long, Integer> counts = new HashMap<>();
    for (int i = 0; i < 40; i++) {
      b.onRequest(bench.now, LoadBalancerFixture.request(i, SAFE, 800));
      counts.merge(bench.last().host(), 1, Integer::sum);
    }
    assertThat(counts.values()).allSatisfy(n -> assertThat(n).isBetween(7, 13));
  }

  @Test
  void leavesOutHostThatIsSilent() {
    LoadBalancer b = safe(4);
    for (int i = 0; i < 200; i++) {
      serve(b, i, 10);
    }
    b.onRequest(bench.now, LoadBalancerFixture.request(1_000, SAFE, 800));
    long silent = bench.last().host();
    bench.now += 300;
    for (int i = 2_000; i < 2_100; i++) {
      serve(b, i, 1);
      assertThat(bench.last().host()).isNotEqualTo(silent);
    }
  }

  @Test
  void ejectsFastFailingHostAndTriesItAgain() {
    LoadBalancer b = safe(5);
    long bad = 2;
    int first = 0;
    int later = 0;
    int trials = 0;
    for (int i = 0; i < 2_000; i++) {
      bench.now += 5;
      b.onRequest(bench.now, LoadBalancerFixture.request(i, SAFE, 800));
      for (int k = 0; k < 3; k++) {
        LoadBalancerFixture.Send s = bench.last();
        if (s.request() != i || s.number() != k) {
          break;
        }
        boolean fails = s.host() == bad && bench.now < 7_000;
        if (s.host() == bad) {
          first += i < 100 ? 1 : 0;
          later += i >= 100 && bench.now < 7_000 ? 1 : 0;
          trials += bench.now >= 7_000 ? 1 : 0;
        }
        b.onOutcome(
            bench.now, i, k, fails ? AttemptOutcome.ERROR : AttemptOutcome.OK, 1, !fails, null);
      }
    }
    assertThat(first).isLessThan(8);
    assertThat(later).isBetween(1, 10);
    assertThat(trials).isGreaterThan(50);
  }

  /** When all hosts fail alike it is no outlier's fault: the few left must not get all the load. */
  @Test
  void ejectsOnlyAPartOfTheHostsAtOnce() {
    LoadBalancer b = safe(3);
    for (int i = 0; i < 60; i++) {
      b.onRequest(bench.now, LoadBalancerFixture.request(i, SAFE, 800));
      b.onOutcome(bench.now, i, 0, AttemptOutcome.ERROR, 1, true, null);
    }
    int before = bench.sends.size();
    b.onRequest(bench.now, LoadBalancerFixture.request(100, SAFE, 800));
    assertThat(bench.sends).hasSizeGreaterThan(before);
    b.onOutcome(bench.now, 100, 0, AttemptOutcome.OK, 1, true, null);
    assertThat(bench.logs).filteredOn(l -> l.endsWith("ejected")).hasSize(1);
    bench.now += 20_000;
    for (int i = 200; i < 260; i++) {
      serve(b, i, 5);
    }
    assertThat(bench.logs).filteredOn(l -> l.endsWith("readmitted")).hasSize(1);
  }

  /** Full hosts are busy, not broken: none is ejected, and what piles up is refused early. */
  @Test
  void fullHostsAreNotEjected() {
    LoadBalancer b = safe(4);
    for (int i = 0; i < 60; i++) {
      bench.now += 20;
      b.onRequest(bench.now, LoadBalancerFixture.request(i, SAFE, 800));
      for (int k = 0; k < 4 && bench.last().request() == i && bench.last().number() == k; k++) {
        b.onOutcome(bench.now, i, k, AttemptOutcome.FULL, 1, false, null);
      }
    }
    assertThat(bench.logs).noneMatch(l -> l.contains("ejected"));
    assertThat(bench.refused).hasSize(60);
    assertThat(bench.sends.size()).isLessThan(150);
  }

  @Test
  void sendsNothingToDrainingHost() {
    LoadBalancer b = safe(3);
    b.onEndpointList(
        bench.now,
        EndpointListEvent.DELTA,
        List.of(LoadBalancerFixture.host(1, Condition.TERMINATING, 0)));
    for (int i = 0; i < 60; i++) {
      b.onRequest(bench.now, LoadBalancerFixture.request(i, SAFE, 800));
      assertThat(bench.last().host()).isNotEqualTo(1);
    }
  }

  @Test
  void thinsRestartedHostIntoThePool() {
    LoadBalancer b = safe(6);
    for (int i = 0; i < 1_000; i++) {
      serve(b, i, 4);
    }
    b.onEndpointList(
        bench.now,
        EndpointListEvent.DELTA,
        List.of(LoadBalancerFixture.host(3, Condition.READY, bench.now)));
    int cold = 0;
    for (int i = 1_000; i < 1_500; i++) {
      serve(b, i, 4);
      cold += bench.last().host() == 3 ? 1 : 0;
    }
    // An even share would be 83; the host has 30 to 50 parts in 100 of its capacity.
    assertThat(cold).isBetween(5, 55);
  }

  @Test
  void unsafeRequestIsNeverRepeatedAfterTimeout() {
    LoadBalancer b =
        balancer(
            LoadBalancerFixture.settings(
                LoadBalancerFixture.type("once", Semantics.AT_MOST_ONCE, Scope.ALL)),
            LoadBalancerFixture.hosts(4));
    b.onRequest(bench.now, LoadBalancerFixture.request(1, "once", 400));
    b.onOutcome(bench.now + 400, 1, 0, AttemptOutcome.TIMEOUT, 400, false, null);
    assertThat(bench.sends).hasSize(1);
    assertThat(bench.failed).containsExactly(1L);
    b.onRequest(bench.now, LoadBalancerFixture.request(2, "once", 400));
    b.onOutcome(bench.now, 2, 0, AttemptOutcome.FULL, 1, false, null);
    assertThat(bench.sends).hasSize(3);
  }

  @Test
  void refusesEarlyInOverloadAndRecovers() {
    LoadBalancer b = safe(4);
    for (int i = 0; i < 60; i++) {
      b.onRequest(bench.now, LoadBalancerFixture.request(i, SAFE, 800));
    }
    bench.now += 790;
    for (int i = 0; i < 60; i++) {
      b.onOutcome(bench.now, i, 0, AttemptOutcome.OK, 790, true, null);
    }
    int sent = bench.sends.size();
    for (int i = 1_000; i < 1_050; i++) {
      b.onRequest(bench.now, LoadBalancerFixture.request(i, SAFE, 800));
    }
    assertThat(bench.refused).hasSizeGreaterThan(20);
    assertThat(bench.sends).hasSizeGreaterThan(sent);
    bench.now += 60_000;
    int refused = bench.refused.size();
    for (int i = 2_000; i < 2_050; i++) {
      serve(b, i, 10);
    }
    assertThat(bench.refused).hasSize(refused);
  }

  /** Between two time-outs of a light proxy a jam must not be forgotten (incident i6d1b83). */
  @Test
  void jamIsRememberedBetweenTimeouts() {
    LoadBalancer b = safe(4);
    for (int i = 0; i < 60; i++) {
      b.onRequest(bench.now, LoadBalancerFixture.request(i, SAFE, 800));
    }
    bench.now += 790;
    for (int i = 0; i < 60; i++) {
      b.onOutcome(bench.now, i, 0, AttemptOutcome.OK, 790, true, null);
    }
    bench.now += 3_000;
    for (int i = 1_000; i < 1_100; i++) {
      b.onRequest(bench.now, LoadBalancerFixture.request(i, SAFE, 800));
    }
    assertThat(bench.refused).hasSizeGreaterThan(60);
  }

  @Test
  void followsAgainAfterFailureWithBackoff() {
    LoadBalancer b =
        balancer(
            LoadBalancerFixture.settings(
                true, 4, true, LoadBalancerFixture.type(SAFE, Semantics.IDEMPOTENT, Scope.ALL)),
            LoadBalancerFixture.hosts(2));
    assertThat(bench.follows).isEqualTo(1);
    double last = 0;
    for (int i = 0; i < 6; i++) {
      b.onEndpointList(bench.now, EndpointListEvent.FAILED, List.of());
      Map.Entry<Double, List<Long>> timer = bench.timers.pollFirstEntry();
      last = timer.getKey() - bench.now;
      bench.now = timer.getKey();
      timer.getValue().forEach(t -> b.onTimer(bench.now, t));
      assertThat(bench.follows).isEqualTo(i + 2);
    }
    assertThat(last).isBetween(2_000.0, 10_000.0);
  }

  @Test
  void sameSeedAndEventsGiveTheSameActions() {
    LoadBalancerFixture other = new LoadBalancerFixture();
    for (LoadBalancerFixture each : List.of(bench, other)) {
      LoadBalancer b =
          new LoadBalancer(
              LoadBalancerFixture.settings(
                  LoadBalancerFixture.type(SAFE, Semantics.IDEMPOTENT, Scope.ALL)),
              3,
              each);
      b.onEndpointList(each.now, EndpointListEvent.FULL, LoadBalancerFixture.hosts(9));
      for (int i = 0; i < 100; i++) {
        b.onRequest(each.now, LoadBalancerFixture.request(i, SAFE, 800));
      }
    }
    assertThat(other.sends).isEqualTo(bench.sends);
  }

  /** Guards against a few heavy requests that make every queue look too long to begin. */
  @Test
  void heavyAnswersDoNotMakeQueuesLookLong() {
    LoadBalancer b = safe(3);
    for (int i = 0; i < 120; i++) {
      b.onRequest(bench.now, LoadBalancerFixture.request(i, SAFE, 800));
      LoadBalancerFixture.Send s = bench.last();
      double spent = i % 10 == 9 ? 780 : 60;
      bench.now += spent;
      b.onOutcome(bench.now, i, s.number(), AttemptOutcome.OK, spent, true, held(10));
    }
    // A mean of 132 ms for 11 held makes a queue of 25 too long for the aim; a median of 60 does
    // not.
    int refused = bench.refused.size();
    bench.now += 15_000; // pressure fades
    for (long h = 0; h < 3; h++) {
      b.onLoadReport(bench.now, h, held(25));
    }
    b.onRequest(bench.now, LoadBalancerFixture.request(900, SAFE, 800));
    assertThat(bench.refused).hasSize(refused);
  }

  /** Guards against a tenant's burst that takes the place of requests within their share. */
  @Test
  void refusesATenantOverItsShareFirst() {
    LoadBalancer b =
        balancer(
            LoadBalancerFixture.settings(
                List.of(new Settings.Tenant("x", 10, 0.5), new Settings.Tenant("y", 10, 0.5)),
                LoadBalancerFixture.type(SAFE, Semantics.IDEMPOTENT, Scope.ALL)),
            LoadBalancerFixture.hosts(4));
    for (int i = 0; i < 90; i++) {
      b.onRequest(
          bench.now, new RequestArrival(i, SAFE, i % 9 == 0 ? "y" : "x", 800, Double.NaN, false));
    }
    bench.now += 790;
    for (int i = 0; i < 90; i++) {
      b.onOutcome(bench.now, i, 0, AttemptOutcome.OK, 300, true, null);
    }
    int[] refused = new int[2];
    for (int i = 0; i < 180; i++) {
      int before = bench.refused.size();
      boolean y = i % 9 == 0;
      b.onRequest(
          bench.now, new RequestArrival(1_000 + i, SAFE, y ? "y" : "x", 800, Double.NaN, false));
      refused[y ? 1 : 0] += bench.refused.size() - before;
    }
    // 160 of x, 20 of y
    assertThat(refused[0] / 160.0).isGreaterThan(1.3 * refused[1] / 20.0);
  }

  /** Guards against a jam's flood of retries that pushes a cold host over (i8a3c58). */
  @Test
  void jamSendsAColdHostNoMoreThanWarmOnesServe() {
    LoadBalancer b = safe(5);
    int cold = 0;
    int served = 0;
    for (int i = 0; i < 4_000; i++) {
      bench.now += 1;
      if (i == 2_000) {
        b.onEndpointList(
            bench.now,
            EndpointListEvent.DELTA,
            List.of(LoadBalancerFixture.host(3, EndpointUpdate.Condition.READY, bench.now)));
      }
      int before = bench.sends.size();
      b.onRequest(bench.now, LoadBalancerFixture.request(i, SAFE, 800));
      for (int k = before; k < bench.sends.size(); k++) {
        LoadBalancerFixture.Send s = bench.sends.get(k);
        boolean ok = k % 10 == 0; // hosts serve a tenth of what comes
        cold += i >= 2_000 && s.host() == 3 ? 1 : 0;
        served += i >= 2_000 && ok ? 1 : 0;
        b.onOutcome(
            bench.now, i, s.number(), ok ? AttemptOutcome.OK : AttemptOutcome.FULL, 2, ok, null);
      }
    }
    // A warm host serves a fifth of that, and a cold one may get at most three times as much.
    assertThat(cold).isLessThan(3 * Math.max(10, served / 5));
    // It gets what it is lent: a draw for a request that is refused takes nothing of it.
    assertThat(cold).isGreaterThan(5);
  }

  /** Guards against many proxies that together use up the hosts' connections (if1c0a3). */
  @Test
  void manyProxiesOnFewHostsKeepSmallPools() {
    Settings s =
        LoadBalancerFixture.settings(
            LoadBalancerFixture.type(SAFE, Semantics.IDEMPOTENT, Scope.ALL));
    Settings many =
        new Settings(
            s.classes(), s.tenants(), s.limits(), s.rules(), false, "a", 17, 1_500, 1, false);
    LoadBalancer b = balancer(many, LoadBalancerFixture.hosts(40));
    for (int i = 0; i < 500; i++) {
      serve(b, i, 10);
    }
    assertThat(bench.sends.stream().map(LoadBalancerFixture.Send::host).distinct().count())
        .isBetween(3L, 5L);
  }

  private static LoadReport held(double n) {
    return new LoadReport(n, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
  }

  /** One crowded host among idle ones costs no request, and its old report is not believed long. */
  @Test
  void aCrowdedHostIsPassedOverAndTriedAgain() {
    LoadBalancer b = safe(3);
    int i = 0;
    for (; i < 300; i++) {
      report(b, i, bench.now, 1);
    }
    // Host 1 tells of a queue far past the aim; nothing is sent to it while others have room.
    boolean told = false;
    for (; i < 600; i++) {
      boolean first = request(b, i) == 1 && !told;
      told |= first;
      b.onOutcome(bench.now, i, 0, AttemptOutcome.OK, 100, true, load(first ? 60 : 1));
    }
    assertThat(told).isTrue();
    assertThat(bench.refused).isEmpty();
    bench.now += 20_000;
    int before = bench.sends.size();
    for (; i < 660; i++) {
      report(b, i, bench.now, 1);
    }
    assertThat(bench.refused).isEmpty();
    assertThat(bench.sends.subList(before, bench.sends.size())).anyMatch(x -> x.host() == 1);
  }

  /** Time-outs of a host that answers nothing at all say nothing of how busy the others are. */
  @Test
  void aSilentHostIsNoReasonToRefuseWhileOthersHaveRoom() {
    LoadBalancer b = safe(6);
    for (int i = 0; i < 400; i++) {
      bench.now += 5;
      if (request(b, i) == 2) {
        b.onOutcome(bench.now, i, 0, AttemptOutcome.TIMEOUT, 800, true, null);
      } else {
        b.onOutcome(bench.now, i, 0, AttemptOutcome.OK, 100, true, load(1));
      }
    }
    assertThat(bench.refused).isEmpty();
  }

  /**
   * Half the hosts limit one class: it goes elsewhere within a few attempts, the other goes on
   * there.
   */
  @Test
  void aHostThatLimitsAClassKeepsTheOthers() {
    String limited = "limited";
    LoadBalancer b =
        balancer(
            LoadBalancerFixture.settings(
                LoadBalancerFixture.type(limited, Semantics.AT_MOST_ONCE, Scope.ALL),
                LoadBalancerFixture.type(SAFE, Semantics.IDEMPOTENT, Scope.ALL)),
            List.of(
                LoadBalancerFixture.host(0),
                LoadBalancerFixture.host(1),
                LoadBalancerFixture.host(2),
                LoadBalancerFixture.host(3)));
    int turned = 0;
    int others = 0;
    for (int i = 0; i < 1_000; i++) {
      bench.now += 10;
      b.onRequest(bench.now, LoadBalancerFixture.request(i, i % 2 == 0 ? limited : SAFE, 800));
      for (int k = 0; k < 4 && bench.last().request() == i && bench.last().number() == k; k++) {
        boolean limits = i % 2 == 0 && bench.last().host() < 2;
        turned += limits ? 1 : 0;
        others += i % 2 == 1 && bench.last().host() < 2 ? 1 : 0;
        bench.now += 5;
        b.onOutcome(
            bench.now, i, k, limits ? AttemptOutcome.FULL : AttemptOutcome.OK, 5, !limits, load(1));
      }
    }
    assertThat(bench.refused).isEmpty();
    assertThat(turned).isLessThan(40);
    assertThat(others).isBetween(150, 350);
  }

  /**
   * The limit is gone: after one trial that is served the host has its whole part of the class
   * again.
   */
  @Test
  void aHostThatTakesAClassAgainGetsItsPart() {
    LoadBalancer b = safe(2);
    int turned = 0;
    int served = 0;
    for (int i = 0; i < 1_000; i++) {
      bench.now += 20;
      boolean limits = bench.now < 6_000;
      long host = request(b, i);
      boolean full = limits && host == 0;
      turned += full ? 1 : 0;
      served += bench.now > 12_000 && host == 0 ? 1 : 0;
      b.onOutcome(
          bench.now, i, 0, full ? AttemptOutcome.FULL : AttemptOutcome.OK, 5, !full, load(1));
      if (full) {
        b.onOutcome(bench.now, i, 1, AttemptOutcome.OK, 5, true, load(1));
      }
    }
    assertThat(turned).isBetween(2, 12);
    assertThat(served).isGreaterThan(60); // of 400, where its one connection goes on being used
  }

  /**
   * Answers that get lost on the way, from hosts that tell of room, are no jam: nothing is refused
   * for them.
   */
  @Test
  void anAnswerLostOnTheWayIsNoJam() {
    LoadBalancer b = safe(4);
    double[] lost = new double[4];
    for (int i = 0; i < 600; i++) {
      bench.now += 10;
      int host = (int) request(b, i);
      if (i % 3 == 0 && lost[host] == 0) {
        lost[host] = i + 1;
      } else {
        b.onOutcome(bench.now, i, 0, AttemptOutcome.OK, 100, true, load(1));
        if (lost[host] > 0) {
          b.onOutcome(bench.now, (long) lost[host] - 1, 0, AttemptOutcome.TIMEOUT, 800, true, null);
          lost[host] = 0;
        }
      }
    }
    assertThat(bench.refused).isEmpty();
  }

  /**
   * Time-outs beside answers tell of a queue, or of requests that got lost, not of a broken host.
   */
  @Test
  void aHostThatAnswersOthersIsNotEjectedForTimeOuts() {
    LoadBalancer b = safe(1);
    int both = 0;
    for (int i = 0; i < 200; i += 2) {
      request(b, i);
      request(b, i + 1);
      bench.now += 20;
      b.onOutcome(bench.now, i + 1, 0, AttemptOutcome.OK, 20, true, load(1));
      bench.now += 800;
      // Where the second was refused, nobody has answered beside the first.
      boolean beside = !bench.refused.contains(i + 1L);
      both += beside && !bench.refused.contains((long) i) ? 1 : 0;
      b.onOutcome(
          bench.now, i, 0, beside ? AttemptOutcome.TIMEOUT : AttemptOutcome.OK, 820, true, null);
    }
    assertThat(both).isGreaterThan(10);
    assertThat(bench.logs).noneMatch(l -> l.endsWith("ejected"));
  }

  /** Our own requests in flight are at the host, whatever its report, which is late, says. */
  @Test
  void anOldReportDoesNotHideOurOwnRequests() {
    LoadBalancer b = safe(1);
    for (int i = 0; i < 200; i++) {
      bench.now += 1;
      b.onRequest(bench.now, LoadBalancerFixture.request(i, SAFE, 800));
      if (bench.last().request() == i) {
        b.onOutcome(bench.now, i, 0, AttemptOutcome.OK, 160, true, load(7)); // 20 ms for each held
      }
    }
    ArrayDeque<Long> open = new ArrayDeque<>();
    int most = 0;
    for (long i = 200; i < 400; i++) {
      b.onRequest(bench.now, LoadBalancerFixture.request(i, SAFE, 800));
      if (bench.last().request() == i) {
        open.add(i);
      }
      most = Math.max(most, open.size());
      if (i % 2 == 1) {
        double spent = 20 * open.size();
        b.onOutcome(bench.now, open.remove(), 0, AttemptOutcome.OK, spent, true, load(0));
      }
    }
    assertThat(most).isBetween(2, 30);
  }

  /** A host that is gone leaves nothing behind, and its id may come back as another host's. */
  @Test
  void anIdThatComesBackInheritsNothing() {
    LoadBalancer b = safe(2);
    for (int i = 0; i < 60 && bench.logs.isEmpty(); i++) {
      bench.now += 5_000; // so that the charge of a failure fades and the host is drawn again
      boolean bad = request(b, i) == 0;
      b.onOutcome(bench.now, i, 0, bad ? AttemptOutcome.ERROR : AttemptOutcome.OK, 100, true, null);
    }
    assertThat(bench.logs).containsExactly("host 0 ejected");
    for (EndpointUpdate.Condition c :
        List.of(EndpointUpdate.Condition.GONE, EndpointUpdate.Condition.READY)) {
      b.onEndpointList(
          bench.now, EndpointListEvent.DELTA, List.of(LoadBalancerFixture.host(0, c, 0)));
    }
    int before = bench.sends.size();
    for (int i = 100; i < 140; i++) {
      serve(b, i, 100);
    }
    assertThat(bench.sends.subList(before, bench.sends.size())).anyMatch(x -> x.host() == 0);
  }

  private long request(LoadBalancer b, int id) {
    b.onRequest(bench.now, LoadBalancerFixture.request(id, SAFE, 800));
    return bench.last().host();
  }

  private void report(LoadBalancer b, int id, double now, double held) {
    request(b, id);
    b.onOutcome(now, id, 0, AttemptOutcome.OK, 100, true, load(held));
  }

  private static LoadReport load(double held) {
    return new LoadReport(held, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
  }

  // --- long answers

  @Test
  void anAnswerThatHasBegunLeavesTheCount() {
    LoadBalancer b = safe(2);
    Map<Long, Integer> reading = new HashMap<>();
    int widest = 0;
    for (int i = 0; i < 100; i++) {
      b.onRequest(bench.now, LoadBalancerFixture.request(i, SAFE, 800));
      bench.now += 10;
      b.onFirstByte(bench.now, i, 0, 10);
      reading.merge(bench.last().host(), 1, Integer::sum);
      widest =
          Math.max(widest, Math.abs(reading.getOrDefault(0L, 0) - reading.getOrDefault(1L, 0)));
    }
    // Were they counted, the next one would go to the other host each time.
    assertThat(widest).isGreaterThan(1);
    assertThat(bench.refused).isEmpty();
  }

  // --- whose time it is

  /**
   * Requests that host 0 of two gets of 400, where its answers, and no others, stand here unread
   * for 40 ms.
   */
  private int pickedThoughUnread(boolean told) {
    LoadBalancer b = safe(2);
    bench.sends.clear();
    for (int n = 0; n < 400; n++) {
      int i = told ? n : 1_000 + n; // an id is one request's
      b.onReadUntil(bench.now);
      b.onRequest(bench.now, LoadBalancerFixture.request(i, SAFE, 800));
      LoadBalancerFixture.Send s = bench.last();
      double unread = s.host() == 0 ? 40 : 0;
      bench.now += 10 + unread;
      b.onReadUntil(bench.now - (told ? unread : 0));
      b.onOutcome(bench.now, i, s.number(), AttemptOutcome.OK, 10 + unread, true, null);
    }
    return (int) bench.sends.stream().filter(s -> s.host() == 0).count();
  }

  @Test
  void whatStoodHereUnreadIsNoSlownessOfAHosts() {
    assertThat(pickedThoughUnread(true)).isBetween(100, 300);
    assertThat(pickedThoughUnread(false)).isLessThan(50); // the same, taken for the host's
  }

  @Test
  void aHostIsNotSilentWhileThisProcessHearsNothing() {
    LoadBalancer b = safe(2);
    for (int i = 0; i < 200; i++) {
      serve(b, i, 10);
    }
    b.onRequest(bench.now, LoadBalancerFixture.request(1_000, SAFE, 800));
    long busy = bench.last().host();
    b.onReadUntil(bench.now + 1);
    bench.now += 150;
    Map<Long, Integer> counts = new HashMap<>();
    for (int i = 2_000; i < 2_020; i++) {
      b.onRequest(bench.now, LoadBalancerFixture.request(i, SAFE, 800));
      counts.merge(bench.last().host(), 1, Integer::sum);
    }
    assertThat(counts.get(busy)).isGreaterThan(5); // its answer may stand here
    b.onReadUntil(bench.now); // and now it is known that none has come
    b.onRequest(bench.now, LoadBalancerFixture.request(3_000, SAFE, 800));
    assertThat(bench.last().host()).isNotEqualTo(busy);
  }

  @Test
  void clientsThatReadNothingOfLongAnswersCostOthersNothing() {
    Settings.RequestClass stream =
        new Settings.RequestClass("stream", 400, 4_000, Semantics.IDEMPOTENT, Scope.ALL, 300, 1, 0);
    LoadBalancer b =
        balancer(
            LoadBalancerFixture.settings(
                stream, LoadBalancerFixture.type(SAFE, Semantics.IDEMPOTENT, Scope.ALL)),
            LoadBalancerFixture.hosts(1));
    for (int i = 0; i < 30; i++) {
      b.onRequest(bench.now, LoadBalancerFixture.request(i, "stream", 4_000));
      bench.now += 10;
      b.onFirstByte(bench.now, i, 0, 10);
    }
    for (int i = 1_000; i < 1_400; i++) {
      serve(b, i, 10);
    }
    for (int i = 0; i < 30; i++) {
      b.onOutcome(bench.now, i, 0, AttemptOutcome.CANCELLED, 4_000, true, null);
    }
    for (int i = 2_000; i < 2_400; i++) {
      serve(b, i, 10);
    }
    assertThat(bench.refused).isEmpty();
    assertThat(bench.logs).isEmpty(); // nobody is ejected either
  }

  // --- other settings

  @Test
  void openRequestsKeepTheirClassAndNewOnesHaveTheNew() {
    Settings.RequestClass loose = LoadBalancerFixture.type("c", Semantics.IDEMPOTENT, Scope.ALL);
    Settings.RequestClass strict = LoadBalancerFixture.type("c", Semantics.AT_MOST_ONCE, Scope.ALL);
    LoadBalancer b = balancer(LoadBalancerFixture.settings(loose), LoadBalancerFixture.hosts(4));
    b.onRequest(bench.now, LoadBalancerFixture.request(1, "c", 800));
    b.onSettings(LoadBalancerFixture.settings(strict));
    b.onRequest(bench.now, LoadBalancerFixture.request(2, "c", 800));
    b.onOutcome(bench.now, 1, 0, AttemptOutcome.ERROR, 5, false, null);
    assertThat(bench.last().request()).isEqualTo(1L); // again: it came as one that may be
    b.onOutcome(bench.now, 2, 0, AttemptOutcome.ERROR, 5, false, null);
    assertThat(bench.failed).containsExactly(2L);
  }

  @Test
  void openRequestsGetTheSmallerOfBothNumbersOfAttempts() {
    Settings.RequestClass type = LoadBalancerFixture.type("c", Semantics.IDEMPOTENT, Scope.ALL);
    for (int[] change : new int[][] {{2, 4}, {4, 2}}) {
      bench.sends.clear();
      LoadBalancer b =
          balancer(
              LoadBalancerFixture.settings(true, change[0], false, type),
              LoadBalancerFixture.hosts(6));
      b.onRequest(bench.now, LoadBalancerFixture.request(change[0], "c", 800));
      b.onSettings(LoadBalancerFixture.settings(true, change[1], false, type));
      for (int i = 0; i < bench.sends.size(); i++) {
        b.onOutcome(bench.now, change[0], i, AttemptOutcome.CONNECT_FAILED, 5, false, null);
      }
      assertThat(bench.sends).hasSize(2);
    }
  }

  @Test
  void whatIsKnownOfHostsOutlivesTheSettings() {
    LoadBalancer b = safe(4);
    for (int i = 0; i < 200; i++) {
      serve(b, i, 10);
    }
    b.onRequest(bench.now, LoadBalancerFixture.request(1_000, SAFE, 800));
    long silent = bench.last().host();
    b.onSettings(
        LoadBalancerFixture.settings(
            LoadBalancerFixture.type(SAFE, Semantics.IDEMPOTENT, Scope.ALL)));
    bench.now += 300;
    for (int i = 2_000; i < 2_100; i++) {
      serve(b, i, 1);
      assertThat(bench.last().host()).isNotEqualTo(silent);
    }
  }
}
