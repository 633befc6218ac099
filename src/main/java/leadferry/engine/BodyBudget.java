package leadferry.engine;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the memory of all buffered bodies, of requests and of responses. Bytes over the limit stay
 * in their socket: the reader is paused, and paused readers resume in order of arrival.
 */
public final class BodyBudget {
  /**
   * Largest body size (bytes) that may use the whole budget; larger bodies are limited to {@code
   * LARGE_SHARE} of it.
   */
  static final int SMALL_BYTES = 64 * 1024;

  private static final double LARGE_SHARE = 0.85;

  /**
   * Maximum size (bytes) of a body that is buffered although it could be streamed. Where more than
   * {@link #AMPLE_SHARE} of the budget is used, such a body is streamed as well.
   */
  private static final int AMPLE_BYTES = 1 << 20;

  private static final double AMPLE_SHARE = 0.4;

  private long limitBytes;
  private final Set<Runnable> pausedReaders = new LinkedHashSet<>();
  private long usedBytes;
  private long incompleteBytes;

  /** Creates a budget of {@code limit} bytes. */
  public BodyBudget(long limit) {
    this.limitBytes = limit;
  }

  /** Changes the limit to {@code bytes}; bytes already held stay until they are freed. */
  public void setLimit(long bytes) {
    limitBytes = bytes;
  }

  private long limitFor(long size) {
    return size <= SMALL_BYTES ? limitBytes : (long) (LARGE_SHARE * limitBytes);
  }

  /**
   * Charges bytes that were read; {@code partial} marks bytes of a request that is still
   * incomplete.
   */
  void charge(int bytes, boolean partial) {
    usedBytes += bytes;
    incompleteBytes += partial ? bytes : 0;
  }

  /**
   * Records that a request whose body holds {@code bytes} bytes has been received in full. These
   * bytes are freed at the request's deadline at the latest.
   */
  void onRequestComplete(long bytes) {
    incompleteBytes -= bytes;
  }

  void release(long bytes, boolean partial) {
    usedBytes -= bytes;
    incompleteBytes -= partial ? bytes : 0;
    if (!pausedReaders.isEmpty() && usedBytes < limitFor(Long.MAX_VALUE)) {
      Runnable[] resumed = pausedReaders.toArray(Runnable[]::new);
      pausedReaders.clear();
      for (Runnable resume : resumed) {
        resume.run();
      }
    }
  }

  /** Whether a body of this size (bytes) must not grow now. */
  public boolean isFull(long size) {
    return usedBytes >= limitFor(size);
  }

  /** Whether a body may grow to this size (bytes) and be buffered although it could be streamed. */
  public boolean hasAmpleRoom(long size) {
    return size <= AMPLE_BYTES && usedBytes < AMPLE_SHARE * limitBytes;
  }

  /**
   * Whether waiting for free bytes could never end, because incomplete requests hold all bytes that
   * they may use.
   */
  public boolean isDeadlocked() {
    return incompleteBytes >= limitFor(Long.MAX_VALUE);
  }

  /** Runs {@code resume} once, when bytes have been freed. */
  public void awaitRoom(Runnable resume) {
    pausedReaders.add(resume);
  }

  /** Cancels an {@link #awaitRoom} that has not run; has no effect otherwise. */
  public void cancelAwait(Runnable resume) {
    pausedReaders.remove(resume);
  }

  /** Returns the number of bytes held. */
  public long usedBytes() {
    return usedBytes;
  }
}
