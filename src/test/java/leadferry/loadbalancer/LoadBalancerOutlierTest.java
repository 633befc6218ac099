package leadferry.loadbalancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import leadferry.loadbalancer.EndpointUpdate.Condition;
import leadferry.loadbalancer.Settings.KeyScope;
import leadferry.loadbalancer.Settings.Semantics;
import org.junit.jupiter.api.Test;

/** Which endpoints are left out as silent, failing or closed to a class, and when they are back. */
class LoadBalancerOutlierTest {
  private final LoadBalancerFixture fixture = new LoadBalancerFixture();

  @Test
  void silentEndpointGetsNoRequests() {
    LoadBalancer balancer = fixture.createIdempotent(4);
    for (int i = 0; i < 200; i++) {
      fixture.serve(balancer, i, 10);
    }
    balancer.onRequest(
        fixture.nowMillis, LoadBalancerFixture.request(1_000, LoadBalancerFixture.IDEMPOTENT, 800));
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
    long bad = 2;
    int first = 0;
    int later = 0;
    int trials = 0;
    for (int i = 0; i < 2_000; i++) {
      fixture.nowMillis += 5;
      balancer.onRequest(
          fixture.nowMillis, LoadBalancerFixture.request(i, LoadBalancerFixture.IDEMPOTENT, 800));
      for (int k = 0; k < 3; k++) {
        LoadBalancerFixture.Send send = fixture.last();
        if (send.request() != i || send.number() != k) {
          break;
        }
        boolean fails = send.endpoint() == bad && fixture.nowMillis < 7_000;
        if (send.endpoint() == bad) {
          first += i < 100 ? 1 : 0;
          later += i >= 100 && fixture.nowMillis < 7_000 ? 1 : 0;
          trials += fixture.nowMillis >= 7_000 ? 1 : 0;
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
    assertThat(first).isLessThan(8);
    assertThat(later).isBetween(1, 10);
    assertThat(trials).isGreaterThan(50);
  }

  /**
   * When all endpoints fail alike it is no outlier's fault: the few left must not get all the load.
   */
  @Test
  void ejectedShareOfEndpointsIsLimited() {
    LoadBalancer balancer = fixture.createIdempotent(3);
    for (int i = 0; i < 60; i++) {
      balancer.onRequest(
          fixture.nowMillis, LoadBalancerFixture.request(i, LoadBalancerFixture.IDEMPOTENT, 800));
      balancer.onOutcome(fixture.nowMillis, i, 0, AttemptOutcome.ERROR, 1, true, null);
    }
    int before = fixture.sends.size();
    balancer.onRequest(
        fixture.nowMillis, LoadBalancerFixture.request(100, LoadBalancerFixture.IDEMPOTENT, 800));
    assertThat(fixture.sends).hasSizeGreaterThan(before);
    balancer.onOutcome(fixture.nowMillis, 100, 0, AttemptOutcome.OK, 1, true, null);
    assertThat(fixture.logs).filteredOn(line -> line.endsWith("ejected")).hasSize(1);
    fixture.nowMillis += 20_000;
    for (int i = 200; i < 260; i++) {
      fixture.serve(balancer, i, 5);
    }
    assertThat(fixture.logs).filteredOn(line -> line.endsWith("readmitted")).hasSize(1);
  }

  /** Full endpoints are busy, not broken: none is ejected, and what piles up is rejected early. */
  @Test
  void fullEndpointsAreNotEjected() {
    LoadBalancer balancer = fixture.createIdempotent(4);
    for (int i = 0; i < 60; i++) {
      fixture.nowMillis += 20;
      balancer.onRequest(
          fixture.nowMillis, LoadBalancerFixture.request(i, LoadBalancerFixture.IDEMPOTENT, 800));
      for (int k = 0; k < 4 && fixture.last().request() == i && fixture.last().number() == k; k++) {
        balancer.onOutcome(fixture.nowMillis, i, k, AttemptOutcome.FULL, 1, false, null);
      }
    }
    assertThat(fixture.logs).noneMatch(line -> line.contains("ejected"));
    assertThat(fixture.rejected).hasSize(60);
    assertThat(fixture.sends.size()).isLessThan(150);
  }

  /**
   * Half the endpoints limit one class: it goes elsewhere within a few attempts, the other goes on
   * there.
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
    int turned = 0;
    int others = 0;
    for (int i = 0; i < 1_000; i++) {
      fixture.nowMillis += 10;
      balancer.onRequest(
          fixture.nowMillis,
          LoadBalancerFixture.request(
              i, i % 2 == 0 ? limited : LoadBalancerFixture.IDEMPOTENT, 800));
      for (int k = 0; k < 4 && fixture.last().request() == i && fixture.last().number() == k; k++) {
        boolean limits = i % 2 == 0 && fixture.last().endpoint() < 2;
        turned += limits ? 1 : 0;
        others += i % 2 == 1 && fixture.last().endpoint() < 2 ? 1 : 0;
        fixture.nowMillis += 5;
        balancer.onOutcome(
            fixture.nowMillis,
            i,
            k,
            limits ? AttemptOutcome.FULL : AttemptOutcome.OK,
            5,
            !limits,
            LoadBalancerFixture.loadReport(1));
      }
    }
    assertThat(fixture.rejected).isEmpty();
    assertThat(turned).isLessThan(40);
    assertThat(others).isBetween(150, 350);
  }

  /**
   * The limit is gone: after one trial that is served the endpoint has its whole part of the class
   * again.
   */
  @Test
  void endpointThatAcceptsClassAgainGetsItsShare() {
    LoadBalancer balancer = fixture.createIdempotent(2);
    int turned = 0;
    int served = 0;
    for (int i = 0; i < 1_000; i++) {
      fixture.nowMillis += 20;
      boolean limits = fixture.nowMillis < 6_000;
      long endpoint = fixture.request(balancer, i);
      boolean full = limits && endpoint == 0;
      turned += full ? 1 : 0;
      served += fixture.nowMillis > 12_000 && endpoint == 0 ? 1 : 0;
      balancer.onOutcome(
          fixture.nowMillis,
          i,
          0,
          full ? AttemptOutcome.FULL : AttemptOutcome.OK,
          5,
          !full,
          LoadBalancerFixture.loadReport(1));
      if (full) {
        balancer.onOutcome(
            fixture.nowMillis, i, 1, AttemptOutcome.OK, 5, true, LoadBalancerFixture.loadReport(1));
      }
    }
    assertThat(turned).isBetween(2, 12);
    assertThat(served).isGreaterThan(60); // of 400, where its one connection goes on being used
  }

  /**
   * Time-outs beside answers tell of a queue, or of requests that got lost, not of a broken
   * endpoint.
   */
  @Test
  void respondingEndpointIsNotEjectedForTimeouts() {
    LoadBalancer balancer = fixture.createIdempotent(1);
    int both = 0;
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
      // Where the second was rejected, nobody has answered beside the first.
      boolean beside = !fixture.rejected.contains(i + 1L);
      both += beside && !fixture.rejected.contains((long) i) ? 1 : 0;
      balancer.onOutcome(
          fixture.nowMillis,
          i,
          0,
          beside ? AttemptOutcome.TIMEOUT : AttemptOutcome.OK,
          820,
          true,
          null);
    }
    assertThat(both).isGreaterThan(10);
    assertThat(fixture.logs).noneMatch(line -> line.endsWith("ejected"));
  }

  /**
   * An endpoint that is gone leaves nothing behind, and its id may come back as another endpoint's.
   */
  @Test
  void reusedEndpointIdStartsWithoutHistory() {
    LoadBalancer balancer = fixture.createIdempotent(2);
    for (int i = 0; i < 60 && fixture.logs.isEmpty(); i++) {
      fixture.nowMillis +=
          5_000; // so that the charge of a failure fades and the host is drawn again
      boolean bad = fixture.request(balancer, i) == 0;
      balancer.onOutcome(
          fixture.nowMillis, i, 0, bad ? AttemptOutcome.ERROR : AttemptOutcome.OK, 100, true, null);
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
    balancer.onRequest(
        fixture.nowMillis, LoadBalancerFixture.request(1_000, LoadBalancerFixture.IDEMPOTENT, 800));
    long busy = fixture.last().endpoint();
    balancer.onReadUntil(fixture.nowMillis + 1);
    fixture.nowMillis += 150;
    Map<Long, Integer> counts = new HashMap<>();
    for (int i = 2_000; i < 2_020; i++) {
      balancer.onRequest(
          fixture.nowMillis, LoadBalancerFixture.request(i, LoadBalancerFixture.IDEMPOTENT, 800));
      counts.merge(fixture.last().endpoint(), 1, Integer::sum);
    }
    assertThat(counts.get(busy)).isGreaterThan(5); // its answer may stand here
    balancer.onReadUntil(fixture.nowMillis); // and now it is known that none has come
    balancer.onRequest(
        fixture.nowMillis, LoadBalancerFixture.request(3_000, LoadBalancerFixture.IDEMPOTENT, 800));
    assertThat(fixture.last().endpoint()).isNotEqualTo(busy);
  }
}
