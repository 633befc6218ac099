package leadferry.cli;

import java.util.function.Supplier;

/**
 * Progress of a long operation, shown as one line on standard error. Nothing is shown if the
 * process has no interactive console.
 */
final class ProgressLine {
  private static final long INTERVAL_MILLIS = 500;

  private final boolean hasTerminal = System.console() != null;

  /**
   * Refreshes the line every 500 ms until {@link #stop}. Returns the thread to pass to that method.
   */
  Thread start(Supplier<String> line) {
    Thread thread =
        new Thread(
            () -> {
              try {
                while (true) {
                  Thread.sleep(INTERVAL_MILLIS);
                  System.err.print("\r" + line.get() + "\u001b[K");
                }
              } catch (InterruptedException e) {
                System.err.print("\r\u001b[K");
              }
            },
            "progress");
    thread.setDaemon(true);
    if (hasTerminal) {
      thread.start();
    }
    return thread;
  }

  /** Stops the thread and clears the line. */
  void stop(Thread thread) throws InterruptedException {
    if (hasTerminal) {
      thread.interrupt();
      thread.join();
    }
  }
}
