package leadferry.proxy;

import java.util.concurrent.CountDownLatch;

/**
 * The states of one proxy, and those who wait for them. The states follow each other in their order
 * and none is entered again; safe for use by several threads.
 */
final class ProxyLifecycle {
  /** What a proxy does for its clients. */
  enum State {
    /** It does not listen yet. */
    STARTING,
    /** It listens, and answers. */
    SERVING,
    /** It answers what it has taken, and asks its clients to leave. */
    DRAINING,
    /** All that was taken is answered, or its time is over. */
    ENDED
  }

  private final CountDownLatch startFinished = new CountDownLatch(1);
  private final CountDownLatch ended = new CountDownLatch(1);
  private volatile State state = State.STARTING;

  /** Goes on to {@code next}; has no effect where that state was reached before. */
  synchronized void advance(State next) {
    if (next.compareTo(state) > 0) {
      state = next;
    }
    if (next == State.ENDED) {
      ended.countDown();
    }
  }

  /** The start is over, with a proxy that serves or without one. */
  void finishStart() {
    startFinished.countDown();
  }

  /** Waits for the end of the start; returns whether the proxy serves. */
  boolean awaitStart() {
    await(startFinished);
    return state == State.SERVING;
  }

  /** Whether the proxy has begun to drain, or has ended. */
  boolean isShuttingDown() {
    return state.compareTo(State.DRAINING) >= 0;
  }

  void awaitEnd() {
    await(ended);
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
