package leadferry.consensus;

/**
 * Waits between two attempts or polls. An interrupt ends the wait, and the thread stays
 * interrupted.
 */
public final class Sleep {
  private Sleep() {}

  /** Waits for {@code millis}. */
  public static void millis(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
