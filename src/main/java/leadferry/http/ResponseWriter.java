package leadferry.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Locale;
import leadferry.engine.Body;

/**
 * Writes the responses of a client connection.
 *
 * <p>Used only on the connection's event loop.
 */
final class ResponseWriter {
  /** Time (ns) without content after which a streamed response is aborted. */
  private static final long STREAM_STALLED_NANOS = 30_000_000_000L;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final ClientConnection client;
  private final HttpServer server;
  private final SocketChannel channel;
  private final OutputProgress output;
  private long lastContentNanos;

  ResponseWriter(
      ClientConnection client, HttpServer server, SocketChannel channel, OutputProgress output) {
    this.client = client;
    this.server = server;
    this.channel = channel;
    this.output = output;
  }

  /** Sends a local response, which the load balancer generates. */
  void send(int status, double retryAfterMillis) {
    client.logLocalResponse(status);
    DefaultFullHttpResponse message =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.EMPTY_BUFFER);
    message.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    if (retryAfterMillis > 0) {
      message
          .headers()
          .set(
              HttpHeaderNames.RETRY_AFTER,
              server.settings().daemon()
                  ? Long.toString((long) Math.ceil(retryAfterMillis / MILLIS_PER_SECOND))
                  : String.format(Locale.ROOT, "%.3f", retryAfterMillis / MILLIS_PER_SECOND));
    }
    setConnectionHeader(message);
    trackWrite(channel.writeAndFlush(message));
  }

  /** Sends a complete response of an upstream host with this status. */
  void send(HttpResponse response, HttpResponseStatus status, Body body, HttpHeaders trailers) {
    HttpHeaders headers = response.headers();
    Headers.removeHopByHop(headers);
    boolean isHead = client.call().isHead();
    boolean hasTrailers = !trailers.isEmpty() && !client.isHttp10() && !isHead;
    if (hasTrailers) {
      headers.remove(HttpHeaderNames.CONTENT_LENGTH);
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    } else if (!isHead) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, body == null ? 0 : body.size());
    }
    ByteBuf bytes = body == null ? Unpooled.EMPTY_BUFFER : joinBlocks(body);
    DefaultFullHttpResponse message =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, bytes, headers, hasTrailers ? trailers : Headers.EMPTY);
    setConnectionHeader(message);
    ChannelFuture writeFuture = channel.writeAndFlush(message);
    if (body != null) {
      writeFuture.addListener(f -> body.release());
    }
    trackWrite(writeFuture);
  }

  /** Sends the error response of an upstream host that ends the request. */
  void sendError(
      HttpResponse response, HttpResponseStatus status, Body body, HttpHeaders trailers) {
    client.logOutcome("server-error", status.code());
    send(response, status, body, trailers);
  }

  /**
   * Closes the connection if the client has disconnected, even if the end of its stream has not
   * been read yet; returns true if the connection was closed.
   */
  boolean closeIfDisconnected() {
    return client.closeIfDisconnected();
  }

  /** Returns the budget for message heads. */
  HeadBudget headBudget() {
    return server.headBudget();
  }

  private static ByteBuf joinBlocks(Body body) {
    ByteBuf[] blocks = body.retainedBlocks().toArray(ByteBuf[]::new);
    return blocks.length == 1 ? blocks[0] : Unpooled.wrappedBuffer(blocks);
  }

  private void setConnectionHeader(HttpResponse message) {
    if (client.decideLastResponse()) {
      message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    } else if (client.isHttp10()) {
      message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
    }
  }

  private void trackWrite(ChannelFuture writeFuture) {
    lastContentNanos = 0;
    client.onResponseSubmitted(writeFuture);
  }

  // --- streamed response

  /** Whether a response of this length (-1 if unknown) can be streamed to this client. */
  boolean canStream(long lengthBytes) {
    // An HTTP/1.0 client can't distinguish the end of a response of unknown length from an abort.
    return lengthBytes >= 0 || !client.isHttp10();
  }

  /** Writes the head of a streamed response. */
  void beginStream(HttpResponse response, long lengthBytes) {
    HttpHeaders headers = response.headers();
    Headers.removeHopByHop(headers);
    if (lengthBytes < 0) {
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    HttpResponse message =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status(), headers);
    setConnectionHeader(message);
    lastContentNanos = System.nanoTime();
    channel.writeAndFlush(message);
  }

  /**
   * Writes part of the body; returns false if the sender has to wait for {@link
   * HttpCall#onClientWritable}.
   */
  boolean writeStreamContent(ByteBuf bytes) {
    lastContentNanos = System.nanoTime();
    channel.writeAndFlush(new DefaultHttpContent(bytes));
    return channel.isWritable();
  }

  /** Writes the end of a streamed response. */
  void finishStream(HttpHeaders trailers) {
    trackWrite(channel.writeAndFlush(HttpCall.lastContent(trailers)));
  }

  /**
   * Aborts a streamed response: the connection closes without the end of the body, so that the
   * client detects the incomplete response.
   */
  void abortStream() {
    client.logOutcome("cut", null);
    client.markFinished();
    if (channel.isOpen()) { // the client's disconnect may be the cause
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.close();
    }
  }

  // --- time limits

  /** Whether the upstream host has stalled during a streamed response that its client received. */
  boolean isStreamStalled(long nowNanos) {
    return lastContentNanos != 0
        && !output.isPending()
        && nowNanos - Math.max(lastContentNanos, output.pendingAtNanos()) > STREAM_STALLED_NANOS;
  }
}
