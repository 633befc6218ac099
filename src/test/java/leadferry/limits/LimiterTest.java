package leadferry.limits;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class LimiterTest {
  private static final long MS = 1_000_000L;
  private long now = 5_000 * MS;

  private static Limit limit(
      String name, Limit.Scope by, String within, double rate, double burst, int open) {
    return new Limit(name, by, within, Set.of(), Set.of(), Set.of(), rate, burst, open);
  }

  private static ClientIdentity tenant(String name) {
    return new ClientIdentity("main", "r", name, "c", "127.0.0.1");
  }

  private boolean passes(Limiter l, String tenant) {
    return l.acquire(tenant(tenant), now).refusedBy() == null;
  }

  private boolean passesAndEnds(Limiter l, String tenant) {
    LimitDecision g = l.acquire(tenant(tenant), now);
    g.release();
    return g.refusedBy() == null;
  }

  @Test
  void aRateGivesItsBurstAtOnceAndThenItsRate() {
    Limiter l = new Limiter(List.of(limit("r", Limit.Scope.TENANT, null, 10, 5, 0)), 64);
    int passed = 0;
    for (int i = 0; i < 20; i++) {
      passed += passes(l, "a") ? 1 : 0;
    }
    assertThat(passed).isEqualTo(5);
    assertThat(passes(l, "b")).isTrue();
    LimitDecision refused = l.acquire(tenant("a"), now);
    assertThat(refused.refusedBy()).isEqualTo("r");
    assertThat(refused.retryAfterMillis()).isCloseTo(100, within(1.0));
    now += 99 * MS;
    assertThat(passes(l, "a")).isFalse();
    now += 2 * MS;
    assertThat(passes(l, "a")).isTrue();
    assertThat(passes(l, "a")).isFalse();
    now += 3_600_000 * MS; // a long rest saves up no more than the burst
    passed = 0;
    for (int i = 0; i < 20; i++) {
      passed += passes(l, "a") ? 1 : 0;
    }
    assertThat(passed).isEqualTo(5);
  }

  @Test
  void concurrencyCountsWhatIsOpenAndAReleaseTwiceIsOne() {
    Limiter l = new Limiter(List.of(limit("c", Limit.Scope.ALL, null, 0, 1, 2)), 64);
    LimitDecision a = l.acquire(tenant("a"), now);
    LimitDecision b = l.acquire(tenant("b"), now);
    assertThat(passes(l, "c")).isFalse();
    a.release();
    a.release();
    assertThat(passes(l, "c")).isTrue();
    assertThat(passes(l, "d")).isFalse();
    b.release();
    assertThat(passes(l, "d")).isTrue();
  }

  @Test
  void aRefusalByOneLimitTakesNothingFromTheOthers() {
    Limiter l =
        new Limiter(
            List.of(
                limit("rate", Limit.Scope.ALL, null, 1, 3, 0),
                limit("c", Limit.Scope.TENANT, null, 0, 1, 1)),
            64);
    LimitDecision a = l.acquire(tenant("a"), now);
    for (int i = 0; i < 10; i++) {
      assertThat(l.acquire(tenant("a"), now).refusedBy()).isEqualTo("c");
    }
    assertThat(passes(l, "b")).isTrue(); // the rate's burst has not been spent on refusals
    assertThat(passes(l, "d")).isTrue();
    assertThat(l.acquire(tenant("e"), now).refusedBy()).isEqualTo("rate");
    a.release();
  }

  @Test
  void aLimitHoldsOnlyForWhatItNames() {
    Limit l =
        new Limit("l", Limit.Scope.ROUTE, null, Set.of("main"), Set.of("r"), Set.of("c"), 0, 1, 1);
    Limiter limiter = new Limiter(List.of(l), 64);
    assertThat(passes(limiter, "a")).isTrue();
    assertThat(passes(limiter, "b")).isFalse();
    assertThat(limiter.acquire(new ClientIdentity("main", "other", "a", "c", ""), now).refusedBy())
        .isNull();
    assertThat(limiter.acquire(new ClientIdentity("side", "r", "a", "c", ""), now).refusedBy())
        .isNull();
    assertThat(limiter.acquire(new ClientIdentity("main", "r", "a", "d", ""), now).refusedBy())
        .isNull();
  }

  @Test
  void aHotTenantFallsBackToItsPartAsOthersCome() {
    Limiter l =
        new Limiter(
            List.of(
                limit("all", Limit.Scope.ALL, null, 0, 1, 100),
                limit("t", Limit.Scope.TENANT, "all", 0, 1, 1_000)),
            64);
    ArrayDeque<LimitDecision> hot = new ArrayDeque<>();
    for (int i = 0; i < 200; i++) {
      LimitDecision g = l.acquire(tenant("hot"), now);
      if (g.refusedBy() == null) {
        hot.add(g);
      }
    }
    assertThat(hot).hasSize(80);
    List<LimitDecision> quiet = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      LimitDecision g = l.acquire(tenant("quiet" + i % 4), now);
      assertThat(g.refusedBy()).isNull();
      quiet.add(g);
    }
    // Each request that ends is asked for again by everyone: all come to equal parts.
    for (int round = 0; round < 400; round++) {
      if (!hot.isEmpty()) {
        hot.poll().release();
      }
      for (int i = 0; i < 4; i++) {
        LimitDecision g = l.acquire(tenant("quiet" + i), now);
        if (g.refusedBy() == null) {
          quiet.add(g);
        }
      }
      LimitDecision g = l.acquire(tenant("hot"), now);
      if (g.refusedBy() == null) {
        hot.add(g);
      }
    }
    assertThat(hot.size()).isBetween(16, 21);
    assertThat(quiet.size()).isGreaterThan(60);
  }

  @Test
  void aHotTenantLeavesRateToQuietOnes() {
    Limiter l =
        new Limiter(
            List.of(
                limit("all", Limit.Scope.ALL, null, 100, 20, 0),
                limit("t", Limit.Scope.TENANT, "all", 0, 1, 1_000)),
            64);
    int hot = 0;
    int quiet = 0;
    for (int ms = 0; ms < 20_000; ms++) {
      now += MS;
      for (int i = 0; i < 5; i++) {
        hot += passesAndEnds(l, "hot") ? 1 : 0; // 5,000 a second
      }
      if (ms % 50 == 0) {
        quiet += passesAndEnds(l, "quiet") ? 1 : 0; // 20 a second
      }
    }
    assertThat(hot + quiet).isBetween(1_700, 2_100);
    assertThat(quiet).isGreaterThan(360); // of 400
  }

  @Test
  void aLoweredLimitCountsWhatIsOpen() {
    Limiter before = new Limiter(List.of(limit("l", Limit.Scope.TENANT, null, 0, 1, 10)), 64);
    List<LimitDecision> open = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      open.add(before.acquire(tenant("a"), now));
    }
    Limiter after = new Limiter(List.of(limit("l", Limit.Scope.TENANT, null, 0, 1, 4)), 64, before);
    assertThat(passes(after, "a")).isFalse();
    open.get(0).release();
    open.get(1).release();
    assertThat(passes(after, "a")).isFalse();
    open.get(2).release();
    assertThat(passes(after, "a")).isTrue();
  }

  @Test
  void aMillionTenantsTakeNoMoreRoomAndNobodyIsForgottenWhoCounts() {
    Limiter l = new Limiter(List.of(limit("l", Limit.Scope.TENANT, null, 0, 1, 2)), 1_024);
    LimitDecision first = l.acquire(tenant("first"), now);
    l.acquire(tenant("first"), now);
    for (int i = 0; i < 1_000_000; i++) {
      l.acquire(tenant("t" + i), now).release();
    }
    assertThat(l.capacity()).isLessThanOrEqualTo(2_048);
    assertThat(passes(l, "first")).isFalse();
    first.release();
    assertThat(passes(l, "first")).isTrue();
  }

  @Test
  void pastTheBoundNewcomersCountAsOne() {
    Limiter l = new Limiter(List.of(limit("l", Limit.Scope.TENANT, null, 0, 1, 2)), 64);
    int passed = 0;
    for (int i = 0; i < 10_000; i++) {
      passed += passes(l, "t" + i) ? 1 : 0; // all stay open
    }
    assertThat(passed).isBetween(64, (int) l.capacity() + 2);
  }

  @Test
  void anOuterLimitMustStandBeforeThoseWithinIt() {
    assertThatThrownBy(() -> new Limiter(List.of(limit("a", Limit.Scope.ALL, "b", 1, 1, 0)), 64))
        .hasMessageContaining("within: b");
  }

  @Test
  void manyThreadsNeverHoldMoreThanTheLimitAndGiveAllBack() throws Exception {
    Limiter l =
        new Limiter(
            List.of(
                limit("all", Limit.Scope.ALL, null, 0, 1, 8),
                limit("t", Limit.Scope.TENANT, "all", 0, 1, 4)),
            64);
    AtomicInteger open = new AtomicInteger();
    AtomicInteger most = new AtomicInteger();
    int threads = 8;
    CountDownLatch done = new CountDownLatch(threads);
    for (int t = 0; t < threads; t++) {
      int n = t;
      new Thread(
              () -> {
                for (int i = 0; i < 50_000; i++) {
                  LimitDecision g = l.acquire(tenant("t" + (n + i) % 200), now);
                  if (g.refusedBy() == null) {
                    most.accumulateAndGet(open.incrementAndGet(), Math::max);
                    open.decrementAndGet();
                    g.release();
                  }
                }
                done.countDown();
              })
          .start();
    }
    done.await();
    assertThat(most.get()).isBetween(1, 8);
    List<LimitDecision> again = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      again.add(l.acquire(tenant("x" + i), now));
    }
    assertThat(again).allMatch(g -> g.refusedBy() == null);
  }

  @Test
  void aRetryBudgetEarnsAndRunsOut() {
    RetryBudget b = new RetryBudget(0.5, 2);
    assertThat(b.take()).isTrue();
    assertThat(b.take()).isTrue();
    assertThat(b.take()).isFalse();
    b.onRequest();
    assertThat(b.take()).isFalse();
    b.onRequest();
    assertThat(b.take()).isTrue();
    for (int i = 0; i < 100; i++) {
      b.onRequest();
    }
    assertThat(b.take()).isTrue();
    assertThat(b.take()).isTrue();
    assertThat(b.take()).isFalse();
  }
}
