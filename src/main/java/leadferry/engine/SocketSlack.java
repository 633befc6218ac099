package leadferry.engine;

/**
 * By how much each time limit is longer on sockets than in the settings, by the protocol page: what
 * crosses on its way may be so late.
 */
public final class SocketSlack {
  /** In milliseconds. */
  public static final long MS = 50;

  /** In nanoseconds. */
  public static final long NANOS = MS * 1_000_000;

  private SocketSlack() {}
}
