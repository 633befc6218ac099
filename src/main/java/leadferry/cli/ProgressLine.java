package leadferry.cli;

import java.util.function.Supplier;

/** A line on the terminal that tells how far long work is; nothing where output is piped. */
final class ProgressLine {
  private static final long EVERY_MS = 500;

  private final boolean terminal = System.console() != null;

  /** Shows the line until {@link #stop}. */
  Thread start(Supplier<String> line) {
    Thread t =
        new Thread(
            () -> {
              try {
                while (true) {
                  Thread.sleep(EVERY_MS);
                  System.err.print("\r" + line.get() + "\u001b[K");
                }
              } catch (InterruptedException e) {
                System.err.print("\r\u001b[K");
              }
            },
            "progress");
    t.setDaemon(true);
    if (terminal) {
      t.start();
    }
    return t;
  }

  void stop(Thread shown) throws InterruptedException {
    if (terminal) {
      shown.interrupt();
      shown.join();
    }
  }
}
