package leadferry.engine;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The one bound over all buffered bodies, of requests and of answers. What does not fit waits in
 * its socket: its reader is paused and resumed in order of waiting.
 */
public final class BodyBudget {
  /** Bodies up to this size may use all of the budget, larger ones leave a part to them. */
  static final int SMALL_BYTES = 64 * 1024;

  private static final double LARGE_PART = 0.85;

  /** A larger body streams where it can; a smaller one too once so much of the budget is used. */
  private static final int AMPLE_BYTES = 1 << 20;

  private static final double AMPLE_PART = 0.4;

  private long limit;
  private final Set<Runnable> waiting = new LinkedHashSet<>();
  private long used;
  private long incomplete;

  /** A budget of so many bytes. */
  public BodyBudget(long limit) {
    this.limit = limit;
  }

  /** From now on so many bytes; what is held stays until it is freed. */
  public void setLimit(long bytes) {
    limit = bytes;
  }

  private long limitFor(long size) {
    return size <= SMALL_BYTES ? limit : (long) (LARGE_PART * limit);
  }

  /** Counts bytes that were read; {@code partial} ones belong to a request that still comes. */
  void charge(int bytes, boolean partial) {
    used += bytes;
    incomplete += partial ? bytes : 0;
  }

  /** The request these bytes belong to has come whole: they are freed at its deadline at last. */
  void onRequestComplete(long bytes) {
    incomplete -= bytes;
  }

  void release(long bytes, boolean partial) {
    used -= bytes;
    incomplete -= partial ? bytes : 0;
    if (!waiting.isEmpty() && used < limitFor(Long.MAX_VALUE)) {
      Runnable[] resumed = waiting.toArray(Runnable[]::new);
      waiting.clear();
      for (Runnable resume : resumed) {
        resume.run();
      }
    }
  }

  /** Whether a body of this size must not grow now. */
  public boolean isFull(long size) {
    return used >= limitFor(size);
  }

  /**
   * Whether there is so much room that a body may grow to this size and be held, though it could
   * stream.
   */
  public boolean hasAmpleRoom(long size) {
    return size <= AMPLE_BYTES && used < AMPLE_PART * limit;
  }

  /** Whether waiting would never end: requests that still come hold all that they may. */
  public boolean isDeadlocked() {
    return incomplete >= limitFor(Long.MAX_VALUE);
  }

  /** Runs {@code resume} once when bytes have been freed. */
  public void awaitRoom(Runnable resume) {
    waiting.add(resume);
  }

  /** Takes back an {@link #awaitRoom} that has not run; harmless if it has. */
  public void cancelAwait(Runnable resume) {
    waiting.remove(resume);
  }

  /** Bytes that are held. */
  public long usedBytes() {
    return used;
  }
}
