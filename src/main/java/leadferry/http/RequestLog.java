package leadferry.http;

import io.netty.channel.Channel;
import leadferry.engine.Exchange;
import leadferry.engine.Log;

/**
 * The log's lines about one client connection and its requests; none where the log has no use for
 * details.
 */
final class RequestLog {
  private final Log log;
  private final Channel channel;

  RequestLog(Log log, Channel channel) {
    this.log = log;
    this.channel = channel;
  }

  /** The word for a response of our own. */
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
   * A request was not served.
   *
   * @param status what its client was told, or null
   * @param call what the engine has of it, or null
   * @param filterResult of the filter, or null
   * @param sinceNanos when (ns) it came, 0 if that is not known
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

  /** This side closes the connection. */
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

  /** The connection broke. */
  void logFailed(Throwable cause, HttpCall call) {
    if (log.isDetailEnabled()) {
      log.detail("client connection failed", "cause", cause.getMessage(), "id", id(call));
    }
  }

  private static String id(HttpCall call) {
    return call == null ? null : call.requestId();
  }
}
