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
 * The way out of a client's connection: writes its responses, and knows how far they have got.
 *
 * <p>Used on the connection's event loop alone.
 */
final class ResponseWriter {
  /** A client that takes nothing of its answer for so long (ns) has gone. */
  private static final long CLIENT_STALLED_NANOS = 5_000_000_000L;

  /** An answer that streams and of which nothing moves for so long (ns) never ends. */
  private static final long STREAM_STALLED_NANOS = 30_000_000_000L;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final ClientConnection client;
  private final HttpServer server;
  private final SocketChannel channel;
  private long writingSinceNanos;
  private long lastProgressNanos;

  ResponseWriter(ClientConnection client, HttpServer server, SocketChannel channel) {
    this.client = client;
    this.server = server;
    this.channel = channel;
  }

  /** An answer of our own. */
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

  /** A host's answer that has come whole; {@code status} is the status that its client is told. */
  void send(HttpResponse response, HttpResponseStatus status, Body whole, HttpHeaders trailers) {
    HttpHeaders headers = response.headers();
    Headers.removeHopByHop(headers);
    boolean isHead = client.call().isHead();
    boolean hasTrailers = !trailers.isEmpty() && !client.isHttp10() && !isHead;
    if (hasTrailers) {
      headers.remove(HttpHeaderNames.CONTENT_LENGTH);
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    } else if (!isHead) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, whole == null ? 0 : whole.size());
    }
    ByteBuf bytes = whole == null ? Unpooled.EMPTY_BUFFER : joinBlocks(whole);
    DefaultFullHttpResponse message =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, bytes, headers, hasTrailers ? trailers : Headers.EMPTY);
    setConnectionHeader(message);
    ChannelFuture written = channel.writeAndFlush(message);
    if (whole != null) {
      written.addListener(f -> whole.release());
    }
    trackWrite(written);
  }

  /** A host's error that ends the request. */
  void sendError(
      HttpResponse response, HttpResponseStatus status, Body whole, HttpHeaders trailers) {
    client.logOutcome("server-error", status.code());
    send(response, status, whole, trailers);
  }

  /** Whether the client has left, and has not been read. */
  boolean closeIfDisconnected() {
    return client.closeIfDisconnectedBetweenRequests();
  }

  private static ByteBuf joinBlocks(Body whole) {
    ByteBuf[] blocks = whole.retainedBlocks().toArray(ByteBuf[]::new);
    return blocks.length == 1 ? blocks[0] : Unpooled.wrappedBuffer(blocks);
  }

  private void setConnectionHeader(HttpResponse message) {
    if (client.decideLastResponse()) {
      message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    } else if (client.isHttp10()) {
      message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
    }
  }

  private void trackWrite(ChannelFuture written) {
    lastProgressNanos = 0;
    if (client.onResponseSubmitted(written) && !written.isDone()) {
      writingSinceNanos = System.nanoTime();
      written.addListener(f -> writingSinceNanos = 0);
    }
  }

  // --- an answer that streams

  /** Whether an answer of this length, -1 for not told, can go on while it comes. */
  boolean canStream(long lengthBytes) {
    return lengthBytes >= 0
        || !client.isHttp10(); // to HTTP/1.0 the end of such a one can't be told from a cut
  }

  /** The head of an answer whose body goes on while it comes. */
  void beginStream(HttpResponse response, long lengthBytes) {
    HttpHeaders headers = response.headers();
    Headers.removeHopByHop(headers);
    if (lengthBytes < 0) {
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    HttpResponse message =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status(), headers);
    setConnectionHeader(message);
    lastProgressNanos = System.nanoTime();
    channel.writeAndFlush(message);
  }

  /** Part of its body; false if no more should come until {@link HttpCall#onClientWritable}. */
  boolean writeStreamContent(ByteBuf bytes) {
    lastProgressNanos = System.nanoTime();
    channel.writeAndFlush(new DefaultHttpContent(bytes));
    return channel.isWritable();
  }

  /** Its end. */
  void finishStream(HttpHeaders trailers) {
    trackWrite(channel.writeAndFlush(HttpCall.lastContent(trailers)));
  }

  /**
   * It can't be finished: the connection ends without the mark of its end, so that the client can
   * tell.
   */
  void abortStream() {
    client.logOutcome("cut", null);
    client.markFinished();
    if (channel.isOpen()) { // it may be its client's end that cuts it
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.close();
    }
  }

  /** The client takes more. */
  void onWritable() {
    lastProgressNanos = lastProgressNanos == 0 ? 0 : System.nanoTime();
  }

  // --- upkeep

  /** Whether an answer is not written yet to its last byte. */
  boolean isWriting() {
    return writingSinceNanos != 0;
  }

  /** Whether the client takes no more of an answer that was given whole. */
  boolean isStalled(long nowNanos) {
    return nowNanos - writingSinceNanos > CLIENT_STALLED_NANOS;
  }

  /** Whether a host, or a client, has stopped in the middle of an answer that streams. */
  boolean isStreamStalled(long nowNanos) {
    return lastProgressNanos != 0 && nowNanos - lastProgressNanos > STREAM_STALLED_NANOS;
  }
}
