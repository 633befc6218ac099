package leadferry.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ServerStartClockTest {
  private static final double HOUR_MS = 3_600_000;
  private static final double UNIX_AT_ZERO = 1_700_000_000_000.0;
  private static final double NOTICE_MS = 2_000;

  private double now = 1_000_000;
  private double step;
  private ServerStartClock clock;

  @BeforeEach
  void open() {
    clock = clock();
  }

  private ServerStartClock clock() {
    ServerStartClock fresh = new ServerStartClock(() -> UNIX_AT_ZERO + now + step, now);
    fresh.onUpToDate(now);
    return fresh;
  }

  /**
   * Starts a server at the current time on discovery's clock, which is correct, notifies it {@code
   * NOTICE_MS} later, and returns the age (ms) that the server has then.
   */
  private double ageOfServerStartedNow() {
    double startedUnixMs = UNIX_AT_ZERO + now;
    now += NOTICE_MS;
    double age = now - clock.startedAt(startedUnixMs, now);
    clock.onUpToDate(now);
    return age;
  }

  @Test
  void correctClockGivesTheTrueAge() {
    assertThat(ageOfServerStartedNow()).isEqualTo(NOTICE_MS, within(0.01));
  }

  @Test
  void aServerThatStartedLongBeforeTheFirstListIsOld() {
    assertThat(
            now
                - new ServerStartClock(() -> UNIX_AT_ZERO + now, now)
                    .startedAt(UNIX_AT_ZERO + now - 600_000, now))
        .isEqualTo(600_000, within(0.01));
  }

  @Test
  void aStepForwardMakesNoNewServerOlder() {
    for (double size : new double[] {500, 5_000, 60_000, HOUR_MS}) {
      step = 0;
      clock = clock();
      step = size;
      assertThat(ageOfServerStartedNow())
          .as("step of %s ms", size)
          .isEqualTo(NOTICE_MS, within(0.01));
    }
  }

  @Test
  void aStepBackMakesServersYoungerByNoMoreThanTheNotice() {
    for (double size : new double[] {500, 5_000, 60_000, HOUR_MS}) {
      step = 0;
      clock = clock();
      step = -size;
      assertThat(ageOfServerStartedNow()).as("step of -%s ms", size).isBetween(0.0, NOTICE_MS);
    }
  }

  @Test
  void clockStartsAnHourAheadNewServerIsNotTakenForWarm() {
    step = HOUR_MS;
    clock = clock();
    assertThat(ageOfServerStartedNow()).isBetween(0.0, NOTICE_MS);
    step = 0;
    assertThat(ageOfServerStartedNow()).isEqualTo(NOTICE_MS, within(0.01));
  }

  @Test
  void clockStartsAnHourBehindServerGetsTheGreatestPossibleAge() {
    step = -HOUR_MS;
    clock = clock();
    assertThat(ageOfServerStartedNow()).isBetween(0.0, NOTICE_MS);
    step = 0;
    assertThat(ageOfServerStartedNow()).isBetween(0.0, NOTICE_MS);
  }

  @Test
  void discoveryClockSteppedEarlierNoticesBoundNothing() {
    ageOfServerStartedNow();
    double ahead = UNIX_AT_ZERO + now + HOUR_MS;
    assertThat(now - clock.startedAt(ahead, now)).isEqualTo(0, within(0.01));
    now += 10_000;
    assertThat(ageOfServerStartedNow()).isBetween(0.0, NOTICE_MS);
  }
}
