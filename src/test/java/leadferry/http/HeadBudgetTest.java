package leadferry.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against heads that take the heap of the process, and that leave none to small heads. */
class HeadBudgetTest {
  private static final long LIMIT_BYTES = 40_000;
  private static final int LARGE_BYTES = 10_000;
  private static final int SMALL_BYTES = 2_000;

  private final HeadBudget budget = new HeadBudget(LIMIT_BYTES);

  @Test
  void largeHeadsLeaveAQuarterToSmallOnes() {
    for (int i = 0; i < 3; i++) {
      assertThat(budget.open().resize(LARGE_BYTES)).isTrue();
    }
    assertThat(budget.open().resize(LARGE_BYTES)).isFalse();
    for (int i = 0; i < 5; i++) {
      assertThat(budget.open().resize(SMALL_BYTES)).isTrue();
    }
    assertThat(budget.open().resize(SMALL_BYTES)).isFalse();
    assertThat(budget.usedBytes()).isEqualTo(LIMIT_BYTES);
  }

  @Test
  void releasedMemoryIsFreeOnce() {
    HeadBudget.Reservation head = budget.open();
    assertThat(head.resize(LARGE_BYTES)).isTrue();
    head.release();
    head.release();
    assertThat(budget.usedBytes()).isZero();
  }

  @Test
  void rejectedGrowthKeepsTheOldSize() {
    HeadBudget.Reservation head = budget.open();
    assertThat(head.resize(LARGE_BYTES)).isTrue();
    assertThat(head.resize(LIMIT_BYTES)).isFalse();
    assertThat(budget.usedBytes()).isEqualTo(LARGE_BYTES);
  }
}
