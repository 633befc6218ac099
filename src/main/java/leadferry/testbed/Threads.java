package leadferry.testbed;

/** Helpers for threads and sleeps. */
final class Threads {
  private Threads() {}

  /** Starts a daemon thread, which does not keep the JVM alive. */
  static Thread startDaemon(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** Sleeps for {@code millis}. An interrupt ends the sleep and leaves the interrupt flag set. */
  static void sleepMillis(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
