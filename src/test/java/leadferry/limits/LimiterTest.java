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

/**
 * Guards against a limit that is exceeded, that refuses requests within its bounds, or that lets a
 * busy tenant use up the share of others.
 */
class LimiterTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private long nowNanos = 5_000 * NANOS_PER_MILLI;

  private static Limit limit(
      String name,
      Limit.Scope scope,
      String parentName,
      double rate,
      double burst,
      int maxConcurrent) {
    return new Limit(
        name, scope, parentName, Set.of(), Set.of(), Set.of(), rate, burst, maxConcurrent);
  }

  private static ClientIdentity tenant(String name) {
    return new ClientIdentity("main", "r", name, "c", "127.0.0.1");
  }

  private boolean isAdmitted(Limiter limiter, String tenant) {
    return limiter.acquire(tenant(tenant), nowNanos).refusedBy() == null;
  }

  private boolean isAdmittedAndReleased(Limiter limiter, String tenant) {
    LimitDecision decision = limiter.acquire(tenant(tenant), nowNanos);
    decision.release();
    return decision.refusedBy() == null;
  }

  @Test
  void rateLimitAdmitsItsBurstAtOnceAndThenItsRate() {
    Limiter limiter = new Limiter(List.of(limit("r", Limit.Scope.TENANT, null, 10, 5, 0)), 64);
    int passed = 0;
    for (int i = 0; i < 20; i++) {
      passed += isAdmitted(limiter, "a") ? 1 : 0;
    }
    assertThat(passed).isEqualTo(5);
    assertThat(isAdmitted(limiter, "b")).isTrue();
    LimitDecision refused = limiter.acquire(tenant("a"), nowNanos);
    assertThat(refused.refusedBy()).isEqualTo("r");
    assertThat(refused.retryAfterMillis()).isCloseTo(100, within(1.0));
    nowNanos += 99 * NANOS_PER_MILLI;
    assertThat(isAdmitted(limiter, "a")).isFalse();
    nowNanos += 2 * NANOS_PER_MILLI;
    assertThat(isAdmitted(limiter, "a")).isTrue();
    assertThat(isAdmitted(limiter, "a")).isFalse();
    nowNanos += 3_600_000 * NANOS_PER_MILLI; // idle time saves up no more than the burst
    passed = 0;
    for (int i = 0; i < 20; i++) {
      passed += isAdmitted(limiter, "a") ? 1 : 0;
    }
    assertThat(passed).isEqualTo(5);
  }

  @Test
  void concurrencyLimitCountsOpenRequestsAndIgnoresASecondRelease() {
    Limiter limiter = new Limiter(List.of(limit("c", Limit.Scope.ALL, null, 0, 1, 2)), 64);
    LimitDecision first = limiter.acquire(tenant("a"), nowNanos);
    LimitDecision second = limiter.acquire(tenant("b"), nowNanos);
    assertThat(isAdmitted(limiter, "c")).isFalse();
    first.release();
    first.release();
    assertThat(isAdmitted(limiter, "c")).isTrue();
    assertThat(isAdmitted(limiter, "d")).isFalse();
    second.release();
    assertThat(isAdmitted(limiter, "d")).isTrue();
  }

  @Test
  void refusalByOneLimitConsumesNothingOfTheOthers() {
    Limiter limiter =
        new Limiter(
            List.of(
                limit("rate", Limit.Scope.ALL, null, 1, 3, 0),
                limit("c", Limit.Scope.TENANT, null, 0, 1, 1)),
            64);
    LimitDecision first = limiter.acquire(tenant("a"), nowNanos);
    for (int i = 0; i < 10; i++) {
      assertThat(limiter.acquire(tenant("a"), nowNanos).refusedBy()).isEqualTo("c");
    }
    assertThat(isAdmitted(limiter, "b")).isTrue(); // refusals have not consumed the burst
    assertThat(isAdmitted(limiter, "d")).isTrue();
    assertThat(limiter.acquire(tenant("e"), nowNanos).refusedBy()).isEqualTo("rate");
    first.release();
  }

  @Test
  void limitAppliesOnlyToTheListenersRoutesAndClassesItNames() {
    Limit limit =
        new Limit("l", Limit.Scope.ROUTE, null, Set.of("main"), Set.of("r"), Set.of("c"), 0, 1, 1);
    Limiter limiter = new Limiter(List.of(limit), 64);
    assertThat(isAdmitted(limiter, "a")).isTrue();
    assertThat(isAdmitted(limiter, "b")).isFalse();
    assertThat(
            limiter
                .acquire(new ClientIdentity("main", "other", "a", "c", ""), nowNanos)
                .refusedBy())
        .isNull();
    assertThat(limiter.acquire(new ClientIdentity("side", "r", "a", "c", ""), nowNanos).refusedBy())
        .isNull();
    assertThat(limiter.acquire(new ClientIdentity("main", "r", "a", "d", ""), nowNanos).refusedBy())
        .isNull();
  }

  @Test
  void busyTenantFallsBackToItsEqualShareAsOthersArrive() {
    Limiter limiter =
        new Limiter(
            List.of(
                limit("all", Limit.Scope.ALL, null, 0, 1, 100),
                limit("t", Limit.Scope.TENANT, "all", 0, 1, 1_000)),
            64);
    ArrayDeque<LimitDecision> busy = new ArrayDeque<>();
    for (int i = 0; i < 200; i++) {
      LimitDecision decision = limiter.acquire(tenant("busy"), nowNanos);
      if (decision.refusedBy() == null) {
        busy.add(decision);
      }
    }
    assertThat(busy).hasSize(80);
    List<LimitDecision> quiet = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      LimitDecision decision = limiter.acquire(tenant("quiet" + i % 4), nowNanos);
      assertThat(decision.refusedBy()).isNull();
      quiet.add(decision);
    }
    // All tenants compete for each slot that is released, and reach equal shares.
    for (int round = 0; round < 400; round++) {
      if (!busy.isEmpty()) {
        busy.poll().release();
      }
      for (int i = 0; i < 4; i++) {
        LimitDecision decision = limiter.acquire(tenant("quiet" + i), nowNanos);
        if (decision.refusedBy() == null) {
          quiet.add(decision);
        }
      }
      LimitDecision decision = limiter.acquire(tenant("busy"), nowNanos);
      if (decision.refusedBy() == null) {
        busy.add(decision);
      }
    }
    assertThat(busy.size()).isBetween(16, 21);
    assertThat(quiet.size()).isGreaterThan(60);
  }

  @Test
  void busyTenantLeavesRateToOthers() {
    Limiter limiter =
        new Limiter(
            List.of(
                limit("all", Limit.Scope.ALL, null, 100, 20, 0),
                limit("t", Limit.Scope.TENANT, "all", 0, 1, 1_000)),
            64);
    int busy = 0;
    int quiet = 0;
    for (int millis = 0; millis < 20_000; millis++) {
      nowNanos += NANOS_PER_MILLI;
      for (int i = 0; i < 5; i++) {
        busy += isAdmittedAndReleased(limiter, "busy") ? 1 : 0; // 5,000 a second
      }
      if (millis % 50 == 0) {
        quiet += isAdmittedAndReleased(limiter, "quiet") ? 1 : 0; // 20 a second
      }
    }
    assertThat(busy + quiet).isBetween(1_700, 2_100);
    assertThat(quiet).isGreaterThan(360); // of 400
  }

  @Test
  void loweredLimitCountsOpenRequests() {
    Limiter before = new Limiter(List.of(limit("l", Limit.Scope.TENANT, null, 0, 1, 10)), 64);
    List<LimitDecision> open = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      open.add(before.acquire(tenant("a"), nowNanos));
    }
    Limiter after = new Limiter(List.of(limit("l", Limit.Scope.TENANT, null, 0, 1, 4)), 64, before);
    assertThat(isAdmitted(after, "a")).isFalse();
    open.get(0).release();
    open.get(1).release();
    assertThat(isAdmitted(after, "a")).isFalse();
    open.get(2).release();
    assertThat(isAdmitted(after, "a")).isTrue();
  }

  @Test
  void millionTenantsUseFixedMemoryAndLoseNoBucketInUse() {
    Limiter limiter = new Limiter(List.of(limit("l", Limit.Scope.TENANT, null, 0, 1, 2)), 1_024);
    LimitDecision first = limiter.acquire(tenant("first"), nowNanos);
    limiter.acquire(tenant("first"), nowNanos);
    for (int i = 0; i < 1_000_000; i++) {
      limiter.acquire(tenant("t" + i), nowNanos).release();
    }
    assertThat(limiter.capacity()).isLessThanOrEqualTo(2_048);
    assertThat(isAdmitted(limiter, "first")).isFalse();
    first.release();
    assertThat(isAdmitted(limiter, "first")).isTrue();
  }

  @Test
  void newTenantsBeyondTheCapacityShareOneBucket() {
    Limiter limiter = new Limiter(List.of(limit("l", Limit.Scope.TENANT, null, 0, 1, 2)), 64);
    int passed = 0;
    for (int i = 0; i < 10_000; i++) {
      passed += isAdmitted(limiter, "t" + i) ? 1 : 0; // all stay open
    }
    assertThat(passed).isBetween(64, (int) limiter.capacity() + 2);
  }

  @Test
  void outerLimitAfterItsInnerLimitIsRejected() {
    assertThatThrownBy(() -> new Limiter(List.of(limit("a", Limit.Scope.ALL, "b", 1, 1, 0)), 64))
        .hasMessageContaining("within: b");
  }

  @Test
  void manyThreadsNeverHoldMoreThanTheLimitAndReleaseEverySlot() throws Exception {
    Limiter limiter =
        new Limiter(
            List.of(
                limit("all", Limit.Scope.ALL, null, 0, 1, 8),
                limit("t", Limit.Scope.TENANT, "all", 0, 1, 4)),
            64);
    AtomicInteger open = new AtomicInteger();
    AtomicInteger maxOpen = new AtomicInteger();
    int threads = 8;
    CountDownLatch done = new CountDownLatch(threads);
    for (int thread = 0; thread < threads; thread++) {
      int offset = thread;
      new Thread(
              () -> {
                for (int i = 0; i < 50_000; i++) {
                  LimitDecision decision =
                      limiter.acquire(tenant("t" + (offset + i) % 200), nowNanos);
                  if (decision.refusedBy() == null) {
                    maxOpen.accumulateAndGet(open.incrementAndGet(), Math::max);
                    open.decrementAndGet();
                    decision.release();
                  }
                }
                done.countDown();
              })
          .start();
    }
    done.await();
    assertThat(maxOpen.get()).isBetween(1, 8);
    List<LimitDecision> decisions = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      decisions.add(limiter.acquire(tenant("x" + i), nowNanos));
    }
    assertThat(decisions).allMatch(decision -> decision.refusedBy() == null);
  }

  @Test
  void retryBudgetEarnsRetriesAndRunsOut() {
    RetryBudget budget = new RetryBudget(0.5, 2);
    assertThat(budget.take()).isTrue();
    assertThat(budget.take()).isTrue();
    assertThat(budget.take()).isFalse();
    budget.onRequest();
    assertThat(budget.take()).isFalse();
    budget.onRequest();
    assertThat(budget.take()).isTrue();
    for (int i = 0; i < 100; i++) {
      budget.onRequest();
    }
    assertThat(budget.take()).isTrue();
    assertThat(budget.take()).isTrue();
    assertThat(budget.take()).isFalse();
  }
}
