package leadferry.consensus;

/** Waits between two looks; an interrupt ends the wait and stays set. */
public final class Pause {
  private Pause() {}

  /** So many milliseconds. */
  public static void of(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
