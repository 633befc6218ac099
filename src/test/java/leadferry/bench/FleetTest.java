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
    m.run(5_000);
    m.count();
    m.replaceSixInTen(7_000);
    m.run(12_000);
    assertThat((double) m.tableFull / m.asked).isLessThan(0.005);
    assertThat(m.meanConnections()).isLessThan(9);
    assertThat(m.served()).isGreaterThan(0.9);
  }

  /**
   * They know nothing of each other, and together stay within what the rule allows in every window.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void noColdHostIsPushedOverByAllTogether(long seed) {
    FleetModel m = fifteen(0.7, seed);
    m.run(5_000);
    m.replaceSixInTen(7_000);
    m.run(12_000);
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
    m.run(8_000);
    m.count();
    m.replaceSixInTen(7_000);
    m.run(15_000);
    assertThat(m.served()).isGreaterThan(0.88);
    assertThat(m.coldBudgetUsed()).isBetween(0.4, 0.7);
  }

  /** A fifth of the hosts hang: what one proxy has lost there, the others need not lose. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void aHostThatHangsIsPaidForByFew(long seed) {
    FleetModel m = new FleetModel(Plan.of(100, 63, 0.45, seed));
    m.run(8_000);
    List<FleetModel.Host> hang = IntStream.range(0, 12).mapToObj(i -> m.hosts.get(5 * i)).toList();
    hang.forEach(h -> h.hangs = true);
    m.run(1_000);
    m.count();
    m.run(5_000);
    // 5 to 6 a second to each where every proxy finds out alone
    assertThat(m.hung / 12.0 / 5).isLessThan(1.6);
    hang.forEach(h -> h.hangs = false);
    m.run(2_000);
    m.count();
    m.run(2_000);
    double mean = (double) m.sends / m.hosts.size();
    assertThat(hang.stream().mapToInt(h -> h.sends).average().orElse(0)).isGreaterThan(0.7 * mean);
    assertThat(m.told / 256.0 / m.asked).isLessThan(0.5);
  }

  /**
   * A third of the hosts says nothing for six seconds, as a zone that is cut off, and comes back
   * warm.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void whatIsSilentIsLeftOutByNineTenthsWithinThreeAimsAndSoonBack(long seed) {
    FleetModel m = new FleetModel(Plan.of(100, 200, 0.3, seed));
    m.run(6_000);
    List<FleetModel.Host> zone = m.hosts.subList(0, 66);
    zone.forEach(h -> h.hangs = true);
    m.run(550 + 3 * 500); // clients wait for 550 ms; an aim is 500
    assertThat(zone.stream().mapToDouble(m::leftOutBy).average().orElse(0)).isGreaterThan(0.9);
    assertThat(m.hosts.subList(66, 200).stream().mapToDouble(m::leftOutBy).average().orElse(1))
        .isLessThan(0.02);
    m.run(4_000);
    zone.forEach(h -> h.hangs = false);
    m.run(1_500);
    assertThat(zone.stream().mapToDouble(m::leftOutBy).average().orElse(1))
        .isLessThan(0.4); // 0.6 of all with a fixed time
  }

  @Test
  void allThatStartInTheSameMomentSpreadEvenly() {
    FleetModel m = fifteen(0.55, 4);
    m.run(10_000);
    double mean = m.hosts.stream().mapToInt(h -> h.sends).average().orElseThrow();
    assertThat(m.hosts).allSatisfy(h -> assertThat(h.sends / mean).isBetween(0.6, 1.6));
    assertThat(m.served()).isGreaterThan(0.97);
  }

  /**
   * Half the hosts limit one class: each proxy finds out, and the other class goes there instead.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void aClassThatHalfTheHostsLimitGoesElsewhereAndTheOtherTakesItsPlace(long seed) {
    FleetModel m = fifteen(0.5, seed);
    m.run(5_000);
    for (int i = 0; i < m.hosts.size(); i += 2) {
      m.hosts.get(i).limits = FleetModel.CLAIM;
    }
    m.run(3_000);
    m.count();
    m.run(7_000);
    assertThat(m.served()).isGreaterThan(0.9);
    assertThat((double) m.turnedAway / m.asked).isLessThan(0.25);
  }

  /**
   * A fifth of the answers of most hosts gets lost: that is no jam, and what can be served is not
   * refused.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void lostAnswersMakeNobodyRefuse(long seed) {
    FleetModel m = fifteen(0.45, seed);
    m.run(5_000);
    for (int i = 0; i < m.hosts.size(); i++) {
      m.hosts.get(i).loses = i % 3 == 0 ? 0 : 0.2;
    }
    m.count();
    m.run(10_000);
    assertThat(m.lost).isGreaterThan(200);
    assertThat((double) m.refused / m.asked).isLessThan(0.01);
  }
}
