package leadferry.testbed;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Waits until a proxy that the test took down responds to probes again, and records the recovery
 * times.
 */
final class RecoveryTracker {
  private static final long SETTLE_MILLIS = 200;
  private static final long LATE_RESPONSES_MILLIS = 300;
  private static final long POLL_MILLIS = 10;

  private final InvariantChecker checker;
  private final List<Long> recoveryMillis = Collections.synchronizedList(new ArrayList<>());

  RecoveryTracker(InvariantChecker checker) {
    this.checker = checker;
  }

  /**
   * Waits until {@code proxy}, whose process runs again since {@code sinceNanos}, responds to
   * probes with any status. A proxy that does not respond in time is a violation.
   */
  void awaitRecovery(String proxy, long sinceNanos) {
    checker.onProcessRunning(proxy);
    if (!awaitResponse(proxy, sinceNanos)) {
      checker.addViolation(
          proxy + " did not respond again within " + FaultTest.START_MILLIS + " ms");
    }
    recordRecovery(sinceNanos);
    checker.onRecovered(proxy);
  }

  /** Records the time from {@code sinceNanos}, when a fault ended, until now as a recovery time. */
  void recordRecovery(long sinceNanos) {
    recoveryMillis.add((System.nanoTime() - sinceNanos) / 1_000_000);
  }

  /**
   * Waits until {@code proxy} responds to probes. Returns false if it does not within {@link
   * FaultTest#START_MILLIS} after {@code sinceNanos}.
   */
  boolean awaitResponse(String proxy, long sinceNanos) {
    long deadlineNanos = sinceNanos + FaultTest.START_MILLIS * 1_000_000L;
    // The result of a probe sent before the fault ended is stale.
    Threads.sleepMillis(SETTLE_MILLIS);
    while (isSilent(proxy) && System.nanoTime() - deadlineNanos < 0) {
      Threads.sleepMillis(POLL_MILLIS);
    }
    boolean responds = !isSilent(proxy);
    // Leaves time for the responses to requests that the proxy held meanwhile.
    Threads.sleepMillis(LATE_RESPONSES_MILLIS);
    return responds;
  }

  private boolean isSilent(String proxy) {
    return checker.lastProbeResult(proxy) == InvariantChecker.ProbeResult.UNREACHABLE;
  }

  /** Returns all recovery times in milliseconds, shortest first. */
  List<Long> sortedMillis() {
    List<Long> sorted = new ArrayList<>(recoveryMillis);
    Collections.sort(sorted);
    return sorted;
  }
}
