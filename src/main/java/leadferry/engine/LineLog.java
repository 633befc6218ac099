package leadferry.engine;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.function.Consumer;

/** Lines of text, so many a second at most: the platform's log, and that of tests. */
public final class LineLog implements Log {
  private static final int MAX_PER_SECOND = 50;

  private final Consumer<String> out;
  private final boolean details;
  private long second;
  private int written;
  private long dropped;

  /**
   * Whoever logs waits for the stream. {@code details} tells whether requests and attempts have
   * lines.
   */
  public LineLog(PrintStream out, boolean details) {
    this(out::print, details);
  }

  /** {@code out} gets whole lines with their ends, one call after the other. */
  public LineLog(Consumer<String> out, boolean details) {
    this.out = out;
    this.details = details;
  }

  @Override
  public boolean isDetailEnabled() {
    return details;
  }

  @Override
  public synchronized void event(String what, Object... fields) {
    if (admits()) {
      StringBuilder text = new StringBuilder("leadferry: ").append(what);
      for (int i = 0; i + 1 < fields.length; i += 2) {
        if (fields[i + 1] != null) {
          text.append(' ').append(fields[i]).append('=').append(fields[i + 1]);
        }
      }
      line(text.toString().replace('\n', ' ').replace('\r', ' '), "");
    }
  }

  @Override
  public void detail(String what, Object... fields) {
    if (details) {
      event(what, fields);
    }
  }

  @Override
  public synchronized void failure(String what, Throwable t) {
    if (admits()) {
      StringWriter stack = new StringWriter();
      t.printStackTrace(new PrintWriter(stack, true));
      line("leadferry: " + what, stack.toString());
    }
  }

  private void line(String text, String below) {
    out.accept(text + System.lineSeparator() + below);
  }

  // Guards against a log that outgrows the machine when every request has something to say.
  private boolean admits() {
    long now = System.nanoTime() / 1_000_000_000L;
    if (now != second) {
      if (dropped > 0) {
        line("leadferry: " + dropped + " lines left out", "");
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
