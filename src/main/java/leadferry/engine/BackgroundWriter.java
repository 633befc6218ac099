package leadferry.engine;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes text to a stream on a thread of its own, so that a reader of the stream who stops holds up
 * nobody else. A bounded queue stands between: what finds it full is dropped, and counted in the
 * text that follows.
 */
public final class BackgroundWriter {
  private static final int QUEUED_TEXTS = 256;
  private static final long FLUSH_POLL_MS = 1;

  private final PrintStream out;
  private final ArrayBlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUED_TEXTS);
  private final AtomicLong accepted = new AtomicLong();
  private final AtomicLong dropped = new AtomicLong();
  private volatile long written;

  /** Starts the thread, a daemon. */
  public BackgroundWriter(PrintStream out) {
    this.out = out;
    Thread thread = new Thread(this::run, "log");
    thread.setDaemon(true);
    thread.start();
  }

  /** Queues the text; never waits. */
  public void write(String text) {
    if (queue.offer(text)) {
      accepted.incrementAndGet();
    } else {
      dropped.incrementAndGet();
    }
  }

  /** Waits until what has been queued is written, for so long (ms) at most. */
  public void flush(long mostMs) {
    long all = accepted.get();
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMs);
    try {
      while (written < all && System.nanoTime() < until) {
        Thread.sleep(FLUSH_POLL_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    try {
      while (true) {
        String text = queue.take();
        long lost = dropped.getAndSet(0);
        out.print(
            lost == 0
                ? text
                : text
                    + "leadferry: "
                    + lost
                    + " texts of the log were dropped: nobody reads it\n");
        out.flush();
        written++;
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
