package leadferry.loadbalancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import leadferry.loadbalancer.EndpointUpdate.Condition;
import leadferry.loadbalancer.Settings.KeyScope;
import leadferry.loadbalancer.Settings.Semantics;
import org.junit.jupiter.api.Test;

/**
 * Tests which endpoints are avoided because they are silent, failing or closed to a class, and when
 * they are used again.
 */
class LoadBalancerOutlierTest {
  private final LoadBalancerFixture fixture = new LoadBalancerFixture();

  @Test
  void silentEndpointGetsNoRequests() {
    LoadBalancer balancer = fixture.createIdempotent(4);
    for (int i = 0; i < 200; i++) {
      fixture.serve(balancer, i, 10);
    }
    fixture.arrive(balancer, 1_000, LoadBalancerFixture.IDEMPOTENT, 800);
    long silent = fixture.last().endpoint();
    fixture.nowMillis += 300;
    for (int i = 2_000; i < 2_100; i++) {
      fixture.serve(balancer, i, 1);
      assertThat(fixture.last().endpoint()).isNotEqualTo(silent);
    }
  }

  @Test
  void fastFailingEndpointIsEjectedAndRetried() {
    LoadBalancer balancer = fixture.createIdempotent(5);
    long failingEndpoint = 2;
    int earlySends = 0;
    int trialSends = 0;
    int sendsAfterRecovery = 0;
    for (int i = 0; i < 2_000; i++) {
      fixture.nowMillis += 5;
      fixture.arrive(balancer, i, LoadBalancerFixture.IDEMPOTENT, 800);
      for (int k = 0; k < 3; k++) {
        LoadBalancerFixture.Send send = fixture.last();
        if (send.request() != i || send.number() != k) {
          break;
        }
        boolean fails = send.endpoint() == failingEndpoint && fixture.nowMillis < 7_000;
        if (send.endpoint() == failingEndpoint) {
          earlySends += i < 100 ? 1 : 0;
          trialSends += i >= 100 && fixture.nowMillis < 7_000 ? 1 : 0;
          sendsAfterRecovery += fixture.nowMillis >= 7_000 ? 1 : 0;
        }
        balancer.onOutcome(
            fixture.nowMillis,
            i,
            k,
            fails ? AttemptOutcome.ERROR : AttemptOutcome.OK,
            1,
            !fails,
            null);
      }
    }
    assertThat(earlySends).isLessThan(8);
    assertThat(trialSends).isBetween(1, 10);
    assertThat(sendsAfterRecovery).isGreaterThan(50);
  }

  /**
   * Guards against ejections when all endpoints fail alike: the few endpoints left would get all
   * the load.
   */
  @Test
  void ejectedShareOfEndpointsIsLimited() {
    LoadBalancer balancer = fixture.createIdempotent(3);
    for (int i = 0; i < 60; i++) {
      fixture.arrive(balancer, i, LoadBalancerFixture.IDEMPOTENT, 800);
      balancer.onOutcome(fixture.nowMillis, i, 0, AttemptOutcome.ERROR, 1, true, null);
    }
    int before = fixture.sends.size();
    fixture.arrive(balancer, 100, LoadBalancerFixture.IDEMPOTENT, 800);
    assertThat(fixture.sends).hasSizeGreaterThan(before);
    balancer.onOutcome(fixture.nowMillis, 100, 0, AttemptOutcome.OK, 1, true, null);
    assertThat(fixture.logs).filteredOn(line -> line.endsWith("ejected")).hasSize(1);
    fixture.nowMillis += 20_000;
    for (int i = 200; i < 260; i++) {
      fixture.serve(balancer, i, 5);
    }
    assertThat(fixture.logs).filteredOn(line -> line.endsWith("readmitted")).hasSize(1);
  }

  /**
   * Guards against ejections of full endpoints, which are busy but not broken. Excess requests are
   * rejected early instead.
   */
  @Test
  void fullEndpointsAreNotEjected() {
    LoadBalancer balancer = fixture.createIdempotent(4);
    for (int i = 0; i < 60; i++) {
      fixture.nowMillis += 20;
      fixture.arrive(balancer, i, LoadBalancerFixture.IDEMPOTENT, 800);
      for (int k = 0; k < 4 && fixture.last().request() == i && fixture.last().number() == k; k++) {
        balancer.onOutcome(fixture.nowMillis, i, k, AttemptOutcome.FULL, 1, false, null);
      }
    }
    assertThat(fixture.logs).noneMatch(line -> line.contains("ejected"));
    assertThat(fixture.rejected).hasSize(60);
    assertThat(fixture.sends.size()).isLessThan(150);
  }

  /**
   * Guards against the ejection of a whole endpoint that limits one class. Half of the endpoints
   * limit a class: within a few attempts it goes elsewhere, while the other class still uses all
   * endpoints.
   */
  @Test
  void endpointThatLimitsOneClassKeepsOtherClasses() {
    String limited = "limited";
    LoadBalancer balancer =
        fixture.create(
            LoadBalancerFixture.settings(
                LoadBalancerFixture.requestClass(limited, Semantics.AT_MOST_ONCE, KeyScope.ALL),
                LoadBalancerFixture.requestClass(
                    LoadBalancerFixture.IDEMPOTENT, Semantics.IDEMPOTENT, KeyScope.ALL)),
            List.of(
                LoadBalancerFixture.endpoint(0),
                LoadBalancerFixture.endpoint(1),
                LoadBalancerFixture.endpoint(2),
                LoadBalancerFixture.endpoint(3)));
    int rejected = 0;
    int others = 0;
    for (int i = 0; i < 1_000; i++) {
      fixture.nowMillis += 10;
      fixture.arrive(balancer, i, i % 2 == 0 ? limited : LoadBalancerFixture.IDEMPOTENT, 800);
      for (int k = 0; k < 4 && fixture.last().request() == i && fixture.last().number() == k; k++) {
        boolean isLimited = i % 2 == 0 && fixture.last().endpoint() < 2;
        rejected += isLimited ? 1 : 0;
        others += i % 2 == 1 && fixture.last().endpoint() < 2 ? 1 : 0;
        fixture.nowMillis += 5;
        balancer.onOutcome(
            fixture.nowMillis,
            i,
            k,
            isLimited ? AttemptOutcome.FULL : AttemptOutcome.OK,
            5,
            !isLimited,
            LoadBalancerFixture.loadReport(1));
      }
    }
    assertThat(fixture.rejected).isEmpty();
    assertThat(rejected).isLessThan(40);
    assertThat(others).isBetween(150, 350);
  }

  /**
   * Guards against an endpoint that stays closed to a class after its limit ended: one served trial
   * must restore its full share of the class.
   */
  @Test
  void endpointThatAcceptsClassAgainGetsItsShare() {
    LoadBalancer balancer = fixture.createIdempotent(2);
    int rejected = 0;
    int served = 0;
    for (int i = 0; i < 1_000; i++) {
      fixture.nowMillis += 20;
      boolean isLimited = fixture.nowMillis < 6_000;
      long endpoint = fixture.request(balancer, i);
      boolean isFull = isLimited && endpoint == 0;
      rejected += isFull ? 1 : 0;
      served += fixture.nowMillis > 12_000 && endpoint == 0 ? 1 : 0;
      balancer.onOutcome(
          fixture.nowMillis,
          i,
          0,
          isFull ? AttemptOutcome.FULL : AttemptOutcome.OK,
          5,
          !isFull,
          LoadBalancerFixture.loadReport(1));
      if (isFull) {
        balancer.onOutcome(
            fixture.nowMillis, i, 1, AttemptOutcome.OK, 5, true, LoadBalancerFixture.loadReport(1));
      }
    }
    assertThat(rejected).isBetween(2, 12);
    assertThat(served).isGreaterThan(60); // of 400; its one open connection remains preferred
  }

  /**
   * Guards against ejections for timeouts while other requests get responses. Such timeouts
   * indicate a queue or lost requests, not a broken endpoint.
   */
  @Test
  void respondingEndpointIsNotEjectedForTimeouts() {
    LoadBalancer balancer = fixture.createIdempotent(1);
    int timeoutsWithResponse = 0;
    for (int i = 0; i < 200; i += 2) {
      fixture.request(balancer, i);
      fixture.request(balancer, i + 1);
      fixture.nowMillis += 20;
      balancer.onOutcome(
          fixture.nowMillis,
          i + 1,
          0,
          AttemptOutcome.OK,
          20,
          true,
          LoadBalancerFixture.loadReport(1));
      fixture.nowMillis += 800;
      // If the second request was rejected, no other response proves that the endpoint is alive.
      boolean hasOtherResponse = !fixture.rejected.contains(i + 1L);
      timeoutsWithResponse += hasOtherResponse && !fixture.rejected.contains((long) i) ? 1 : 0;
      balancer.onOutcome(
          fixture.nowMillis,
          i,
          0,
          hasOtherResponse ? AttemptOutcome.TIMEOUT : AttemptOutcome.OK,
          820,
          true,
          null);
    }
    assertThat(timeoutsWithResponse).isGreaterThan(10);
    assertThat(fixture.logs).noneMatch(line -> line.endsWith("ejected"));
  }

  /**
   * Guards against state of a removed endpoint that is inherited by a new endpoint with the same
   * id.
   */
  @Test
  void reusedEndpointIdStartsWithoutHistory() {
    LoadBalancer balancer = fixture.createIdempotent(2);
    for (int i = 0; i < 60 && fixture.logs.isEmpty(); i++) {
      fixture.nowMillis +=
          5_000; // lets the failure penalty decay, so that the endpoint is picked again
      boolean isFailing = fixture.request(balancer, i) == 0;
      balancer.onOutcome(
          fixture.nowMillis,
          i,
          0,
          isFailing ? AttemptOutcome.ERROR : AttemptOutcome.OK,
          100,
          true,
          null);
    }
    assertThat(fixture.logs).containsExactly("host 0 ejected");
    for (Condition condition : List.of(Condition.GONE, Condition.READY)) {
      balancer.onEndpointList(
          fixture.nowMillis,
          EndpointListEvent.DELTA,
          List.of(LoadBalancerFixture.endpoint(0, condition, 0)));
    }
    int before = fixture.sends.size();
    for (int i = 100; i < 140; i++) {
      fixture.serve(balancer, i, 100);
    }
    assertThat(fixture.sends.subList(before, fixture.sends.size()))
        .anyMatch(send -> send.endpoint() == 0);
  }

  @Test
  void endpointIsNotSilentWhileProxyReadsNothing() {
    LoadBalancer balancer = fixture.createIdempotent(2);
    for (int i = 0; i < 200; i++) {
      fixture.serve(balancer, i, 10);
    }
    fixture.arrive(balancer, 1_000, LoadBalancerFixture.IDEMPOTENT, 800);
    long busy = fixture.last().endpoint();
    balancer.onReadUntil(fixture.nowMillis + 1);
    fixture.nowMillis += 150;
    Map<Long, Integer> counts = new HashMap<>();
    for (int i = 2_000; i < 2_020; i++) {
      fixture.arrive(balancer, i, LoadBalancerFixture.IDEMPOTENT, 800);
      counts.merge(fixture.last().endpoint(), 1, Integer::sum);
    }
    assertThat(counts.get(busy)).isGreaterThan(5); // its response may be unread here
    balancer.onReadUntil(fixture.nowMillis); // no response has arrived
    fixture.arrive(balancer, 3_000, LoadBalancerFixture.IDEMPOTENT, 800);
    assertThat(fixture.last().endpoint()).isNotEqualTo(busy);
  }
}
