package leadferry.proxy;

import static leadferry.proxy.QueueingDiscovery.list;
import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.locks.LockSupport;
import leadferry.loadbalancer.DiscoveryTiming;
import leadferry.proxy.QueueingDiscovery.Mode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests the time from a change, at the moment at which discovery has it and can be reached, to its
 * effect. Discovery answers in 3 s wherever it is slow: half of the deadline. The cases of one test
 * run side by side, each with a discovery of its own.
 */
class DiscoveryDeadlineTest {
  private static final double DEADLINE_MILLIS = DiscoveryTiming.NOTIFICATION_DEADLINE_MILLIS;
  private static final long SLOW_ANSWER_MILLIS = 3_000;

  /** Lateness of timers and threads, by which measured intervals may be wrong. */
  private static final double TIMER_TOLERANCE_MILLIS = 250;

  /** Time after a reload at which what the new discovery has counts as notified. */
  private static final double RELOAD_DEADLINE_MILLIS = 4_000;

  @TempDir Path folder;

  /** One discovery and its watches. */
  private static final class Scenario implements AutoCloseable {
    final ProxyFixture fixture;
    final QueueingDiscovery discovery = new QueueingDiscovery(list(41, "old"));
    private DiscoveryWatchFleet fleet;

    Scenario(Path folder, boolean polled) throws Exception {
      fixture = new ProxyFixture(folder, 128);
      fixture.pollsDiscovery = polled;
      fixture.askWithinMillis = 10_000;
    }

    /** Starts watches that have the list of the version 41. */
    void startWatches(int count) throws Exception {
      start(count, list(40, "known"));
      ProxyFixture.await(() -> fleet.countSendable("old") == count);
    }

    void start(int count, String known) throws Exception {
      Path config = fixture.writeConfig(discovery.address(), known);
      fleet = new DiscoveryWatchFleet(count, 2, config, ProxyFixture.discardingLog());
    }

    /** Resets all connections; the calls that follow are handled in this mode. */
    void beginOutage(Mode mode) {
      discovery.setMode(mode);
      discovery.resetConnections();
    }

    /** Makes a change at discovery; returns the time (ns). */
    long change() {
      discovery.setChange(list(42, "new"));
      return System.nanoTime();
    }

    /** Asserts that all watches have the change within this time after {@code changeNanos}. */
    void assertInEffectWithin(double millis, long changeNanos, int count) throws Exception {
      ProxyFixture.await(() -> fleet.countSendable("new") == count);
      assertThat(millisSince(changeNanos)).isLessThan(millis);
    }

    void assertInEffectInTime(long changeNanos, int count) throws Exception {
      assertInEffectWithin(DEADLINE_MILLIS, changeNanos, count);
    }

    @Override
    public void close() {
      if (fleet != null) {
        fleet.close();
      }
      discovery.close();
      try {
        fixture.close();
      } catch (java.io.IOException e) {
        throw new java.io.UncheckedIOException(e);
      }
    }
  }

  private interface Script<T> {
    void run(Scenario scenario, T parameter) throws Exception;
  }

  /** Runs the script once for each parameter, side by side, with the polled mode. */
  private <T> void runPolled(List<T> parameters, Script<T> script) throws Exception {
    run(List.of(true), parameters, script);
  }

  /** Runs the script with lists that are polled and with lists that are pushed, side by side. */
  private <T> void runBoth(List<T> parameters, Script<T> script) throws Exception {
    run(List.of(true, false), parameters, script);
  }

  private <T> void run(List<Boolean> polledModes, List<T> parameters, Script<T> script)
      throws Exception {
    ExecutorService threads = Executors.newCachedThreadPool();
    List<Future<?>> cases = new ArrayList<>();
    for (boolean polled : polledModes) {
      for (T parameter : parameters) {
        Path own = Files.createDirectory(folder.resolve("case" + cases.size()));
        cases.add(
            threads.submit(
                () -> {
                  try (Scenario scenario = new Scenario(own, polled)) {
                    script.run(scenario, parameter);
                  } catch (Throwable e) {
                    throw new AssertionError("polled " + polled + ", " + parameter, e);
                  }
                  return null;
                }));
      }
    }
    threads.shutdown();
    for (Future<?> each : cases) {
      each.get();
    }
  }

  private static double millisSince(long startNanos) {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  private static void sleepMillis(long millis) {
    long untilNanos = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < untilNanos) {
      LockSupport.parkNanos(untilNanos - System.nanoTime());
    }
  }

  /** Guards against a call that is given up before discovery has worked its way to it. */
  @Test
  void answerOfACrowdedDiscoveryIsAwaited() throws Exception {
    runBoth(
        List.of(3_000L, 3_500L, 4_500L),
        (scenario, answerMillis) -> {
          scenario.startWatches(1);
          scenario.discovery.setAnswerDelayMillis(answerMillis);
          long changeNanos = scenario.change();
          scenario.discovery.resetConnections();
          scenario.assertInEffectInTime(changeNanos, 1);
        });
  }

  /** Guards against a change that is never learnt because every answer takes too long. */
  @Test
  void answerThatTakesLongerThanTheDeadlineIsStillAwaited() throws Exception {
    runBoth(
        List.of(10_000L),
        (scenario, answerMillis) -> {
          scenario.startWatches(1);
          scenario.discovery.setAnswerDelayMillis(answerMillis);
          long changeNanos = scenario.change();
          scenario.discovery.resetConnections();
          scenario.assertInEffectWithin(12_000, changeNanos, 1);
        });
  }

  /** Guards against a call that is never answered and holds up the next one. */
  @Test
  void callThatIsNeverAnsweredHoldsUpNoOther() throws Exception {
    runBoth(
        List.of(Mode.HOLD, Mode.STALL),
        (scenario, mode) -> {
          scenario.startWatches(1);
          scenario.beginOutage(mode);
          ProxyFixture.await(() -> scenario.discovery.callNanos.size() == 2);
          scenario.discovery.setAnswerDelayMillis(SLOW_ANSWER_MILLIS);
          scenario.discovery.setMode(Mode.ANSWER);
          scenario.assertInEffectInTime(scenario.change(), 1);
        });
  }

  /**
   * Guards against waits that have grown in an outage, each of which is too long before a slow
   * answer.
   */
  @Test
  void changeIsInEffectInTimeAfterAnOutage() throws Exception {
    runPolled(
        List.of(Mode.REJECT, Mode.RESET, Mode.HOLD, Mode.STALL),
        (scenario, mode) -> {
          scenario.startWatches(4);
          scenario.beginOutage(mode);
          sleepMillis(8_000);
          scenario.discovery.setAnswerDelayMillis(SLOW_ANSWER_MILLIS);
          scenario.discovery.setMode(Mode.ANSWER);
          scenario.assertInEffectInTime(scenario.change(), 4);
        });
  }

  /** Guards against a second outage that finds the waits of the first one, or its open calls. */
  @Test
  void changeIsInEffectInTimeAfterRepeatedOutages() throws Exception {
    runPolled(
        List.of(Mode.STALL, Mode.RESET),
        (scenario, last) -> {
          scenario.startWatches(4);
          for (Mode mode : List.of(Mode.HOLD, Mode.REJECT, last)) {
            scenario.beginOutage(mode);
            sleepMillis(2_700);
            scenario.discovery.setMode(Mode.ANSWER);
            sleepMillis(300);
          }
          scenario.discovery.setAnswerDelayMillis(SLOW_ANSWER_MILLIS);
          scenario.assertInEffectInTime(scenario.change(), 4);
        });
  }

  /** Guards against a silent watch that is noticed too late for a slow answer. */
  @Test
  void changeMissedOnASilentWatchIsInEffectInTime() throws Exception {
    runBoth(
        List.of(SLOW_ANSWER_MILLIS),
        (scenario, answerMillis) -> {
          scenario.startWatches(1);
          scenario.discovery.setAnswerDelayMillis(answerMillis);
          scenario.discovery.silenceWatches();
          scenario.assertInEffectInTime(scenario.change(), 1);
        });
  }

  /** Guards against a silent watch whose replacement is never answered. */
  @Test
  void changeMissedOnTwoSilentWatchesIsInEffectInTime() throws Exception {
    runBoth(
        List.of(Mode.HOLD),
        (scenario, mode) -> {
          scenario.startWatches(1);
          scenario.discovery.setMode(mode);
          scenario.discovery.silenceWatches();
          long changeNanos = scenario.change();
          ProxyFixture.await(() -> scenario.discovery.callNanos.size() == 2);
          scenario.discovery.setMode(Mode.ANSWER);
          scenario.assertInEffectInTime(changeNanos, 1);
        });
  }

  /** Guards against a first call of a process that holds up all others. */
  @Test
  void firstCallOfAProcessHoldsUpNoOther() throws Exception {
    runBoth(
        List.of(Mode.HOLD),
        (scenario, mode) -> {
          scenario.discovery.setMode(mode);
          scenario.start(1, "{}");
          ProxyFixture.await(() -> scenario.discovery.callNanos.size() == 1);
          scenario.discovery.setAnswerDelayMillis(SLOW_ANSWER_MILLIS);
          scenario.discovery.setMode(Mode.ANSWER);
          scenario.assertInEffectInTime(scenario.change(), 1);
        });
  }

  /** Guards against a reload that waits for the end of a call or of a wait at the old address. */
  @Test
  void reloadDuringAnOutageMovesTheWatchAtOnce() throws Exception {
    runPolled(
        List.of(Mode.REJECT, Mode.HOLD),
        (scenario, mode) -> {
          ProxyFixture fixture = scenario.fixture;
          fixture.startProxy(
              fixture.writeConfig(scenario.discovery.address(), list(40, "known")),
              ProxyFixture.discardingLog());
          ProxyFixture.await(() -> fixture.callOnLoop(() -> fixture.proxy.canSendTo("old")));
          scenario.beginOutage(mode);
          sleepMillis(4_000);
          try (QueueingDiscovery other = new QueueingDiscovery(list(7, "new"))) {
            other.setAnswerDelayMillis(SLOW_ANSWER_MILLIS);
            fixture.writeConfig(other.address(), list(40, "known"));
            long reloadNanos = System.nanoTime();
            fixture.reload();
            ProxyFixture.await(() -> fixture.callOnLoop(() -> fixture.proxy.canSendTo("new")));
            assertThat(millisSince(reloadNanos)).isLessThan(RELOAD_DEADLINE_MILLIS);
          }
        });
  }

  /**
   * Guards against the intervals of pushed lists at a discovery that bears all proxies, and against
   * those of polled lists at an agent: a reload may change the mode.
   */
  @Test
  void reloadChangesTheModeOfTheCalls() throws Exception {
    runBoth(
        List.of(Mode.REJECT),
        (scenario, mode) -> {
          ProxyFixture fixture = scenario.fixture;
          boolean polledAfter = !fixture.pollsDiscovery;
          scenario.discovery.setMode(mode);
          fixture.startProxy(
              fixture.writeConfig(scenario.discovery.address(), list(40, "known")),
              ProxyFixture.discardingLog());
          fixture.pollsDiscovery = polledAfter;
          fixture.writeConfig(scenario.discovery.address(), list(40, "known"));
          fixture.reload();
          sleepMillis(8_000);
          int before = scenario.discovery.callNanos.size();
          sleepMillis(6_000);
          int calls = scenario.discovery.callNanos.size() - before;
          if (polledAfter) {
            assertThat(calls).isBetween(2, 3);
          } else {
            assertThat(calls).isGreaterThan(12); // 2 a second: each grace of 500 ms
          }
        });
  }

  /**
   * Guards against two timers that each begin calls: once the backoff has grown, there is one call
   * per interval, whatever becomes of it.
   */
  @Test
  void callsOfOneWatchKeepTheirInterval() throws Exception {
    runPolled(
        List.of(Mode.REJECT, Mode.RESET, Mode.HOLD, Mode.STALL),
        (scenario, mode) -> {
          scenario.startWatches(1);
          scenario.beginOutage(mode);
          sleepMillis(16_000);
          List<Long> calls = List.copyOf(scenario.discovery.callNanos);
          assertThat(calls).hasSizeGreaterThan(6);
          for (int i = 5; i < calls.size(); i++) {
            double intervalMillis = (calls.get(i) - calls.get(i - 1)) / 1e6;
            assertThat(intervalMillis)
                .isBetween(
                    DiscoveryTiming.MIN_CALL_INTERVAL_MILLIS - TIMER_TOLERANCE_MILLIS,
                    DiscoveryTiming.MAX_CALL_INTERVAL_MILLIS + TIMER_TOLERANCE_MILLIS);
          }
        });
  }

  /**
   * Guards against proxies that overload discovery, which bears the calls of all of them: each has
   * one call per minimum interval at most once its backoff has grown, a bounded number of them
   * open, and at the return one call suffices.
   */
  @Test
  void callsOfManyWatchesAreBoundedInAnOutage() throws Exception {
    int count = 40;
    runPolled(
        List.of(Mode.REJECT, Mode.RESET, Mode.HOLD),
        (scenario, mode) -> {
          QueueingDiscovery discovery = scenario.discovery;
          scenario.startWatches(count);
          scenario.beginOutage(mode);
          sleepMillis(6_000);
          long fromNanos = System.nanoTime();
          int before = discovery.callNanos.size();
          sleepMillis(6_000);
          int calls = discovery.callNanos.size() - before;
          double intervals = millisSince(fromNanos) / DiscoveryTiming.MIN_CALL_INTERVAL_MILLIS;
          assertThat(calls).isLessThanOrEqualTo((int) (count * intervals));
          assertThat(discovery.openConnections())
              .isLessThanOrEqualTo(count * UnansweredCalls.MAX_OPEN);

          discovery.setWorkMillis(50); // 40 calls take 2 s
          int beforeReturn = discovery.callNanos.size();
          discovery.setMode(Mode.ANSWER);
          scenario.assertInEffectInTime(scenario.change(), count);
          assertThat(discovery.callNanos.size() - beforeReturn).isLessThanOrEqualTo(2 * count);
        });
  }
}
