package leadferry.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards against a leader that expires a session while the member still relies on its lease. Runs
 * the member's {@link Lease} and the leader's {@link LeaseTimers} on simulated clocks.
 */
class LeaseTest {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final Map<String, Long> ONE_TIMER = Map.of("s", 1_000L);

  @Test
  void memberLeaseEndsFirstWithDelayedRenewalsAndClocksATenthApart() {
    Random random = new Random(5);
    for (int run = 0; run < 2_000; run++) {
      double speed = 0.91 + 0.18 * random.nextDouble(); // leader's clock relative to the member's
      new RenewalSimulation(random, speed).runUntilLeaderExpiresSession("run " + run);
    }
  }

  /** A member and a leader whose renewals are delayed or lost in transit. */
  private static final class RenewalSimulation {
    private static final int STEP_MILLIS = 10;
    private static final int RENEWAL_MILLIS = 200;
    private static final int MAX_DELAY_MILLIS = 600;
    private static final int LOSS_ONE_IN = 8;
    private static final int MAX_RUN_MILLIS = 100_000;
    private static final double NONE_IN_FLIGHT = -1;

    private final Random random;
    private final double leaderClockSpeed;
    private final LeaseTimers leader = new LeaseTimers();
    private final Lease lease = new Lease(1_000);
    private double nowMillis;
    private double nextRenewalMillis;
    private double requestArrivalMillis = NONE_IN_FLIGHT;
    private double responseArrivalMillis = NONE_IN_FLIGHT;
    private long requestedAtNanos;

    RenewalSimulation(Random random, double speed) {
      this.random = random;
      this.leaderClockSpeed = speed;
      leader.reset(0);
      leader.pollExpired(ONE_TIMER, 0);
    }

    void runUntilLeaderExpiresSession(String description) {
      boolean expired = false;
      while (!expired && nowMillis <= MAX_RUN_MILLIS) {
        nowMillis += STEP_MILLIS;
        sendRenewalIfDue();
        deliverRequestIfArrived();
        deliverResponseIfArrived();
        expired = !leader.pollExpired(ONE_TIMER, leaderNanos()).isEmpty();
        if (expired) {
          assertThat(lease.isHeld(memberNanos())).as(description).isFalse();
        }
      }
    }

    private void sendRenewalIfDue() {
      if (nowMillis >= nextRenewalMillis && requestArrivalMillis < 0 && responseArrivalMillis < 0) {
        requestedAtNanos = memberNanos();
        boolean lost = random.nextInt(LOSS_ONE_IN) == 0;
        requestArrivalMillis =
            lost ? Double.MAX_VALUE : nowMillis + random.nextInt(MAX_DELAY_MILLIS);
        responseArrivalMillis = requestArrivalMillis + random.nextInt(MAX_DELAY_MILLIS);
      }
    }

    private void deliverRequestIfArrived() {
      if (requestArrivalMillis >= 0 && nowMillis >= requestArrivalMillis) {
        if (!leader.renew("s", leaderNanos())) {
          responseArrivalMillis = Double.MAX_VALUE;
        }
        requestArrivalMillis = NONE_IN_FLIGHT;
      }
    }

    private void deliverResponseIfArrived() {
      if (requestArrivalMillis < 0
          && responseArrivalMillis >= 0
          && nowMillis >= responseArrivalMillis) {
        lease.onConfirmed(requestedAtNanos);
        responseArrivalMillis = NONE_IN_FLIGHT;
        nextRenewalMillis = nowMillis + RENEWAL_MILLIS;
      }
    }

    private long memberNanos() {
      return (long) (nowMillis * NANOS_PER_MILLI);
    }

    private long leaderNanos() {
      return (long) (nowMillis * leaderClockSpeed * NANOS_PER_MILLI);
    }
  }

  @Test
  void leaderResumedAfterAStopExpiresNoSession() {
    LeaseTimers timers = new LeaseTimers();
    timers.reset(0);
    timers.pollExpired(ONE_TIMER, 0);
    for (long millis = 50; millis <= 900; millis += 50) {
      assertThat(timers.pollExpired(ONE_TIMER, millis * NANOS_PER_MILLI)).isEmpty();
    }
    assertThat(timers.pollExpired(ONE_TIMER, 5_000 * NANOS_PER_MILLI)).isEmpty();
    for (long millis = 5_050; millis < 6_000; millis += 50) {
      assertThat(timers.pollExpired(ONE_TIMER, millis * NANOS_PER_MILLI)).isEmpty();
    }
    assertThat(timers.pollExpired(ONE_TIMER, 6_000 * NANOS_PER_MILLI)).containsExactly("s");
  }

  @Test
  void newLeaderWaitsForAWholeLease() {
    LeaseTimers timers = new LeaseTimers();
    timers.reset(0);
    timers.pollExpired(ONE_TIMER, 0);
    timers.pollExpired(ONE_TIMER, 300 * NANOS_PER_MILLI);
    timers.pollExpired(ONE_TIMER, 600 * NANOS_PER_MILLI);
    timers.reset(900 * NANOS_PER_MILLI);
    assertThat(timers.pollExpired(ONE_TIMER, 1_000 * NANOS_PER_MILLI)).isEmpty();
    assertThat(timers.pollExpired(ONE_TIMER, 1_300 * NANOS_PER_MILLI)).isEmpty();
    assertThat(timers.pollExpired(ONE_TIMER, 1_650 * NANOS_PER_MILLI)).isEmpty();
    assertThat(timers.pollExpired(ONE_TIMER, 2_000 * NANOS_PER_MILLI)).containsExactly("s");
  }

  @Test
  void timerSubmittedToTheLogIsNotRenewed() {
    LeaseTimers timers = new LeaseTimers();
    timers.reset(0);
    for (long millis = 0; millis < 1_000; millis += 100) {
      timers.pollExpired(ONE_TIMER, millis * NANOS_PER_MILLI);
    }
    assertThat(timers.pollExpired(ONE_TIMER, 1_000 * NANOS_PER_MILLI)).containsExactly("s");
    assertThat(timers.renew("s", 1_001 * NANOS_PER_MILLI)).isFalse();
    timers.allowResubmission("s");
    assertThat(timers.renew("s", 1_002 * NANOS_PER_MILLI)).isTrue();
  }

  @Test
  void memberResumedAfterAStopFindsItsLeaseEnded() {
    Lease lease = new Lease(1_000);
    assertThat(lease.isHeld(0)).isFalse();
    lease.onConfirmed(100 * NANOS_PER_MILLI);
    assertThat(lease.isHeld(999 * NANOS_PER_MILLI)).isTrue();
    assertThat(lease.isHeld(1_000 * NANOS_PER_MILLI)).isFalse();
    lease.onConfirmed(50 * NANOS_PER_MILLI);
    assertThat(lease.isHeld(960 * NANOS_PER_MILLI))
        .as("an older confirmation does not shorten the lease")
        .isTrue();
  }
}
