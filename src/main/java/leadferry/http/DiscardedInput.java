package leadferry.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;

/** What is read of a client only to be thrown away, because its request has a response already. */
final class DiscardedInput {
  /**
   * How much (bytes) of a message that is answered already is read, so that its client sees its
   * response.
   */
  private static final int MAX_LINGER_BYTES = 1 << 20;

  private final ClientConnection client;
  private final SocketChannel channel;
  private final RequestDecoder decoder;
  private final long maxSkippedBytes;
  private boolean skipping;
  private long discardedBytes;

  DiscardedInput(
      ClientConnection client, HttpServer server, SocketChannel channel, RequestDecoder decoder) {
    this.client = client;
    this.channel = channel;
    this.decoder = decoder;
    this.maxSkippedBytes = server.settings().maxStreamedBodyBytes();
  }

  /** Whether the rest of a request is thrown away, after which its connection goes on. */
  boolean isSkipping() {
    return skipping;
  }

  /** A response has gone; {@code skipRest} tells whether the rest of its request still comes. */
  void onResponseSubmitted(boolean skipRest) {
    skipping = skipRest;
    discardedBytes = 0;
  }

  /** Nothing is left to throw away of the present request. */
  void reset() {
    discardedBytes = 0;
  }

  /** Counts part of a body whose response is known; whether it is not worth reading on for that. */
  boolean countAndCheckLimit(ByteBuf bytes) {
    discardedBytes += bytes.readableBytes();
    return discardedBytes > MAX_LINGER_BYTES;
  }

  /** What comes behind the last response. */
  void discard(Object message) {
    discardedBytes += readableBytes(message);
    if (discardedBytes > MAX_LINGER_BYTES) {
      channel.close();
    }
  }

  /**
   * The rest of a request that was answered before all of it came. Guards against a close that
   * overtakes the response: who writes slowly reads it only then.
   */
  void skip(HttpObject part) {
    discardedBytes += readableBytes(part);
    if (part.decoderResult().isFailure() || discardedBytes > maxSkippedBytes) {
      channel.close();
    } else if (part instanceof LastHttpContent) {
      skipping = false;
      discardedBytes = 0;
      decoder.onRequestCompleted(); // its client has its response, so what comes behind is in order
      client.onRemainderSkipped();
    }
  }

  private static int readableBytes(Object message) {
    if (message instanceof ByteBuf bytes) {
      return bytes.readableBytes();
    }
    return message instanceof HttpContent content ? content.content().readableBytes() : 0;
  }
}
