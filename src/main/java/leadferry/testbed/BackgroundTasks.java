package leadferry.testbed;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** What a test has started and has to wait for: the end of a fault, a proxy that comes back. */
final class BackgroundTasks {
  private final List<Thread> threads = Collections.synchronizedList(new ArrayList<>());

  /** Runs a task on a thread of its own after so many milliseconds. */
  void runLater(long delayMillis, Runnable task) {
    threads.add(
        Threads.startDaemon(
            "fault-test-task",
            () -> {
              Threads.sleepMillis(delayMillis);
              task.run();
            }));
  }

  /** Waits for all tasks, so many milliseconds for each at most. */
  void await(long millisEach) throws InterruptedException {
    for (Thread thread : List.copyOf(threads)) {
      thread.join(millisEach);
    }
  }
}
