package leadferry.engine;

/**
 * Margin by which each time limit on sockets exceeds the limit in the settings, according to the
 * protocol documentation. Covers the delay of messages in transit.
 */
public final class SocketSlack {
  /** The margin in milliseconds. */
  public static final long MS = 50;

  /** The same margin in nanoseconds. */
  public static final long NANOS = MS * 1_000_000;

  private SocketSlack() {}
}
