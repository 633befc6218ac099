package leadferry.testbed;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Tasks that a test has started and has to wait for, such as the end of a fault or the recovery of
 * a proxy.
 */
final class BackgroundTasks {
  private final List<Thread> threads = Collections.synchronizedList(new ArrayList<>());

  /** Runs a task on its own thread after {@code delayMillis}. */
  void runLater(long delayMillis, Runnable task) {
    threads.add(
        Threads.startDaemon(
            "fault-test-task",
            () -> {
              Threads.sleepMillis(delayMillis);
              task.run();
            }));
  }

  /** Waits for all tasks, at most {@code millisEach} for each one. */
  void await(long millisEach) throws InterruptedException {
    for (Thread thread : List.copyOf(threads)) {
      thread.join(millisEach);
    }
  }
}
