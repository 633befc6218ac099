package leadferry.http;

import java.util.ArrayDeque;

/**
 * Arrivals of a request body for as long as part of it stands unread, and the earliest time at
 * which its client can have written its last byte. That time may lie before the arrival: while the
 * receiving kernel has no room, what a client has written waits in the kernel of the client.
 *
 * <p>Used only on the connection's event loop. Instants are values of {@link System#nanoTime}.
 */
final class ArrivalHistory {
  /**
   * Maximum number of bytes that a client's kernel holds back: Linux's default of {@code
   * net.ipv4.tcp_wmem}.
   */
  static final long MAX_CLIENT_BUFFER_BYTES = 4L << 20;

  /** Maximum number of samples; older ones are dropped. */
  private static final int MAX_SAMPLES = 1_024;

  /** Number of bytes that had arrived at an instant. */
  private record Sample(long atNanos, long arrivedBytes) {}

  private final ArrayDeque<Sample> samples = new ArrayDeque<>();

  /** Starts anew: at this instant nothing stands unread, so the client holds nothing back. */
  void restart(long nowNanos, long arrivedBytes) {
    samples.clear();
    samples.add(new Sample(nowNanos, arrivedBytes));
  }

  /** Adds the number of bytes that have arrived by now, part of which stands unread. */
  void add(long nowNanos, long arrivedBytes) {
    if (samples.size() >= MAX_SAMPLES) {
      samples.removeFirst();
    }
    samples.addLast(new Sample(nowNanos, arrivedBytes));
  }

  /**
   * Returns the longest time (ns) for which the last byte of the body can have been written; 0 if
   * more is to come than a client's kernel holds.
   *
   * @param totalBytes length of the body, or -1 if unknown
   */
  long lastByteAgeNanos(long nowNanos, long arrivedBytes, long totalBytes) {
    long writtenBytes = (totalBytes < 0 ? arrivedBytes : totalBytes) - MAX_CLIENT_BUFFER_BYTES;
    if (samples.isEmpty() || arrivedBytes < writtenBytes) {
      return 0;
    }
    long earliestNanos = samples.peekFirst().atNanos();
    for (Sample sample : samples) {
      if (sample.arrivedBytes() >= writtenBytes) {
        break;
      }
      earliestNanos = sample.atNanos();
    }
    return nowNanos - earliestNanos;
  }
}
