package leadferry.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import leadferry.bench.FleetModel.Plan;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against decisions that are right for one proxy and harm the fleet: real load balancers,
 * modelled hosts, virtual time.
 */
class FleetTest {
  private static FleetModel fleetOfFifteen(double load, long seed) {
    return new FleetModel(Plan.of(15, 60, load, seed));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void hostsKeepFreeConnectionsWhenSixtyPercentAreReplaced(long seed) {
    FleetModel fleet = fleetOfFifteen(0.45, seed);
    fleet.advance(5_000);
    fleet.resetCounters();
    fleet.replaceSixtyPercent(7_000);
    fleet.advance(12_000);
    assertThat((double) fleet.connectionsRejected / fleet.requests).isLessThan(0.005);
    assertThat(fleet.meanConnections()).isLessThan(9);
    assertThat(fleet.servedShare()).isGreaterThan(0.9);
  }

  /**
   * The proxies know nothing of each other; together, they must stay below the overload limit of a
   * cold host in every window.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void coldHostsAreNotOverloadedByAllProxiesTogether(long seed) {
    FleetModel fleet = fleetOfFifteen(0.7, seed);
    fleet.advance(5_000);
    fleet.replaceSixtyPercent(7_000);
    fleet.advance(12_000);
    // Half of the limit is lent to the proxies. The used share differs from 0.5 because requests
    // are indivisible and the first request of each proxy arrives at random.
    assertThat(fleet.maxOverloadLimitShare()).isBetween(0.1, 0.6);
  }

  /**
   * Each of a hundred proxies sends to a tenth of the hosts, so only few proxies can send to a
   * given cold host. These few must send it as much as all proxies would together, because the warm
   * hosts alone cannot carry the load.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void coldHostsOfAFleetWithSmallPoolsGetTheAllowedLoad(long seed) {
    FleetModel fleet = new FleetModel(Plan.of(100, 200, 0.45, seed));
    fleet.advance(8_000);
    fleet.resetCounters();
    fleet.replaceSixtyPercent(7_000);
    fleet.advance(15_000);
    assertThat(fleet.servedShare()).isGreaterThan(0.88);
    assertThat(fleet.maxOverloadLimitShare()).isBetween(0.4, 0.7);
  }

  /**
   * A fifth of the hosts hang. Gossip spares the other proxies the requests that one proxy has
   * already lost there.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void fewProxiesLoseRequestsToHangingHosts(long seed) {
    FleetModel fleet = new FleetModel(Plan.of(100, 63, 0.45, seed));
    fleet.advance(8_000);
    List<FleetModel.Host> hanging =
        IntStream.range(0, 12).mapToObj(i -> fleet.hosts.get(5 * i)).toList();
    hanging.forEach(host -> host.hanging = true);
    fleet.advance(1_000);
    fleet.resetCounters();
    fleet.advance(5_000);
    // 5 to 6 attempts per second to each host if every proxy finds out on its own
    assertThat(fleet.attemptsToHangingHosts / 12.0 / 5).isLessThan(1.6);
    hanging.forEach(host -> host.hanging = false);
    fleet.advance(2_000);
    fleet.resetCounters();
    fleet.advance(2_000);
    double mean = (double) fleet.attemptsSent / fleet.hosts.size();
    assertThat(hanging.stream().mapToInt(host -> host.attemptsSent).average().orElse(0))
        .isGreaterThan(0.7 * mean);
    assertThat(fleet.gossipBytes / 256.0 / fleet.requests).isLessThan(0.5);
  }

  /**
   * A third of the hosts stop responding for six seconds, like a zone that is partitioned off, and
   * come back warm.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void silentHostsAreEjectedByNineTenthsWithinThreeObjectivesAndReadmitted(long seed) {
    FleetModel fleet = new FleetModel(Plan.of(100, 200, 0.3, seed));
    fleet.advance(6_000);
    List<FleetModel.Host> zone = fleet.hosts.subList(0, 66);
    zone.forEach(host -> host.hanging = true);
    fleet.advance(550 + 3 * 500); // clients wait for 550 ms; the latency objective is 500 ms
    assertThat(zone.stream().mapToDouble(fleet::ejectedShare).average().orElse(0))
        .isGreaterThan(0.9);
    assertThat(
            fleet.hosts.subList(66, 200).stream()
                .mapToDouble(fleet::ejectedShare)
                .average()
                .orElse(1))
        .isLessThan(0.02);
    fleet.advance(4_000);
    zone.forEach(host -> host.hanging = false);
    fleet.advance(1_500);
    assertThat(zone.stream().mapToDouble(fleet::ejectedShare).average().orElse(1))
        .isLessThan(0.4); // 0.6 of all proxies with a fixed ejection time
  }

  @Test
  void proxiesThatStartTogetherSpreadLoadEvenly() {
    FleetModel fleet = fleetOfFifteen(0.55, 4);
    fleet.advance(10_000);
    double mean = fleet.hosts.stream().mapToInt(host -> host.attemptsSent).average().orElseThrow();
    assertThat(fleet.hosts)
        .allSatisfy(host -> assertThat(host.attemptsSent / mean).isBetween(0.6, 1.6));
    assertThat(fleet.servedShare()).isGreaterThan(0.97);
  }

  /**
   * Half of the hosts reject one class. Each proxy finds out on its own and sends the other class
   * to these hosts instead.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void classRejectedByHalfTheHostsMovesToTheOthers(long seed) {
    FleetModel fleet = fleetOfFifteen(0.5, seed);
    fleet.advance(5_000);
    for (int i = 0; i < fleet.hosts.size(); i += 2) {
      fleet.hosts.get(i).rejectedClass = FleetModel.CLAIM;
    }
    fleet.advance(3_000);
    fleet.resetCounters();
    fleet.advance(7_000);
    assertThat(fleet.servedShare()).isGreaterThan(0.9);
    assertThat((double) fleet.rejectedByHosts / fleet.requests).isLessThan(0.25);
  }

  /**
   * A fifth of the responses of most hosts get lost. This is no overload, so proxies must not
   * reject requests that can be served.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void lostResponsesCauseNoRejections(long seed) {
    FleetModel fleet = fleetOfFifteen(0.45, seed);
    fleet.advance(5_000);
    for (int i = 0; i < fleet.hosts.size(); i++) {
      fleet.hosts.get(i).responseLossShare = i % 3 == 0 ? 0 : 0.2;
    }
    fleet.resetCounters();
    fleet.advance(10_000);
    assertThat(fleet.lostResponses).isGreaterThan(200);
    assertThat((double) fleet.rejectedByProxies / fleet.requests).isLessThan(0.01);
  }
}
