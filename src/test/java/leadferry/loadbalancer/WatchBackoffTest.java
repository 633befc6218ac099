package leadferry.loadbalancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the waits between calls to a discovery that fails. */
class WatchBackoffTest {
  private static final int PROXIES = 300;
  private static final double OUTAGE_MILLIS = 60_000;

  private static WatchBackoff backoff(double askWithinMillis, long seed) {
    Settings settings =
        new Settings(
            List.of(),
            List.of(),
            new Settings.Limits(true, true, true, 4, 1_000, 1),
            new Settings.WarmUpRules(8_000, 0.3, 1_500, 3, askWithinMillis),
            true,
            "a",
            0,
            1,
            0.1,
            false);
    return new WatchBackoff(new LoadBalancerContext(settings, seed, new LoadBalancerFixture()));
  }

  private static List<Double> waits(WatchBackoff backoff, int count) {
    List<Double> waits = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      waits.add(backoff.startWaitMillis());
      backoff.onTimer();
    }
    return waits;
  }

  /** Guards against a wait that leaves too little of the notification deadline for the answer. */
  @ParameterizedTest
  @ValueSource(doubles = {0, 10_000, 60_000})
  void waitsGrowToTheCallIntervalAndNoFurther(double askWithinMillis) {
    for (int seed = 0; seed < PROXIES; seed++) {
      List<Double> waits = waits(backoff(askWithinMillis, seed), 20);
      assertThat(waits.get(0)).isBetween(250.0, 750.0);
      assertThat(waits).allMatch(wait -> wait <= DiscoveryTiming.MAX_CALL_INTERVAL_MILLIS);
      assertThat(waits.subList(3, 20))
          .allMatch(wait -> wait >= DiscoveryTiming.MIN_CALL_INTERVAL_MILLIS);
    }
  }

  /** Guards against waits beyond the limit of the settings. */
  @Test
  void waitsKeepTheLimitOfTheSettings() {
    List<Double> waits = waits(backoff(1_200, 7), 20);
    assertThat(waits).allMatch(wait -> wait <= 600);
    assertThat(waits.subList(3, 20)).allMatch(wait -> wait >= 300);
  }

  /** Guards against an interval that stays long after discovery has sent a list. */
  @Test
  void resetStartsWithTheShortestWait() {
    WatchBackoff backoff = backoff(10_000, 7);
    waits(backoff, 10);
    backoff.reset();
    assertThat(backoff.startWaitMillis()).isLessThanOrEqualTo(750.0);
  }

  /**
   * Guards against calls of many proxies that overload discovery in an outage that began for all of
   * them at once: their number, and calls that stay in step.
   */
  @Test
  void callsOfManyProxiesInAnOutageAreFewAndSpread() {
    int tenths = (int) (OUTAGE_MILLIS / 100);
    int[] callsPerTenth = new int[tenths];
    int total = 0;
    for (int seed = 0; seed < PROXIES; seed++) {
      WatchBackoff backoff = backoff(10_000, seed);
      double atMillis = 0;
      while (atMillis < OUTAGE_MILLIS) {
        callsPerTenth[(int) (atMillis / 100)]++;
        total++;
        atMillis += backoff.startWaitMillis();
        backoff.onTimer();
      }
    }
    double perSecond = total * 1_000 / OUTAGE_MILLIS;
    assertThat(perSecond).isLessThan(PROXIES * 1_000 / DiscoveryTiming.MIN_CALL_INTERVAL_MILLIS);
    for (int tenth = tenths / 3; tenth < tenths; tenth++) {
      assertThat(callsPerTenth[tenth]).isLessThan((int) (3 * perSecond / 10));
    }
  }
}
