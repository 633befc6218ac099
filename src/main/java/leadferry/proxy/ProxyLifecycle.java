package leadferry.proxy;

import java.util.concurrent.CountDownLatch;

/**
 * State machine of one proxy, with methods that wait for its start and its end. A proxy passes
 * through the states in the order of their declaration and enters none twice. Thread-safe.
 */
final class ProxyLifecycle {
  /** Phase in the life of a proxy. */
  enum State {
    /** The proxy does not listen yet. */
    STARTING,
    /** The proxy listens and serves requests. */
    SERVING,
    /** The proxy serves the requests that it has accepted, and asks its clients to leave. */
    DRAINING,
    /** Every accepted request has its response, or the time limit of the drain has passed. */
    ENDED
  }

  private final CountDownLatch startFinished = new CountDownLatch(1);
  private final CountDownLatch ended = new CountDownLatch(1);
  private volatile State state = State.STARTING;

  /** Advances to {@code next}; has no effect if the proxy has already reached that state. */
  synchronized void advance(State next) {
    if (next.compareTo(state) > 0) {
      state = next;
    }
    if (next == State.ENDED) {
      ended.countDown();
    }
  }

  /** Marks the start as finished, whether or not the proxy serves. */
  void finishStart() {
    startFinished.countDown();
  }

  /** Waits until the start has finished; returns whether the proxy serves. */
  boolean awaitStart() {
    await(startFinished);
    return state == State.SERVING;
  }

  /** Whether the proxy has begun to drain, or has ended. */
  boolean isShuttingDown() {
    return state.compareTo(State.DRAINING) >= 0;
  }

  /** Whether the proxy has ended. */
  boolean hasEnded() {
    return state == State.ENDED;
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
