package leadferry.proxy;

/**
 * What operators have asked of this process, and what it tells them; safe for use by several
 * threads.
 */
final class OperatorState {
  private volatile boolean ready;
  private volatile boolean draining;
  private volatile Runnable listener = () -> {};

  /** {@code listener} runs, on the caller's thread, at each call of drain or activate. */
  void onChange(Runnable listener) {
    this.listener = listener;
  }

  /** Whether this process can serve. */
  boolean isReady() {
    return ready;
  }

  void setReady(boolean ready) {
    this.ready = ready;
  }

  /** Whether operators want clients to be sent away. */
  boolean isDraining() {
    return draining;
  }

  void drain() {
    draining = true;
    listener.run();
  }

  void activate() {
    draining = false;
    listener.run();
  }
}
