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
 * Tests the choice of endpoints, repeated attempts, and changes of settings and of the endpoint
 * list.
 */
class LoadBalancerTest {
  private final LoadBalancerFixture fixture = new LoadBalancerFixture();

  @Test
  void openRequestsAreSpreadByOwnCount() {
    LoadBalancer balancer = fixture.createIdempotent(4);
    Map<Long, Integer> counts = new HashMap<>();
    for (int i = 0; i < 40; i++) {
      fixture.arrive(balancer, i, LoadBalancerFixture.IDEMPOTENT, 800);
      counts.merge(fixture.last().endpoint(), 1, Integer::sum);
    }
    assertThat(counts.values()).allSatisfy(count -> assertThat(count).isBetween(7, 13));
  }

  @Test
  void drainingEndpointGetsNoRequests() {
    LoadBalancer balancer = fixture.createIdempotent(3);
    balancer.onEndpointList(
        fixture.nowMillis,
        EndpointListEvent.DELTA,
        List.of(LoadBalancerFixture.endpoint(1, Condition.TERMINATING, 0)));
    for (int i = 0; i < 60; i++) {
      fixture.arrive(balancer, i, LoadBalancerFixture.IDEMPOTENT, 800);
      assertThat(fixture.last().endpoint()).isNotEqualTo(1);
    }
  }

  @Test
  void restartedEndpointIsWarmedUp() {
    LoadBalancer balancer = fixture.createIdempotent(6);
    for (int i = 0; i < 1_000; i++) {
      fixture.serve(balancer, i, 4);
    }
    balancer.onEndpointList(
        fixture.nowMillis,
        EndpointListEvent.DELTA,
        List.of(LoadBalancerFixture.endpoint(3, Condition.READY, fixture.nowMillis)));
    int sendsToColdEndpoint = 0;
    for (int i = 1_000; i < 1_500; i++) {
      fixture.serve(balancer, i, 4);
      sendsToColdEndpoint += fixture.last().endpoint() == 3 ? 1 : 0;
    }
    // An even share would be 83. The endpoint has 30% to 50% of its full capacity.
    assertThat(sendsToColdEndpoint).isBetween(5, 55);
  }

  @Test
  void unsafeRequestIsNeverRepeatedAfterTimeout() {
    LoadBalancer balancer =
        fixture.create(
            LoadBalancerFixture.settings(
                LoadBalancerFixture.requestClass("once", Semantics.AT_MOST_ONCE, KeyScope.ALL)),
            LoadBalancerFixture.endpoints(4));
    fixture.arrive(balancer, 1, "once", 400);
    balancer.onOutcome(fixture.nowMillis + 400, 1, 0, AttemptOutcome.TIMEOUT, 400, false, null);
    assertThat(fixture.sends).hasSize(1);
    assertThat(fixture.failed).containsExactly(1L);
    fixture.arrive(balancer, 2, "once", 400);
    balancer.onOutcome(fixture.nowMillis, 2, 0, AttemptOutcome.FULL, 1, false, null);
    assertThat(fixture.sends).hasSize(3);
  }

  @Test
  void failedWatchIsRepeatedWithBackoff() {
    LoadBalancer balancer =
        fixture.create(
            LoadBalancerFixture.settings(
                true,
                4,
                true,
                LoadBalancerFixture.requestClass(
                    LoadBalancerFixture.IDEMPOTENT, Semantics.IDEMPOTENT, KeyScope.ALL)),
            LoadBalancerFixture.endpoints(2));
    assertThat(fixture.watchCount).isEqualTo(1);
    double lastWaitMillis = 0;
    for (int i = 0; i < 6; i++) {
      balancer.onEndpointList(fixture.nowMillis, EndpointListEvent.FAILED, List.of());
      Map.Entry<Double, List<Long>> timer = fixture.timers.pollFirstEntry();
      lastWaitMillis = timer.getKey() - fixture.nowMillis;
      fixture.nowMillis = timer.getKey();
      timer.getValue().forEach(token -> balancer.onTimer(fixture.nowMillis, token));
      assertThat(fixture.watchCount).isEqualTo(i + 2);
    }
    assertThat(lastWaitMillis).isBetween(2_000.0, 10_000.0);
  }

  @Test
  void sameSeedAndEventsGiveTheSameActions() {
    LoadBalancerFixture other = new LoadBalancerFixture();
    for (LoadBalancerFixture each : List.of(fixture, other)) {
      LoadBalancer balancer =
          new LoadBalancer(
              LoadBalancerFixture.settings(
                  LoadBalancerFixture.requestClass(
                      LoadBalancerFixture.IDEMPOTENT, Semantics.IDEMPOTENT, KeyScope.ALL)),
              3,
              each);
      balancer.onEndpointList(
          each.nowMillis, EndpointListEvent.FULL, LoadBalancerFixture.endpoints(9));
      for (int i = 0; i < 100; i++) {
        each.arrive(balancer, i, LoadBalancerFixture.IDEMPOTENT, 800);
      }
    }
    assertThat(other.sends).isEqualTo(fixture.sends);
  }

  /** Guards against retries in an overload that overload an endpoint that is warming up. */
  @Test
  void overloadDoesNotFloodWarmingEndpoint() {
    LoadBalancer balancer = fixture.createIdempotent(5);
    int sendsToColdEndpoint = 0;
    int served = 0;
    for (int i = 0; i < 4_000; i++) {
      fixture.nowMillis += 1;
      if (i == 2_000) {
        balancer.onEndpointList(
            fixture.nowMillis,
            EndpointListEvent.DELTA,
            List.of(LoadBalancerFixture.endpoint(3, Condition.READY, fixture.nowMillis)));
      }
      int before = fixture.sends.size();
      fixture.arrive(balancer, i, LoadBalancerFixture.IDEMPOTENT, 800);
      for (int k = before; k < fixture.sends.size(); k++) {
        LoadBalancerFixture.Send send = fixture.sends.get(k);
        boolean isServed = k % 10 == 0; // endpoints serve a tenth of the attempts
        sendsToColdEndpoint += i >= 2_000 && send.endpoint() == 3 ? 1 : 0;
        served += i >= 2_000 && isServed ? 1 : 0;
        balancer.onOutcome(
            fixture.nowMillis,
            i,
            send.number(),
            isServed ? AttemptOutcome.OK : AttemptOutcome.FULL,
            2,
            isServed,
            null);
      }
    }
    // A warm endpoint serves a fifth of the total. A cold one may get at most three times as much.
    assertThat(sendsToColdEndpoint).isLessThan(3 * Math.max(10, served / 5));
    // It gets its full credit, because picking it for a request that is rejected uses no credit.
    assertThat(sendsToColdEndpoint).isGreaterThan(5);
  }

  /** Guards against many proxies that together exhaust the endpoints' connections. */
  @Test
  void manyProxiesOnFewEndpointsKeepSmallSubsets() {
    Settings singleProxy =
        LoadBalancerFixture.settings(
            LoadBalancerFixture.requestClass(
                LoadBalancerFixture.IDEMPOTENT, Semantics.IDEMPOTENT, KeyScope.ALL));
    Settings manyProxies =
        new Settings(
            singleProxy.classes(),
            singleProxy.tenants(),
            singleProxy.limits(),
            singleProxy.warmUpRules(),
            false,
            "a",
            17,
            1_500,
            1,
            false);
    LoadBalancer balancer = fixture.create(manyProxies, LoadBalancerFixture.endpoints(40));
    for (int i = 0; i < 500; i++) {
      fixture.serve(balancer, i, 10);
    }
    assertThat(fixture.sends.stream().map(LoadBalancerFixture.Send::endpoint).distinct().count())
        .isBetween(3L, 5L);
  }

  @Test
  void streamingResponseIsNotCountedInFlight() {
    LoadBalancer balancer = fixture.createIdempotent(2);
    Map<Long, Integer> streamingCounts = new HashMap<>();
    int maxDifference = 0;
    for (int i = 0; i < 100; i++) {
      fixture.arrive(balancer, i, LoadBalancerFixture.IDEMPOTENT, 800);
      fixture.nowMillis += 10;
      balancer.onFirstByte(fixture.nowMillis, i, 0, 10);
      streamingCounts.merge(fixture.last().endpoint(), 1, Integer::sum);
      maxDifference =
          Math.max(
              maxDifference,
              Math.abs(streamingCounts.getOrDefault(0L, 0) - streamingCounts.getOrDefault(1L, 0)));
    }
    // If streaming responses counted, the next request would always go to the other endpoint.
    assertThat(maxDifference).isGreaterThan(1);
    assertThat(fixture.rejected).isEmpty();
  }

  /**
   * Returns how many of 400 requests go to endpoint 0 of two if only its responses are unread in
   * this process for 40 ms each.
   */
  private int countPicksWithUnreadResponses(boolean isLagReported) {
    LoadBalancer balancer = fixture.createIdempotent(2);
    fixture.sends.clear();
    for (int index = 0; index < 400; index++) {
      int id = isLagReported ? index : 1_000 + index; // ids must not repeat
      balancer.onReadUntil(fixture.nowMillis);
      fixture.arrive(balancer, id, LoadBalancerFixture.IDEMPOTENT, 800);
      LoadBalancerFixture.Send send = fixture.last();
      double unreadMillis = send.endpoint() == 0 ? 40 : 0;
      fixture.nowMillis += 10 + unreadMillis;
      balancer.onReadUntil(fixture.nowMillis - (isLagReported ? unreadMillis : 0));
      balancer.onOutcome(
          fixture.nowMillis, id, send.number(), AttemptOutcome.OK, 10 + unreadMillis, true, null);
    }
    return (int) fixture.sends.stream().filter(send -> send.endpoint() == 0).count();
  }

  @Test
  void readLagIsNotCountedAsSlownessOfEndpoint() {
    assertThat(countPicksWithUnreadResponses(true)).isBetween(100, 300);
    assertThat(countPicksWithUnreadResponses(false))
        .isLessThan(50); // the lag counts as response time of the endpoint
  }

  @Test
  void newSettingsApplyOnlyToNewRequests() {
    Settings.RequestClass idempotentClass =
        LoadBalancerFixture.requestClass("c", Semantics.IDEMPOTENT, KeyScope.ALL);
    Settings.RequestClass atMostOnceClass =
        LoadBalancerFixture.requestClass("c", Semantics.AT_MOST_ONCE, KeyScope.ALL);
    LoadBalancer balancer =
        fixture.create(
            LoadBalancerFixture.settings(idempotentClass), LoadBalancerFixture.endpoints(4));
    fixture.arrive(balancer, 1, "c", 800);
    balancer.onSettings(LoadBalancerFixture.settings(atMostOnceClass));
    fixture.arrive(balancer, 2, "c", 800);
    balancer.onOutcome(fixture.nowMillis, 1, 0, AttemptOutcome.ERROR, 5, false, null);
    // retried, because it arrived with the idempotent class
    assertThat(fixture.last().request()).isEqualTo(1L);
    balancer.onOutcome(fixture.nowMillis, 2, 0, AttemptOutcome.ERROR, 5, false, null);
    assertThat(fixture.failed).containsExactly(2L);
  }

  @Test
  void openRequestsGetSmallerAttemptLimitOfOldAndNewSettings() {
    Settings.RequestClass requestClass =
        LoadBalancerFixture.requestClass("c", Semantics.IDEMPOTENT, KeyScope.ALL);
    for (int[] attemptLimits : new int[][] {{2, 4}, {4, 2}}) {
      fixture.sends.clear();
      LoadBalancer balancer =
          fixture.create(
              LoadBalancerFixture.settings(true, attemptLimits[0], false, requestClass),
              LoadBalancerFixture.endpoints(6));
      fixture.arrive(balancer, attemptLimits[0], "c", 800);
      balancer.onSettings(
          LoadBalancerFixture.settings(true, attemptLimits[1], false, requestClass));
      for (int i = 0; i < fixture.sends.size(); i++) {
        balancer.onOutcome(
            fixture.nowMillis, attemptLimits[0], i, AttemptOutcome.CONNECT_FAILED, 5, false, null);
      }
      assertThat(fixture.sends).hasSize(2);
    }
  }

  @Test
  void endpointStateSurvivesNewSettings() {
    LoadBalancer balancer = fixture.createIdempotent(4);
    for (int i = 0; i < 200; i++) {
      fixture.serve(balancer, i, 10);
    }
    fixture.arrive(balancer, 1_000, LoadBalancerFixture.IDEMPOTENT, 800);
    long silent = fixture.last().endpoint();
    balancer.onSettings(
        LoadBalancerFixture.settings(
            LoadBalancerFixture.requestClass(
                LoadBalancerFixture.IDEMPOTENT, Semantics.IDEMPOTENT, KeyScope.ALL)));
    fixture.nowMillis += 300;
    for (int i = 2_000; i < 2_100; i++) {
      fixture.serve(balancer, i, 1);
      assertThat(fixture.last().endpoint()).isNotEqualTo(silent);
    }
  }
}
