package leadferry.proxy;

/**
 * What operators have asked of this process, and what it tells them; safe for use by several
 * threads.
 */
final class OperatorState {
  private volatile boolean serves;
  private volatile boolean sentAway;
  private volatile Runnable changed = () -> {};

  /** {@code then} runs, on the caller's thread, whenever clients are sent away or taken back. */
  void onChange(Runnable then) {
    changed = then;
  }

  /** Whether this process can serve. */
  boolean serves() {
    return serves;
  }

  void serves(boolean now) {
    serves = now;
  }

  /** Whether clients are to be elsewhere. */
  boolean sentAway() {
    return sentAway;
  }

  void sendAway() {
    sentAway = true;
    changed.run();
  }

  void takeBack() {
    sentAway = false;
    changed.run();
  }
}
