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

/** The way out of a client's connection: writes its answers, and knows how far they have got. */
final class ResponseWriter {
  /** A client that takes nothing of its answer for so long (ns) has gone. */
  private static final long STALL_NANOS = 5_000_000_000L;

  /** An answer that streams and of which nothing moves for so long (ns) never ends. */
  private static final long STILL_NANOS = 30_000_000_000L;

  private final ClientConnection client;
  private final HttpServer front;
  private final SocketChannel channel;
  private long writingSince;
  private long movedAt;

  ResponseWriter(ClientConnection client, HttpServer front, SocketChannel channel) {
    this.client = client;
    this.front = front;
    this.channel = channel;
  }

  /** An answer of our own. */
  void answer(int status, double coolDownMs) {
    client.logOwnResponse(status);
    DefaultFullHttpResponse r =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.EMPTY_BUFFER);
    r.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    if (coolDownMs > 0) {
      r.headers()
          .set(
              HttpHeaderNames.RETRY_AFTER,
              front.settings().daemon()
                  ? Long.toString((long) Math.ceil(coolDownMs / 1_000))
                  : String.format(Locale.ROOT, "%.3f", coolDownMs / 1_000));
    }
    markClose(r);
    answered(channel.writeAndFlush(r));
  }

  /** A host's answer that has come whole; {@code as} is the status that its client is told. */
  void answer(HttpResponse reply, HttpResponseStatus as, Body whole, HttpHeaders trailers) {
    HttpHeaders h = reply.headers();
    Headers.dropHopByHop(h);
    boolean isHead = client.call().isHead();
    boolean trails = !trailers.isEmpty() && !client.oldVersion() && !isHead;
    if (trails) {
      h.remove(HttpHeaderNames.CONTENT_LENGTH);
      h.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    } else if (!isHead) {
      h.set(HttpHeaderNames.CONTENT_LENGTH, whole == null ? 0 : whole.size());
    }
    ByteBuf bytes = whole == null ? Unpooled.EMPTY_BUFFER : joined(whole);
    DefaultFullHttpResponse r =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, as, bytes, h, trails ? trailers : Headers.NONE);
    markClose(r);
    ChannelFuture written = channel.writeAndFlush(r);
    if (whole != null) {
      written.addListener(f -> whole.free());
    }
    answered(written);
  }

  /** A host's error that ends the request. */
  void error(HttpResponse reply, HttpResponseStatus as, Body whole, HttpHeaders trailers) {
    client.logOutcome("server-error", as.code());
    answer(reply, as, whole, trailers);
  }

  /** Whether the client has left, and has not been read. */
  boolean abandoned() {
    return client.closeIfGoneBetweenRequests();
  }

  private static ByteBuf joined(Body whole) {
    ByteBuf[] blocks = whole.retained().toArray(ByteBuf[]::new);
    return blocks.length == 1 ? blocks[0] : Unpooled.wrappedBuffer(blocks);
  }

  private void markClose(HttpResponse r) {
    if (client.decideLastResponse()) {
      r.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    } else if (client.oldVersion()) {
      r.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
    }
  }

  private void answered(ChannelFuture written) {
    movedAt = 0;
    if (client.responded(written) && !written.isDone()) {
      writingSince = System.nanoTime();
      written.addListener(f -> writingSince = 0);
    }
  }

  // --- an answer that streams

  /** Whether an answer of this length, -1 for not told, can go on while it comes. */
  boolean canStream(long length) {
    return length >= 0
        || !client.oldVersion(); // to HTTP/1.0 the end of such a one can't be told from a cut
  }

  /** The head of an answer whose body goes on while it comes. */
  void begin(HttpResponse reply, long length) {
    HttpHeaders h = reply.headers();
    Headers.dropHopByHop(h);
    if (length < 0) {
      h.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    HttpResponse r = new DefaultHttpResponse(HttpVersion.HTTP_1_1, reply.status(), h);
    markClose(r);
    movedAt = System.nanoTime();
    channel.writeAndFlush(r);
  }

  /** Part of its body; false if no more should come until {@link HttpCall#writable}. */
  boolean pass(ByteBuf bytes) {
    movedAt = System.nanoTime();
    channel.writeAndFlush(new DefaultHttpContent(bytes));
    return channel.isWritable();
  }

  /** Its end. */
  void finish(HttpHeaders trailers) {
    answered(channel.writeAndFlush(HttpCall.last(trailers)));
  }

  /**
   * It can't be finished: the connection ends without the mark of its end, so that the client can
   * tell.
   */
  void cut() {
    client.logOutcome("cut", null);
    client.finish();
    if (channel.isOpen()) { // it may be its client's end that cuts it
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.close();
    }
  }

  /** The client takes more. */
  void writable() {
    movedAt = movedAt == 0 ? 0 : System.nanoTime();
  }

  // --- upkeep

  /** Whether an answer is not written yet to its last byte. */
  boolean writing() {
    return writingSince != 0;
  }

  /** Whether the client takes no more of an answer that was given whole. */
  boolean stalled(long now) {
    return now - writingSince > STALL_NANOS;
  }

  /** Whether a host, or a client, has stopped in the middle of an answer that streams. */
  boolean still(long now) {
    return movedAt != 0 && now - movedAt > STILL_NANOS;
  }
}
