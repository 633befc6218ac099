package leadferry.engine;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.function.Consumer;

/**
 * Writes a bounded number of text lines a second. Used by the proxy as the {@code platform} starts
 * it, and by tests.
 */
public final class LineLog implements Log {
  private static final int MAX_PER_SECOND = 50;

  private final Consumer<String> out;
  private final boolean details;
  private long currentSecond;
  private int writtenThisSecond;
  private long dropped;

  /**
   * Creates a log that writes to {@code out} on the caller's thread. {@code details} indicates
   * whether requests and attempts are logged.
   */
  public LineLog(PrintStream out, boolean details) {
    this(out::print, details);
  }

  /** Creates a log; {@code out} receives whole lines with their line ends, one call at a time. */
  public LineLog(Consumer<String> out, boolean details) {
    this.out = out;
    this.details = details;
  }

  @Override
  public boolean isDetailEnabled() {
    return details;
  }

  @Override
  public synchronized void event(String message, Object... fields) {
    if (shouldWrite()) {
      StringBuilder text = new StringBuilder("leadferry: ").append(message);
      for (int i = 0; i + 1 < fields.length; i += 2) {
        if (fields[i + 1] != null) {
          text.append(' ').append(fields[i]).append('=').append(fields[i + 1]);
        }
      }
      write(text.toString().replace('\n', ' ').replace('\r', ' '), "");
    }
  }

  @Override
  public void detail(String message, Object... fields) {
    if (details) {
      event(message, fields);
    }
  }

  @Override
  public synchronized void failure(String message, Throwable cause) {
    if (shouldWrite()) {
      StringWriter stack = new StringWriter();
      cause.printStackTrace(new PrintWriter(stack, true));
      write("leadferry: " + message, stack.toString());
    }
  }

  private void write(String text, String stackTrace) {
    out.accept(text + System.lineSeparator() + stackTrace);
  }

  // Guards against a log that fills the machine when every request logs a line.
  private boolean shouldWrite() {
    long now = System.nanoTime() / 1_000_000_000L;
    if (now != currentSecond) {
      if (dropped > 0) {
        write("leadferry: " + dropped + " log lines dropped by the rate limit", "");
      }
      currentSecond = now;
      writtenThisSecond = 0;
      dropped = 0;
    }
    if (writtenThisSecond >= MAX_PER_SECOND) {
      dropped++;
      return false;
    }
    writtenThisSecond++;
    return true;
  }
}
