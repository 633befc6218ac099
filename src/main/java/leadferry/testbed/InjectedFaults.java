package leadferry.testbed;

import java.io.IOException;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * Injects faults into processes and counts all faults by kind. Faults of links are set at {@link
 * FaultyLink.Link}.
 */
final class InjectedFaults {
  /** Kinds of faults that the report counts. */
  enum Kind {
    /**
     * A link is cut in both directions, refuses connections, or closes one in the middle of a
     * chunk.
     */
    CUT,
    /** A link is cut in one direction. */
    ONE_WAY,
    /** A link delays each chunk. */
    DELAY,
    /** A process is suspended and resumes later. */
    STALL,
    /** A process is killed. */
    KILL,
    /** A killed process is started again. */
    RESTART;

    /** Returns the key in the report. */
    String key() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  private final InvariantChecker checker;
  private final RecoveryTracker recovery;
  private final BackgroundTasks tasks;
  private final Map<Kind, Integer> counts = new EnumMap<>(Kind.class);

  InjectedFaults(InvariantChecker checker, RecoveryTracker recovery, BackgroundTasks tasks) {
    this.checker = checker;
    this.recovery = recovery;
    this.tasks = tasks;
  }

  synchronized void count(Kind kind) {
    counts.merge(kind, 1, Integer::sum);
  }

  /** Returns the number of faults of {@code kind} so far. */
  synchronized int countOf(Kind kind) {
    return counts.getOrDefault(kind, 0);
  }

  /**
   * Suspends a process for {@code millis}, then runs {@code afterwards}. If the process is not
   * running, only runs {@code afterwards}.
   */
  void stall(ManagedProcess process, long millis, Runnable afterwards) {
    if (!process.isRunning()) {
      afterwards.run();
      return;
    }
    count(Kind.STALL);
    process.suspend();
    tasks.runLater(
        millis,
        () -> {
          process.resume();
          afterwards.run();
        });
  }

  /** Kills a process with SIGKILL. */
  void kill(ManagedProcess process) {
    count(Kind.KILL);
    process.kill();
  }

  /** Starts a killed process again. A failed start is a violation. */
  void restart(ManagedProcess process) {
    count(Kind.RESTART);
    try {
      process.start();
    } catch (IOException e) {
      checker.addViolation(process.name() + " could not be started: " + e.getMessage());
    }
  }

  /** Suspends a proxy for {@code millis}, resumes it and waits until it responds to probes. */
  void stallProxy(ManagedProcess proxy, long millis) {
    checker.onTakenDown(proxy.name());
    stall(proxy, millis, () -> recovery.awaitRecovery(proxy.name(), System.nanoTime()));
  }

  /**
   * Kills a proxy, starts it again after {@code downMillis} and waits until it responds to probes.
   */
  void killProxy(ManagedProcess proxy, long downMillis) {
    checker.onTakenDown(proxy.name());
    kill(proxy);
    tasks.runLater(
        downMillis,
        () -> {
          long startedNanos = System.nanoTime();
          restart(proxy);
          recovery.awaitRecovery(proxy.name(), startedNanos);
        });
  }
}
