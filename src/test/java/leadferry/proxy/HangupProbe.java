package leadferry.proxy;

import leadferry.engine.Signals;

/** A process that says whether SIGHUP will reach it. */
final class HangupProbe {
  private HangupProbe() {}

  public static void main(String[] args) {
    System.out.println("taken " + Signals.onHangup(() -> {}));
  }
}
