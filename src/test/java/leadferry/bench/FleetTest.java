package leadferry.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import leadferry.bench.FleetModel.Plan;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What many proxies do together, asserted on the fleet: real modules, modelled hosts, virtual time.
 */
class FleetTest {
  private static FleetModel fifteen(double load, long seed) {
    return new FleetModel(Plan.of(15, 60, load, seed));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void noHostRunsOutOfConnectionsWhenSixInTenAreReplaced(long seed) {
    FleetModel m = fifteen(0.45, seed);
    m.advance(5_000);
    m.resetCounters();
    m.replaceSixtyPercent(7_000);
    m.advance(12_000);
    assertThat((double) m.connectionsRejected / m.requests).isLessThan(0.005);
    assertThat(m.meanConnections()).isLessThan(9);
    assertThat(m.servedShare()).isGreaterThan(0.9);
  }

  /**
   * They know nothing of each other, and together stay within what the rule allows in every window.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void noColdHostIsPushedOverByAllTogether(long seed) {
    FleetModel m = fifteen(0.7, seed);
    m.advance(5_000);
    m.replaceSixtyPercent(7_000);
    m.advance(12_000);
    // Half of the rule's budget is lent; requests are whole, and each proxy's first comes at
    // chance.
    assertThat(m.coldBudgetUsed()).isBetween(0.1, 0.6);
  }

  /**
   * A hundred proxies draw from a tenth of the hosts each, so that few of them can send to a cold
   * one: these few owe it what all would give. The warm ones can't carry the fleet alone.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void coldHostsOfAFleetWithSmallPoolsGetWhatTheRuleAllows(long seed) {
    FleetModel m = new FleetModel(Plan.of(100, 200, 0.45, seed));
    m.advance(8_000);
    m.resetCounters();
    m.replaceSixtyPercent(7_000);
    m.advance(15_000);
    assertThat(m.servedShare()).isGreaterThan(0.88);
    assertThat(m.coldBudgetUsed()).isBetween(0.4, 0.7);
  }

  /** A fifth of the hosts hang: what one proxy has lost there, the others need not lose. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void aHostThatHangsIsPaidForByFew(long seed) {
    FleetModel m = new FleetModel(Plan.of(100, 63, 0.45, seed));
    m.advance(8_000);
    List<FleetModel.Host> hang = IntStream.range(0, 12).mapToObj(i -> m.hosts.get(5 * i)).toList();
    hang.forEach(h -> h.hanging = true);
    m.advance(1_000);
    m.resetCounters();
    m.advance(5_000);
    // 5 to 6 a second to each where every proxy finds out alone
    assertThat(m.attemptsToHangingHosts / 12.0 / 5).isLessThan(1.6);
    hang.forEach(h -> h.hanging = false);
    m.advance(2_000);
    m.resetCounters();
    m.advance(2_000);
    double mean = (double) m.attemptsSent / m.hosts.size();
    assertThat(hang.stream().mapToInt(h -> h.attemptsSent).average().orElse(0))
        .isGreaterThan(0.7 * mean);
    assertThat(m.gossipBytes / 256.0 / m.requests).isLessThan(0.5);
  }

  /**
   * A third of the hosts says nothing for six seconds, as a zone that is cut off, and comes back
   * warm.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void whatIsSilentIsLeftOutByNineTenthsWithinThreeAimsAndSoonBack(long seed) {
    FleetModel m = new FleetModel(Plan.of(100, 200, 0.3, seed));
    m.advance(6_000);
    List<FleetModel.Host> zone = m.hosts.subList(0, 66);
    zone.forEach(h -> h.hanging = true);
    m.advance(550 + 3 * 500); // clients wait for 550 ms; an aim is 500
    assertThat(zone.stream().mapToDouble(m::ejectedShare).average().orElse(0)).isGreaterThan(0.9);
    assertThat(m.hosts.subList(66, 200).stream().mapToDouble(m::ejectedShare).average().orElse(1))
        .isLessThan(0.02);
    m.advance(4_000);
    zone.forEach(h -> h.hanging = false);
    m.advance(1_500);
    assertThat(zone.stream().mapToDouble(m::ejectedShare).average().orElse(1))
        .isLessThan(0.4); // 0.6 of all with a fixed time
  }

  @Test
  void allThatStartInTheSameMomentSpreadEvenly() {
    FleetModel m = fifteen(0.55, 4);
    m.advance(10_000);
    double mean = m.hosts.stream().mapToInt(h -> h.attemptsSent).average().orElseThrow();
    assertThat(m.hosts).allSatisfy(h -> assertThat(h.attemptsSent / mean).isBetween(0.6, 1.6));
    assertThat(m.servedShare()).isGreaterThan(0.97);
  }

  /**
   * Half the hosts limit one class: each proxy finds out, and the other class goes there instead.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void aClassThatHalfTheHostsLimitGoesElsewhereAndTheOtherTakesItsPlace(long seed) {
    FleetModel m = fifteen(0.5, seed);
    m.advance(5_000);
    for (int i = 0; i < m.hosts.size(); i += 2) {
      m.hosts.get(i).rejectedClass = FleetModel.CLAIM;
    }
    m.advance(3_000);
    m.resetCounters();
    m.advance(7_000);
    assertThat(m.servedShare()).isGreaterThan(0.9);
    assertThat((double) m.rejectedByHosts / m.requests).isLessThan(0.25);
  }

  /**
   * A fifth of the answers of most hosts gets lost: that is no jam, and what can be served is not
   * refused.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void lostAnswersMakeNobodyRefuse(long seed) {
    FleetModel m = fifteen(0.45, seed);
    m.advance(5_000);
    for (int i = 0; i < m.hosts.size(); i++) {
      m.hosts.get(i).responseLossShare = i % 3 == 0 ? 0 : 0.2;
    }
    m.resetCounters();
    m.advance(10_000);
    assertThat(m.lostResponses).isGreaterThan(200);
    assertThat((double) m.rejectedByProxies / m.requests).isLessThan(0.01);
  }
}
