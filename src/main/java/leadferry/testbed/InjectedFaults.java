package leadferry.testbed;

import java.io.IOException;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * The faults that a fault test can inject into processes, each counted by its kind. What is wrong
 * with links is set at the {@link FaultyLink}s themselves.
 */
final class InjectedFaults {
  /** The kinds that the report counts. */
  enum Kind {
    /** A link is cut both ways, refuses, or ends in the middle of what it carries. */
    CUT,
    /** A link is cut one way. */
    ONE_WAY,
    /** A link is slow. */
    DELAY,
    /** A process is stopped and goes on later. */
    STALL,
    /** A process is killed. */
    KILL,
    /** A process that was killed is started again. */
    RESTART;

    /** The key in the report. */
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

  /** Counts a fault. */
  synchronized void count(Kind kind) {
    counts.merge(kind, 1, Integer::sum);
  }

  /** How many faults of that kind there were. */
  synchronized int countOf(Kind kind) {
    return counts.getOrDefault(kind, 0);
  }

  /** Stops a process for so long. */
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

  /** Kills a process. */
  void kill(ManagedProcess process) {
    count(Kind.KILL);
    process.kill();
  }

  /** Starts a process again. */
  void restart(ManagedProcess process) {
    count(Kind.RESTART);
    try {
      process.start();
    } catch (IOException e) {
      checker.addViolation(process.name() + " could not be started: " + e.getMessage());
    }
  }

  /** Stops a proxy for so long, and waits until it answers again. */
  void stallProxy(ManagedProcess proxy, long millis) {
    checker.onTakenDown(proxy.name());
    stall(proxy, millis, () -> recovery.awaitRecovery(proxy.name(), System.nanoTime()));
  }

  /** Kills a proxy, starts it again after so long, and waits until it answers. */
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
