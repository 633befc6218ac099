package leadferry.loadbalancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.List;
import leadferry.loadbalancer.Settings.KeyScope;
import leadferry.loadbalancer.Settings.Semantics;
import org.junit.jupiter.api.Test;

/**
 * Tests which requests are admitted and which are shed, depending on load, load reports and
 * tenants.
 */
class LoadBalancerAdmissionTest {
  private final LoadBalancerFixture fixture = new LoadBalancerFixture();

  @Test
  void requestWithoutEndpointsIsRejectedAtOnce() {
    LoadBalancer balancer = fixture.createIdempotent(0);
    fixture.arrive(balancer, 1, LoadBalancerFixture.IDEMPOTENT, 800);
    assertThat(fixture.rejected).containsExactly(1L);
  }

  @Test
  void overloadShedsRequestsUntilItEnds() {
    LoadBalancer balancer = fixture.createIdempotent(4);
    for (int i = 0; i < 60; i++) {
      fixture.arrive(balancer, i, LoadBalancerFixture.IDEMPOTENT, 800);
    }
    fixture.nowMillis += 790;
    for (int i = 0; i < 60; i++) {
      balancer.onOutcome(fixture.nowMillis, i, 0, AttemptOutcome.OK, 790, true, null);
    }
    int sent = fixture.sends.size();
    for (int i = 1_000; i < 1_050; i++) {
      fixture.arrive(balancer, i, LoadBalancerFixture.IDEMPOTENT, 800);
    }
    assertThat(fixture.rejected).hasSizeGreaterThan(20);
    assertThat(fixture.sends).hasSizeGreaterThan(sent);
    fixture.nowMillis += 60_000;
    int rejected = fixture.rejected.size();
    for (int i = 2_000; i < 2_050; i++) {
      fixture.serve(balancer, i, 10);
    }
    assertThat(fixture.rejected).hasSize(rejected);
  }

  /** Guards against a proxy with little traffic that forgets an overload between two timeouts. */
  @Test
  void overloadIsRememberedBetweenTimeouts() {
    LoadBalancer balancer = fixture.createIdempotent(4);
    for (int i = 0; i < 60; i++) {
      fixture.arrive(balancer, i, LoadBalancerFixture.IDEMPOTENT, 800);
    }
    fixture.nowMillis += 790;
    for (int i = 0; i < 60; i++) {
      balancer.onOutcome(fixture.nowMillis, i, 0, AttemptOutcome.OK, 790, true, null);
    }
    fixture.nowMillis += 3_000;
    for (int i = 1_000; i < 1_100; i++) {
      fixture.arrive(balancer, i, LoadBalancerFixture.IDEMPOTENT, 800);
    }
    assertThat(fixture.rejected).hasSizeGreaterThan(60);
  }

  /** Guards against a few heavy requests that make every queue look too long to join. */
  @Test
  void heavyRequestsDoNotInflateQueueDelay() {
    LoadBalancer balancer = fixture.createIdempotent(3);
    for (int i = 0; i < 120; i++) {
      fixture.arrive(balancer, i, LoadBalancerFixture.IDEMPOTENT, 800);
      LoadBalancerFixture.Send send = fixture.last();
      double spentMillis = i % 10 == 9 ? 780 : 60;
      fixture.nowMillis += spentMillis;
      balancer.onOutcome(
          fixture.nowMillis,
          i,
          send.number(),
          AttemptOutcome.OK,
          spentMillis,
          true,
          LoadBalancerFixture.loadReport(10));
    }
    // A mean of 132 ms for 11 held requests would make a queue of 25 too long for the latency
    // objective; a median of 60 ms does not.
    int rejected = fixture.rejected.size();
    fixture.nowMillis += 15_000; // pressure decays
    for (long id = 0; id < 3; id++) {
      balancer.onLoadReport(fixture.nowMillis, id, LoadBalancerFixture.loadReport(25));
    }
    fixture.arrive(balancer, 900, LoadBalancerFixture.IDEMPOTENT, 800);
    assertThat(fixture.rejected).hasSize(rejected);
  }

  private void arrive(LoadBalancer balancer, long id, String tenant) {
    RequestPolicy policy = balancer.policyOf(LoadBalancerFixture.IDEMPOTENT, 800);
    balancer.onRequest(
        fixture.nowMillis, new RequestArrival(id, policy, tenant, 800, Double.NaN, false));
  }

  /** Guards against a burst of one tenant that displaces requests of tenants within their share. */
  @Test
  void tenantOverItsQuotaIsRejectedFirst() {
    LoadBalancer balancer =
        fixture.create(
            LoadBalancerFixture.settings(
                List.of(new Settings.Tenant("x", 10, 0.5), new Settings.Tenant("y", 10, 0.5)),
                LoadBalancerFixture.requestClass(
                    LoadBalancerFixture.IDEMPOTENT, Semantics.IDEMPOTENT, KeyScope.ALL)),
            LoadBalancerFixture.endpoints(4));
    for (int i = 0; i < 90; i++) {
      arrive(balancer, i, i % 9 == 0 ? "y" : "x");
    }
    fixture.nowMillis += 790;
    for (int i = 0; i < 90; i++) {
      balancer.onOutcome(fixture.nowMillis, i, 0, AttemptOutcome.OK, 300, true, null);
    }
    int[] rejected = new int[2];
    for (int i = 0; i < 180; i++) {
      int before = fixture.rejected.size();
      boolean isWithinQuota = i % 9 == 0;
      arrive(balancer, 1_000 + i, isWithinQuota ? "y" : "x");
      rejected[isWithinQuota ? 1 : 0] += fixture.rejected.size() - before;
    }
    // 160 requests of x, 20 of y
    assertThat(rejected[0] / 160.0).isGreaterThan(1.3 * rejected[1] / 20.0);
  }

  /**
   * Guards against requests shed because of one crowded endpoint among idle ones, and against an
   * old report that keeps an endpoint from getting requests.
   */
  @Test
  void crowdedEndpointIsAvoidedAndRetriedLater() {
    LoadBalancer balancer = fixture.createIdempotent(3);
    int id = 0;
    for (; id < 300; id++) {
      fixture.serveWithReport(balancer, id, fixture.nowMillis, 1);
    }
    // Endpoint 1 reports a queue far beyond the latency objective and gets nothing while others
    // have room.
    boolean hasReportedQueue = false;
    for (; id < 600; id++) {
      boolean isFirstReport = fixture.request(balancer, id) == 1 && !hasReportedQueue;
      hasReportedQueue |= isFirstReport;
      balancer.onOutcome(
          fixture.nowMillis,
          id,
          0,
          AttemptOutcome.OK,
          100,
          true,
          LoadBalancerFixture.loadReport(isFirstReport ? 60 : 1));
    }
    assertThat(hasReportedQueue).isTrue();
    assertThat(fixture.rejected).isEmpty();
    fixture.nowMillis += 20_000;
    int before = fixture.sends.size();
    for (; id < 660; id++) {
      fixture.serveWithReport(balancer, id, fixture.nowMillis, 1);
    }
    assertThat(fixture.rejected).isEmpty();
    assertThat(fixture.sends.subList(before, fixture.sends.size()))
        .anyMatch(send -> send.endpoint() == 1);
  }

  /** Guards against timeouts of one silent endpoint that look like an overload of all endpoints. */
  @Test
  void silentEndpointCausesNoSheddingWhileOthersHaveRoom() {
    LoadBalancer balancer = fixture.createIdempotent(6);
    for (int i = 0; i < 400; i++) {
      fixture.nowMillis += 5;
      if (fixture.request(balancer, i) == 2) {
        balancer.onOutcome(fixture.nowMillis, i, 0, AttemptOutcome.TIMEOUT, 800, true, null);
      } else {
        balancer.onOutcome(
            fixture.nowMillis,
            i,
            0,
            AttemptOutcome.OK,
            100,
            true,
            LoadBalancerFixture.loadReport(1));
      }
    }
    assertThat(fixture.rejected).isEmpty();
  }

  /**
   * Guards against lost responses that look like an overload. The endpoints report that they have
   * room, so no request may be rejected.
   */
  @Test
  void lostResponsesAreNotTakenForOverload() {
    LoadBalancer balancer = fixture.createIdempotent(4);
    double[] lostRequests = new double[4];
    for (int i = 0; i < 600; i++) {
      fixture.nowMillis += 10;
      int endpoint = (int) fixture.request(balancer, i);
      if (i % 3 == 0 && lostRequests[endpoint] == 0) {
        lostRequests[endpoint] = i + 1;
      } else {
        balancer.onOutcome(
            fixture.nowMillis,
            i,
            0,
            AttemptOutcome.OK,
            100,
            true,
            LoadBalancerFixture.loadReport(1));
        if (lostRequests[endpoint] > 0) {
          balancer.onOutcome(
              fixture.nowMillis,
              (long) lostRequests[endpoint] - 1,
              0,
              AttemptOutcome.TIMEOUT,
              800,
              true,
              null);
          lostRequests[endpoint] = 0;
        }
      }
    }
    assertThat(fixture.rejected).isEmpty();
  }

  /** Guards against a late load report that hides this proxy's own requests at the endpoint. */
  @Test
  void staleReportDoesNotHideOwnRequests() {
    LoadBalancer balancer = fixture.createIdempotent(1);
    for (int i = 0; i < 200; i++) {
      fixture.nowMillis += 1;
      fixture.arrive(balancer, i, LoadBalancerFixture.IDEMPOTENT, 800);
      if (fixture.last().request() == i) {
        balancer.onOutcome(
            fixture.nowMillis,
            i,
            0,
            AttemptOutcome.OK,
            160,
            true,
            LoadBalancerFixture.loadReport(7)); // 20 ms per held request
      }
    }
    ArrayDeque<Long> open = new ArrayDeque<>();
    int maxOpen = 0;
    for (long i = 200; i < 400; i++) {
      fixture.arrive(balancer, i, LoadBalancerFixture.IDEMPOTENT, 800);
      if (fixture.last().request() == i) {
        open.add(i);
      }
      maxOpen = Math.max(maxOpen, open.size());
      if (i % 2 == 1) {
        double spentMillis = 20 * open.size();
        balancer.onOutcome(
            fixture.nowMillis,
            open.remove(),
            0,
            AttemptOutcome.OK,
            spentMillis,
            true,
            LoadBalancerFixture.loadReport(0));
      }
    }
    assertThat(maxOpen).isBetween(2, 30);
  }

  @Test
  void slowReadersOfStreamedResponsesDoNotAffectOthers() {
    Settings.RequestClass stream =
        new Settings.RequestClass(
            "stream", 400, 4_000, Semantics.IDEMPOTENT, KeyScope.ALL, 300, 1, 0);
    LoadBalancer balancer =
        fixture.create(
            LoadBalancerFixture.settings(
                stream,
                LoadBalancerFixture.requestClass(
                    LoadBalancerFixture.IDEMPOTENT, Semantics.IDEMPOTENT, KeyScope.ALL)),
            LoadBalancerFixture.endpoints(1));
    for (int i = 0; i < 30; i++) {
      fixture.arrive(balancer, i, "stream", 4_000);
      fixture.nowMillis += 10;
      balancer.onFirstByte(fixture.nowMillis, i, 0, 10);
    }
    for (int i = 1_000; i < 1_400; i++) {
      fixture.serve(balancer, i, 10);
    }
    for (int i = 0; i < 30; i++) {
      balancer.onOutcome(fixture.nowMillis, i, 0, AttemptOutcome.CANCELLED, 4_000, true, null);
    }
    for (int i = 2_000; i < 2_400; i++) {
      fixture.serve(balancer, i, 10);
    }
    assertThat(fixture.rejected).isEmpty();
    assertThat(fixture.logs).isEmpty(); // no endpoint is ejected either
  }
}
