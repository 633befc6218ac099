package leadferry.http;

import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Head of the current request: validates its framing and evaluates it with the {@link
 * RequestFilter}.
 */
final class RequestHead {
  private final HttpServer server;
  private final SocketChannel channel;
  private HttpRequest request;
  private FilterResult filterResult;
  private boolean http10;
  private long announcedBodyBytes;
  private long receivedAtNanos;
  private HeadBudget.Reservation memory;

  RequestHead(HttpServer server, SocketChannel channel) {
    this.server = server;
    this.channel = channel;
  }

  /**
   * Evaluates a head that was received at {@code atNanos} ({@link System#nanoTime}); returns the
   * status with which to reject the request, or 0.
   */
  int evaluate(HttpRequest newRequest, long atNanos) {
    request = newRequest;
    receivedAtNanos = atNanos;
    http10 = newRequest.protocolVersion().equals(HttpVersion.HTTP_1_0);
    int rejectionStatus =
        Framing.rejectionStatus(
            newRequest, server.filter().inspectedHeaders(), server.settings().daemon());
    filterResult =
        rejectionStatus != 0
            ? FilterResult.reject(rejectionStatus)
            : server.filter().evaluate(newRequest, channel.remoteAddress());
    memory = server.headBudget().open();
    if (!memory.resize(HeadBudget.sizeOf(newRequest.headers(), newRequest.uri().length()))) {
      server.recordHeadRejection();
      return 503;
    }
    announcedBodyBytes = HttpUtil.getContentLength(newRequest, 0L);
    if (rejectionStatus == 0 && announcedBodyBytes > maxBodyBytes()) {
      return 413;
    }
    return filterResult.closesConnection() ? filterResult.status() : 0;
  }

  /** Returns the maximum size in bytes of the request body. */
  private long maxBodyBytes() {
    return filterResult.streaming() == Streaming.NEVER
        ? server.settings().maxHeldBodyBytes()
        : server.settings().maxStreamedBodyBytes();
  }

  /**
   * Returns the filter result, or null before the first request and after {@link
   * #releaseFilterResult}.
   */
  FilterResult filterResult() {
    return filterResult;
  }

  /** Whether the request uses HTTP/1.0. */
  boolean isHttp10() {
    return http10;
  }

  /** Returns the {@link System#nanoTime} at which the head was received. */
  long receivedAtNanos() {
    return receivedAtNanos;
  }

  /** Whether the request is forwarded to a pool instead of getting a local response. */
  boolean isForwarded() {
    return filterResult.status() == 0;
  }

  /**
   * Whether the client waits for {@code 100 Continue} before it sends the body (RFC 9110, 10.1.1).
   */
  boolean expectsContinue() {
    return HttpUtil.is100ContinueExpected(request);
  }

  /** Whether the request has a body that is streamed from its first byte. */
  boolean shouldStreamFromStart() {
    return filterResult.streaming() == Streaming.ALWAYS
        && (announcedBodyBytes > 0 || HttpUtil.isTransferEncodingChunked(request));
  }

  /** Returns the announced length of the body in bytes, or -1 if unknown. */
  long contentLength() {
    return HttpUtil.getContentLength(request, -1L);
  }

  /** Returns the memory of the head and transfers it to the caller, who must release it. */
  HeadBudget.Reservation takeMemory() {
    HeadBudget.Reservation taken = memory;
    memory = null;
    return taken;
  }

  /** Returns the request. It belongs to the engine once the engine has accepted the call. */
  HttpRequest request() {
    return request;
  }

  /**
   * Drops the reference to the request; the filter result stays until {@link #releaseFilterResult}.
   */
  void clearRequest() {
    request = null;
  }

  /**
   * Runs the completion callback of the filter result; called when the request has its response or
   * was dropped.
   */
  void releaseFilterResult() {
    if (memory != null) {
      memory.release();
      memory = null;
    }
    if (filterResult != null) {
      Runnable done = filterResult.onDone();
      filterResult = null;
      done.run();
    }
  }
}
