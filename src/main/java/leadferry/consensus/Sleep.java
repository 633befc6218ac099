package leadferry.consensus;

/** Waits between two attempts or polls; an interrupt ends the wait and stays set. */
public final class Sleep {
  private Sleep() {}

  /** Waits so many milliseconds. */
  public static void millis(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
