package leadferry.http;

import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * The head of the present request: its framing is checked, and the {@link RequestFilter} asked what
 * becomes of it.
 */
final class RequestHead {
  private final HttpServer server;
  private final SocketChannel channel;
  private HttpRequest request;
  private FilterResult filterResult;
  private boolean http10;
  private long announcedBodyBytes;
  private long receivedAtNanos;

  RequestHead(HttpServer server, SocketChannel channel) {
    this.server = server;
    this.channel = channel;
  }

  /**
   * Takes the head that came at {@code atNanos} ({@link System#nanoTime}); returns the status to
   * reject the request with, or 0.
   */
  int read(HttpRequest next, long atNanos) {
    request = next;
    receivedAtNanos = atNanos;
    http10 = next.protocolVersion().equals(HttpVersion.HTTP_1_0);
    int fault =
        Framing.rejectionStatus(
            next, server.filter().inspectedHeaders(), server.settings().daemon());
    filterResult =
        fault != 0
            ? FilterResult.reject(fault)
            : server.filter().evaluate(next, channel.remoteAddress());
    announcedBodyBytes = HttpUtil.getContentLength(next, 0L);
    if (fault == 0 && announcedBodyBytes > maxBodyBytes()) {
      return 413;
    }
    return filterResult.closesConnection() ? filterResult.status() : 0;
  }

  /** Bytes of the request's body that may come at all. */
  private long maxBodyBytes() {
    return filterResult.streaming() == Streaming.NEVER
        ? server.settings().maxHeldBodyBytes()
        : server.settings().maxStreamedBodyBytes();
  }

  /** What the filter made of it; null without a request, or once that was released. */
  FilterResult filterResult() {
    return filterResult;
  }

  /** Whether the request is one of HTTP/1.0. */
  boolean isHttp10() {
    return http10;
  }

  /** When ({@link System#nanoTime}) the head had come. */
  long receivedAtNanos() {
    return receivedAtNanos;
  }

  /** Whether the request goes to a pool, and is not answered here. */
  boolean isForwarded() {
    return filterResult.status() == 0;
  }

  /** Whether the client waits to be told that it may send the body (RFC 9110, 10.1.1). */
  boolean expectsContinue() {
    return HttpUtil.is100ContinueExpected(request);
  }

  /** Whether a body follows that is forwarded from its first byte on. */
  boolean shouldStreamFromStart() {
    return filterResult.streaming() == Streaming.ALWAYS
        && (announcedBodyBytes > 0 || HttpUtil.isTransferEncodingChunked(request));
  }

  /** Bytes of the body by its head, or -1 if not told. */
  long contentLength() {
    return HttpUtil.getContentLength(request, -1L);
  }

  /** The request, which is the engine's from here on if it takes it. */
  HttpRequest request() {
    return request;
  }

  /**
   * Lets go of the request; what the filter made of it stays until {@link #releaseFilterResult}.
   */
  void clearRequest() {
    request = null;
  }

  /** The request has its response, or never gets one: what the filter counts it for is over. */
  void releaseFilterResult() {
    if (filterResult != null) {
      Runnable done = filterResult.onDone();
      filterResult = null;
      done.run();
    }
  }
}
