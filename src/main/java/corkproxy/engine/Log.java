package corkproxy.engine;

import java.io.PrintStream;

/**
 * Lines for the people on call, on standard error; at most so many a second, the rest is counted. Safe
 * for use by many threads.
 */
public final class Log {
  private static final int MAX_PER_SECOND = 50;

  private final PrintStream out;
  private long second;
  private int written;
  private long dropped;

  public Log(PrintStream out) {
    this.out = out;
  }

  public synchronized void line(String text) {
    if (admits()) {
      out.println("corkproxy: " + text.replace('\n', ' ').replace('\r', ' '));
    }
  }

  /** A failure of our own code, with its stack. */
  public synchronized void failure(String what, Throwable t) {
    if (admits()) {
      out.println("corkproxy: " + what);
      t.printStackTrace(out);
    }
  }

  // Guards against a log that outgrows the machine when every request has something to say.
  private boolean admits() {
    long now = System.nanoTime() / 1_000_000_000L;
    if (now != second) {
      if (dropped > 0) {
        out.println("corkproxy: " + dropped + " lines left out");
      }
      second = now;
      written = 0;
      dropped = 0;
    }
    if (written >= MAX_PER_SECOND) {
      dropped++;
      return false;
    }
    written++;
    return true;
  }
}
