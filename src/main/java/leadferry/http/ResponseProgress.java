package leadferry.http;

import leadferry.engine.Exchange;
import leadferry.loadbalancer.AttemptOutcome;

/**
 * Progress of one response of an upstream host: when its head and its last bytes arrived, how much
 * of it has come, and what that says about its length. Times are in ms on the load balancer's
 * clock.
 *
 * <p>Used only on the attempt's event loop.
 */
final class ResponseProgress {
  /**
   * Least mean rate (bytes per ms) at which an overdue response of unknown length counts as being
   * written: an eighth of what the slowest sender of the protocol sends.
   */
  private static final double MIN_OVERDUE_BYTES_PER_MILLI = 8;

  /** Pause (ms) after which an overdue response of unknown length no longer counts as written. */
  private static final double MAX_OVERDUE_PAUSE_MILLIS = 2_000;

  private final long lengthBytes;
  private final long maxHeldBytes;
  private final double headAtMillis;
  private double receivedAtMillis;
  private long forwardedBytes;

  /**
   * Creates the progress of a response whose head arrived at {@code headAtMillis}.
   *
   * @param lengthBytes announced length of the body, or -1
   * @param maxHeldBytes bytes of a body that are held in memory; a body above it is long
   */
  ResponseProgress(long lengthBytes, long maxHeldBytes, double headAtMillis) {
    this.lengthBytes = lengthBytes;
    this.maxHeldBytes = maxHeldBytes;
    this.headAtMillis = headAtMillis;
    this.receivedAtMillis = headAtMillis;
  }

  /** Returns the announced length of the body in bytes, or -1 if unknown. */
  long lengthBytes() {
    return lengthBytes;
  }

  /** Returns the number of bytes of the body that were passed to the client. */
  long forwardedBytes() {
    return forwardedBytes;
  }

  /** Records that part of the body has arrived. */
  void onReceived(double nowMillis) {
    receivedAtMillis = nowMillis;
  }

  /** Records that part of the body is passed to the client. */
  void onForwarded(int bytes) {
    forwardedBytes += bytes;
  }

  /** Returns the time (ms) since the head arrived. */
  double ageMillis(double nowMillis) {
    return nowMillis - headAtMillis;
  }

  /** Returns the time (ms) since the last bytes arrived. */
  double pauseMillis(double nowMillis) {
    return nowMillis - receivedAtMillis;
  }

  /**
   * Whether the response is longer than what is held in memory, by its announced length or by what
   * has come of it.
   */
  boolean isLong() {
    return lengthBytes > maxHeldBytes || forwardedBytes > maxHeldBytes;
  }

  /** Whether the host has kept up a rate that only a long response has, and has not stopped. */
  boolean isBeingWritten(double nowMillis) {
    return pauseMillis(nowMillis) < MAX_OVERDUE_PAUSE_MILLIS
        && forwardedBytes >= MIN_OVERDUE_BYTES_PER_MILLI * ageMillis(nowMillis);
  }

  /**
   * Logs the end of a response that does not end as its framing says; {@code heldBytes} of it were
   * not passed to the client.
   */
  void logCutOff(Exchange exchange, AttemptOutcome outcome, long heldBytes, double nowMillis) {
    exchange
        .log()
        .event(
            "response cut off",
            "reason",
            outcome == AttemptOutcome.TIMEOUT ? "deadline" : "upstream",
            "forwarded",
            forwardedBytes,
            "held",
            heldBytes,
            "ms",
            Math.round(ageMillis(nowMillis)),
            "pause",
            Math.round(pauseMillis(nowMillis)),
            "server",
            exchange.lastServer(),
            "id",
            exchange.requestId());
  }
}
