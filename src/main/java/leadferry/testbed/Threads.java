package leadferry.testbed;

/** Threads and waits of the test bed. */
final class Threads {
  private Threads() {}

  /** Starts a thread that does not keep the process alive. */
  static Thread startDaemon(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** Waits; an interrupt ends the wait and stays set. */
  static void sleepMillis(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
