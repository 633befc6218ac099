package leadferry.loadbalancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import leadferry.loadbalancer.Settings.KeyScope;
import leadferry.loadbalancer.Settings.Semantics;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against violations of the safety rules in rare sequences of events. Random valid events
 * are run against a load balancer and checked by code that is independent of it.
 */
class LoadBalancerRulesTest {
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 7, 24})
  void randomLegalEventsBreakNoRule(int endpoints) {
    Set<String> violations = new HashSet<>();
    int finishedRequests = 0;
    for (long seed = 0; seed < 12; seed++) {
      LoadBalancerSimulation simulation = new LoadBalancerSimulation(seed * 31 + endpoints);
      if (endpoints == 0) {
        simulation.run(1, 0.5); // a single endpoint, which the first change may remove
      } else {
        simulation.run(endpoints, 4_000);
      }
      violations.addAll(simulation.violations);
      finishedRequests += simulation.finishedRequests;
      checkWarmingUpShare(simulation, endpoints, violations);
    }
    assertThat(violations).isEmpty();
    assertThat(finishedRequests).isGreaterThan(10);
  }

  /**
   * Tests unusual deployments: each setting is drawn independently, connections are established
   * late, and the permitted features vary.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 3, 9, 24})
  void randomSettingsBreakNoRule(int endpoints) {
    int finishedRequests = 0;
    for (long seed = 0; seed < 40; seed++) {
      Random random = new Random(1_000 * endpoints + seed);
      LoadBalancerSimulation simulation =
          new LoadBalancerSimulation(
              seed * 31 + endpoints, randomSettings(random), random.nextInt(1_500));
      simulation.run(endpoints, 3_000);
      assertThat(simulation.violations)
          .as("seed %d, settings %s", seed, simulation.settings)
          .isEmpty();
      finishedRequests += simulation.finishedRequests;
    }
    assertThat(finishedRequests).isGreaterThan(10_000);
  }

  private static Settings randomSettings(Random random) {
    List<Settings.RequestClass> classes = new ArrayList<>();
    int count = 1 + random.nextInt(20);
    for (int i = 0; i < count; i++) {
      double aimMillis = 20 + random.nextInt(2_000);
      double deadlineMillis = Math.min(8_000, aimMillis * (1 + 9 * random.nextDouble()));
      classes.add(
          new Settings.RequestClass(
              "c" + i,
              aimMillis,
              deadlineMillis,
              Semantics.values()[random.nextInt(3)],
              KeyScope.values()[random.nextInt(3)],
              5 + random.nextInt(3_000),
              random.nextInt(10),
              random.nextInt(2)));
    }
    return new Settings(
        classes,
        List.of(),
        new Settings.Limits(
            random.nextBoolean(),
            random.nextBoolean(),
            random.nextBoolean(),
            1 + random.nextInt(8),
            random.nextInt(2_000),
            1),
        new Settings.WarmUpRules(
            1 + random.nextInt(20_000),
            0.1 + 0.9 * random.nextDouble(),
            100 + random.nextInt(3_000),
            1 + random.nextInt(5),
            10_000),
        random.nextBoolean(),
        random.nextBoolean() ? "a" : "",
        0,
        1 + random.nextInt(100),
        random.nextDouble(),
        random.nextBoolean());
  }

  /**
   * Checks rule 4 at 125 requests per second over all endpoints: the proxy's share of the load of a
   * warming endpoint.
   */
  private static void checkWarmingUpShare(
      LoadBalancerSimulation simulation, int endpoints, Set<String> violations) {
    if (endpoints < 2) {
      return;
    }
    for (Map.Entry<Long, List<Double>> entry : simulation.sendsWhileWarmingUp.entrySet()) {
      double onlineSinceMillis = simulation.endpointList.get(entry.getKey()).onlineSinceMillis();
      List<Double> sends = entry.getValue();
      for (int i = 0; i < sends.size(); i++) {
        int sendsInWindow = 0;
        for (int k = i; k < sends.size() && sends.get(k) < sends.get(i) + 1_500; k++) {
          sendsInWindow++;
        }
        // A third of the endpoints can be ejected, so the mean share may grow by half. The
        // estimated arrival rate varies too. The sum stays well below the multiple of 3.
        double capacityShare =
            0.3 + 0.7 * Math.max(0, sends.get(i) + 1_500 - onlineSinceMillis) / 8_000;
        double loadShare = 125.0 / Math.max(1, endpoints / 2.0) * 1.5;
        if (sendsInWindow > 3 * Math.min(1, capacityShare) * loadShare + 3) {
          violations.add("rule 4: " + sendsInWindow + " sends to an endpoint warming up");
        }
      }
    }
  }
}
