package leadferry.proxy;

/**
 * Holds what operators have requested of this process, and whether the process is ready.
 * Thread-safe.
 */
final class OperatorState {
  private volatile boolean ready;
  private volatile boolean draining;
  private volatile Runnable listener = () -> {};

  /** Sets the listener that runs, on the caller's thread, at each call of drain or activate. */
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

  /** Whether operators have requested a drain. */
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
