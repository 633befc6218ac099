package leadferry.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The two ends of a session's time, on clocks of the test's own. */
class LeaseTest {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final Map<String, Long> ONE_TIMER = Map.of("s", 1_000L);

  @Test
  void theMemberKnowsFirstWhateverTheDelaysAndWithClocksATenthApart() {
    Random random = new Random(5);
    for (int run = 0; run < 2_000; run++) {
      double speed = 0.91 + 0.18 * random.nextDouble(); // the leader's clock against the member's
      new Renewals(random, speed).untilTheLeaderEndsTheSession("run " + run);
    }
  }

  /** A member and a leader, and renewals that are delayed or lost on their way. */
  private static final class Renewals {
    private static final int STEP_MILLIS = 10;
    private static final int RENEWAL_MILLIS = 200;
    private static final int MAX_DELAY_MILLIS = 600;
    private static final int LOST_ONE_IN = 8;
    private static final int LONGEST_RUN_MILLIS = 100_000;
    private static final double NOT_UNDER_WAY = -1;

    private final Random random;
    private final double speed;
    private final LeaseTimers leader = new LeaseTimers();
    private final Lease lease = new Lease(1_000);
    private double now;
    private double nextRenewalAt;
    private double heardAt = NOT_UNDER_WAY;
    private double answeredAt = NOT_UNDER_WAY;
    private long askedAtNanos;

    Renewals(Random random, double speed) {
      this.random = random;
      this.speed = speed;
      leader.reset(0);
      leader.pollExpired(ONE_TIMER, 0);
    }

    void untilTheLeaderEndsTheSession(String description) {
      boolean over = false;
      while (!over && now <= LONGEST_RUN_MILLIS) {
        now += STEP_MILLIS;
        ask();
        reachLeader();
        reachMember();
        over = !leader.pollExpired(ONE_TIMER, leaderNanos()).isEmpty();
        if (over) {
          assertThat(lease.isHeld(memberNanos())).as(description).isFalse();
        }
      }
    }

    private void ask() {
      if (now >= nextRenewalAt && heardAt < 0 && answeredAt < 0) {
        askedAtNanos = memberNanos();
        boolean lost = random.nextInt(LOST_ONE_IN) == 0;
        heardAt = lost ? Double.MAX_VALUE : now + random.nextInt(MAX_DELAY_MILLIS);
        answeredAt = heardAt + random.nextInt(MAX_DELAY_MILLIS);
      }
    }

    private void reachLeader() {
      if (heardAt >= 0 && now >= heardAt) {
        if (!leader.renew("s", leaderNanos())) {
          answeredAt = Double.MAX_VALUE;
        }
        heardAt = NOT_UNDER_WAY;
      }
    }

    private void reachMember() {
      if (heardAt < 0 && answeredAt >= 0 && now >= answeredAt) {
        lease.onConfirmed(askedAtNanos);
        answeredAt = NOT_UNDER_WAY;
        nextRenewalAt = now + RENEWAL_MILLIS;
      }
    }

    private long memberNanos() {
      return (long) (now * NANOS_PER_MILLI);
    }

    private long leaderNanos() {
      return (long) (now * speed * NANOS_PER_MILLI);
    }
  }

  @Test
  void aLeaderThatStoodStillBelievesNobodyDead() {
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
  void aNewLeaderWaitsAWholeLease() {
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
  void whatWasToldToTheLogIsNotRenewed() {
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
  void aStoppedMemberFindsItsLeaseOver() {
    Lease lease = new Lease(1_000);
    assertThat(lease.isHeld(0)).isFalse();
    lease.onConfirmed(100 * NANOS_PER_MILLI);
    assertThat(lease.isHeld(999 * NANOS_PER_MILLI)).isTrue();
    assertThat(lease.isHeld(1_000 * NANOS_PER_MILLI)).isFalse();
    lease.onConfirmed(50 * NANOS_PER_MILLI);
    assertThat(lease.isHeld(960 * NANOS_PER_MILLI))
        .as("an older answer takes nothing back")
        .isTrue();
  }
}
