package leadferry.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The two ends of a session's time, on clocks of the test's own. */
class LeaseTest {
  private static final long MS = 1_000_000;
  private static final Map<String, Long> ONE = Map.of("s", 1_000L);

  @Test
  void theMemberKnowsFirstWhateverTheDelaysAndWithClocksATenthApart() {
    Random random = new Random(5);
    for (int run = 0; run < 2_000; run++) {
      double speed = 0.91 + 0.18 * random.nextDouble(); // the keeper's clock against the member's
      LeaseTimers keeper = new LeaseTimers();
      Lease lease = new Lease(1_000);
      keeper.begin(0);
      keeper.due(ONE, 0);
      double now = 0;
      boolean over = false;
      double nextAsk = 0;
      double heardAt = -1;
      double answeredAt = -1;
      long asked = 0;
      while (!over) {
        now += 10;
        if (now >= nextAsk && heardAt < 0 && answeredAt < 0) {
          asked = (long) (now * MS);
          heardAt = random.nextInt(8) == 0 ? Double.MAX_VALUE : now + random.nextInt(600);
          answeredAt = heardAt + random.nextInt(600);
        }
        if (heardAt >= 0 && now >= heardAt) {
          if (!keeper.renew("s", (long) (now * speed * MS))) {
            answeredAt = Double.MAX_VALUE;
          }
          heardAt = -1;
        }
        if (heardAt < 0 && answeredAt >= 0 && now >= answeredAt) {
          lease.confirmed(asked);
          answeredAt = -1;
          nextAsk = now + 200;
        }
        over = !keeper.due(ONE, (long) (now * speed * MS)).isEmpty();
        if (over) {
          assertThat(lease.holds((long) (now * MS))).as("run %d", run).isFalse();
        }
        if (now > 100_000) {
          break;
        }
      }
    }
  }

  @Test
  void aLeaderThatStoodStillBelievesNobodyDead() {
    LeaseTimers t = new LeaseTimers();
    t.begin(0);
    t.due(ONE, 0);
    for (long ms = 50; ms <= 900; ms += 50) {
      assertThat(t.due(ONE, ms * MS)).isEmpty();
    }
    assertThat(t.due(ONE, 5_000 * MS)).isEmpty();
    for (long ms = 5_050; ms < 6_000; ms += 50) {
      assertThat(t.due(ONE, ms * MS)).isEmpty();
    }
    assertThat(t.due(ONE, 6_000 * MS)).containsExactly("s");
  }

  @Test
  void aNewLeaderWaitsAWholeLease() {
    LeaseTimers t = new LeaseTimers();
    t.begin(0);
    t.due(ONE, 0);
    t.due(ONE, 300 * MS);
    t.due(ONE, 600 * MS);
    t.begin(900 * MS);
    assertThat(t.due(ONE, 1_000 * MS)).isEmpty();
    assertThat(t.due(ONE, 1_300 * MS)).isEmpty();
    assertThat(t.due(ONE, 1_650 * MS)).isEmpty();
    assertThat(t.due(ONE, 2_000 * MS)).containsExactly("s");
  }

  @Test
  void whatWasToldToTheLogIsNotRenewed() {
    LeaseTimers t = new LeaseTimers();
    t.begin(0);
    for (long ms = 0; ms < 1_000; ms += 100) {
      t.due(ONE, ms * MS);
    }
    assertThat(t.due(ONE, 1_000 * MS)).containsExactly("s");
    assertThat(t.renew("s", 1_001 * MS)).isFalse();
    t.resubmit("s");
    assertThat(t.renew("s", 1_002 * MS)).isTrue();
  }

  @Test
  void aStoppedMemberFindsItsLeaseOver() {
    Lease lease = new Lease(1_000);
    assertThat(lease.holds(0)).isFalse();
    lease.confirmed(100 * MS);
    assertThat(lease.holds(999 * MS)).isTrue();
    assertThat(lease.holds(1_000 * MS)).isFalse();
    lease.confirmed(50 * MS);
    assertThat(lease.holds(960 * MS)).as("an older answer takes nothing back").isTrue();
  }
}
