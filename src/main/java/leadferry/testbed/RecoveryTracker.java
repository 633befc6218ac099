package leadferry.testbed;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Waits until a proxy that the test had down answers its probe again, and notes how long it took.
 */
final class RecoveryTracker {
  private static final long SETTLE_MILLIS = 200;
  private static final long LATE_ANSWERS_MILLIS = 300;
  private static final long LOOK_MILLIS = 10;

  private final InvariantChecker checker;
  private final List<Long> recoveryMillis = Collections.synchronizedList(new ArrayList<>());

  RecoveryTracker(InvariantChecker checker) {
    this.checker = checker;
  }

  /** The proxy's process runs again since then (ns): waits until it answers, whatever it says. */
  void awaitRecovery(String proxy, long sinceNanos) {
    checker.onProcessRunning(proxy);
    if (!awaitResponse(proxy, sinceNanos)) {
      checker.addViolation(proxy + " did not come back within " + FaultTest.START_MILLIS + " ms");
    }
    recordRecovery(sinceNanos);
    checker.onRecovered(proxy);
  }

  /** Something has recovered that was disturbed until then (ns). */
  void recordRecovery(long sinceNanos) {
    recoveryMillis.add((System.nanoTime() - sinceNanos) / 1_000_000);
  }

  /** Whether a proxy answers its probe within the time of a start from then (ns) on. */
  boolean awaitResponse(String proxy, long sinceNanos) {
    long deadlineNanos = sinceNanos + FaultTest.START_MILLIS * 1_000_000L;
    // A probe that began before the fault ended tells nothing.
    Threads.sleepMillis(SETTLE_MILLIS);
    while (isSilent(proxy) && System.nanoTime() - deadlineNanos < 0) {
      Threads.sleepMillis(LOOK_MILLIS);
    }
    boolean answers = !isSilent(proxy);
    // The answers of requests that it held meanwhile.
    Threads.sleepMillis(LATE_ANSWERS_MILLIS);
    return answers;
  }

  private boolean isSilent(String proxy) {
    return checker.lastProbeResult(proxy) == InvariantChecker.ProbeResult.UNREACHABLE;
  }

  /** All that was noted, shortest first (ms). */
  List<Long> sortedMillis() {
    List<Long> sorted = new ArrayList<>(recoveryMillis);
    Collections.sort(sorted);
    return sorted;
  }
}
