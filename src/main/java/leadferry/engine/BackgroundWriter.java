package leadferry.engine;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes text to a stream on a separate thread, so that no caller is blocked when the reader at the
 * other end of the stream stops reading. The queue in between is bounded: text that arrives while
 * the queue is full is dropped, and a line after the next text written states the number of dropped
 * texts.
 */
public final class BackgroundWriter {
  private static final int QUEUED_TEXTS = 256;
  private static final long FLUSH_POLL_MS = 1;

  private final PrintStream out;
  private final ArrayBlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUED_TEXTS);
  private final AtomicLong accepted = new AtomicLong();
  private final AtomicLong dropped = new AtomicLong();
  private volatile long written;

  /** Creates a writer and starts its daemon thread. */
  public BackgroundWriter(PrintStream out) {
    this.out = out;
    Thread thread = new Thread(this::run, "log");
    thread.setDaemon(true);
    thread.start();
  }

  /** Queues the text without blocking. */
  public void write(String text) {
    if (queue.offer(text)) {
      accepted.incrementAndGet();
    } else {
      dropped.incrementAndGet();
    }
  }

  /** Waits at most {@code timeoutMillis} until the queued texts are written. */
  public void flush(long timeoutMillis) {
    long target = accepted.get();
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    try {
      while (written < target && System.nanoTime() < deadlineNanos) {
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
        long droppedTexts = dropped.getAndSet(0);
        out.print(
            droppedTexts == 0
                ? text
                : text
                    + "leadferry: "
                    + droppedTexts
                    + " log entries dropped: the reader of the log is too slow\n");
        out.flush();
        written++;
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
