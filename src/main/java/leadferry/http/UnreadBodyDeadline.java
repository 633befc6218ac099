package leadferry.http;

import io.netty.channel.socket.SocketChannel;

/**
 * Ends a request in its time although its body is not read to its end. The time of a request starts
 * with its last byte, which may stand unread in the kernel while reading is paused: because an
 * upstream host takes no more of a streamed body, because an attempt waits for its connection, or
 * because memory for bodies is used up.
 *
 * <p>Used only on the connection's event loop.
 */
final class UnreadBodyDeadline {
  private static final double NANOS_PER_MILLI = 1e6;

  private final ClientConnection client;
  private final HttpServer server;
  private final UnreadInputWatch unreadInput;

  UnreadBodyDeadline(ClientConnection client, HttpServer server, SocketChannel channel) {
    this.client = client;
    this.server = server;
    this.unreadInput = new UnreadInputWatch(channel, server.transport());
  }

  /**
   * Starts to guard a streamed request that has {@code budgetMillis} from its last byte on. Also
   * bounds the time for which an upstream host may take nothing while more is to come. {@code
   * totalBytes} is the length of the body, or -1 if unknown.
   */
  void startForUpload(RequestBodyUpload upload, long totalBytes, double budgetMillis) {
    unreadInput.start(upload::receivedBytes, totalBytes, () -> expireIfDue(upload, budgetMillis));
  }

  private void expireIfDue(RequestBodyUpload upload, double budgetMillis) {
    upload.updateProgress();
    long nowNanos = System.nanoTime();
    double unreadMillis = unreadInput.unreadNanos(nowNanos) / NANOS_PER_MILLI;
    double pausedMillis = upload.pausedNanos(nowNanos) / NANOS_PER_MILLI;
    boolean isDue =
        unreadMillis >= budgetMillis || pausedMillis >= server.settings().receiveTimeoutMillis();
    if (isDue && client.call() != null) {
      unreadInput.stop();
      client.logUnreadBody(upload.receivedBytes(), unreadInput.unreadBytes(), unreadMillis);
      client.call().exchange().expire();
    }
  }

  /**
   * Starts to guard a request that waits for memory and has {@code budgetMillis} from its last byte
   * on. Nothing of it has been sent, so it can be rejected. {@code totalBytes} is the length of the
   * body, or -1 if unknown.
   */
  void startForHeldBody(RequestBodyBuffer buffer, long totalBytes, double budgetMillis) {
    unreadInput.start(buffer::heldBytes, totalBytes, () -> rejectIfDue(buffer, budgetMillis));
  }

  private void rejectIfDue(RequestBodyBuffer buffer, double budgetMillis) {
    double unreadMillis = unreadInput.unreadNanos(System.nanoTime()) / NANOS_PER_MILLI;
    if (buffer.isPaused() && unreadMillis >= budgetMillis - RequestIntake.MIN_REMAINING_MILLIS) {
      unreadInput.stop();
      client.logUnreadBody(buffer.heldBytes(), unreadInput.unreadBytes(), unreadMillis);
      server.recordMemoryRejection();
      client.reject(503);
    }
  }

  /** Ends the guard: the request is over. */
  void stop() {
    unreadInput.stop();
  }

  /** Ends the guard; returns the time (ms) for which the last byte was unread. */
  double onLastByteRead() {
    double ageMillis = unreadInput.lastByteAgeNanos(System.nanoTime()) / NANOS_PER_MILLI;
    unreadInput.stop();
    return ageMillis;
  }
}
