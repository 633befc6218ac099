package leadferry.http;

import io.netty.channel.Channel;
import leadferry.engine.Exchange;
import leadferry.engine.Log;

/**
 * Logs events of one client connection and its requests; does nothing unless the log records
 * details.
 */
final class RequestLog {
  private final Log log;
  private final Channel channel;

  RequestLog(Log log, Channel channel) {
    this.log = log;
    this.channel = channel;
  }

  /** Returns the logged outcome of a local response with this status. */
  static String outcome(int status) {
    return switch (status) {
      case 429 -> "limited";
      case 502 -> "failed";
      case 503 -> "refused";
      case 504 -> "timed-out";
      default -> "turned-away";
    };
  }

  /**
   * Logs a request that was not served.
   *
   * @param status status sent to the client, or null
   * @param call the call of the request in the engine, or null
   * @param filterResult filter result of the request, or null
   * @param sinceNanos {@link System#nanoTime} at which the request was received, 0 if unknown
   */
  void logRequest(
      String outcome, Integer status, HttpCall call, FilterResult filterResult, long sinceNanos) {
    if (!log.isDetailEnabled()) {
      return;
    }
    FilterResult.Origin origin = filterResult == null ? null : filterResult.origin();
    Exchange exchange = call == null ? null : call.exchange();
    log.detail(
        "request",
        "outcome",
        outcome,
        "status",
        status,
        "route",
        origin == null ? null : origin.route(),
        "class",
        origin == null ? null : origin.className(),
        "limit",
        origin == null ? null : origin.limit(),
        "pool",
        exchange == null ? null : exchange.poolName(),
        "server",
        exchange == null ? null : exchange.lastServer(),
        "attempt",
        exchange == null ? null : exchange.attemptCount(),
        "ms",
        sinceNanos == 0 ? null : (System.nanoTime() - sinceNanos) / 1_000_000,
        "client",
        channel.remoteAddress(),
        "id",
        id(call));
  }

  /**
   * Logs a request that is ended because part of its body was unread for its whole time.
   *
   * @param call the call of the request in the engine, or null
   */
  void logUnreadBody(HttpCall call, long receivedBytes, long unreadBytes, double unreadMillis) {
    if (log.isDetailEnabled()) {
      log.detail(
          "request body unread",
          "received",
          receivedBytes,
          "unread",
          unreadBytes,
          "ms",
          Math.round(unreadMillis),
          "server",
          call == null ? null : call.exchange().lastServer(),
          "id",
          id(call));
    }
  }

  /** Logs that the load balancer closes the connection. */
  void logClosed(CloseReason reason, HttpCall call) {
    if (log.isDetailEnabled()) {
      log.detail(
          "client connection closed",
          "reason",
          reason,
          "id",
          id(call),
          "client",
          channel.remoteAddress());
    }
  }

  /**
   * Logs that a connection is closed before all of a response was passed to the kernel.
   *
   * @param unsentBytes bytes of the response that the kernel has not taken
   * @param quietMillis time since the kernel last took part of the connection's output
   */
  void logCutOff(CloseReason reason, long unsentBytes, long quietMillis) {
    log.event(
        "response cut off",
        "reason",
        reason,
        "unsent",
        unsentBytes,
        "quiet",
        quietMillis,
        "client",
        channel.remoteAddress());
  }

  /** Logs an I/O error of the connection. */
  void logFailed(Throwable cause, HttpCall call) {
    if (log.isDetailEnabled()) {
      log.detail("client connection failed", "cause", cause.getMessage(), "id", id(call));
    }
  }

  private static String id(HttpCall call) {
    return call == null ? null : call.requestId();
  }
}
