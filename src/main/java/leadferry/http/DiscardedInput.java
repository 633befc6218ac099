package leadferry.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;

/** Discards input of a request that already has its response. */
final class DiscardedInput {
  /**
   * Maximum input (bytes) that is read and discarded after a response, so that the client can read
   * the response.
   */
  private static final int MAX_LINGER_BYTES = 1 << 20;

  private final ClientConnection client;
  private final SocketChannel channel;
  private final RequestDecoder decoder;
  private final OutputProgress output;
  private final long maxSkippedBytes;
  private boolean skipping;
  private long discardedBytes;

  DiscardedInput(
      ClientConnection client, HttpServer server, SocketChannel channel, RequestDecoder decoder) {
    this.client = client;
    this.channel = channel;
    this.decoder = decoder;
    this.output = OutputProgress.of(channel, server.transport());
    this.maxSkippedBytes = server.settings().maxStreamedBodyBytes();
  }

  /**
   * Whether the remaining input of a request is discarded and the connection stays usable
   * afterwards.
   */
  boolean isSkipping() {
    return skipping;
  }

  /**
   * Handles the end of a response; {@code skipRest} is true if remaining input of its request has
   * to be skipped.
   */
  void onResponseSubmitted(boolean skipRest) {
    skipping = skipRest;
    discardedBytes = 0;
  }

  /** Resets the count of discarded bytes at the end of the current request. */
  void reset() {
    discardedBytes = 0;
  }

  /**
   * Counts part of a body that is not forwarded; returns true once reading on is not worthwhile.
   */
  boolean countAndCheckLimit(ByteBuf bytes) {
    discardedBytes += bytes.readableBytes();
    return discardedBytes > MAX_LINGER_BYTES;
  }

  /**
   * Discards input after the last response. Beyond the limit the connection is closed, or no longer
   * read while its client may still be reading the response, which a reset would cut off.
   */
  void discard(Object message) {
    discardedBytes += readableBytes(message);
    if (discardedBytes <= MAX_LINGER_BYTES) {
      return;
    }
    if (output.mayBeUnread(System.nanoTime())) {
      channel.config().setAutoRead(false);
    } else {
      channel.close();
    }
  }

  /**
   * Skips part of a request that got its response before it was complete. Guards against a close
   * that overtakes the response: a client that sends slowly reads the response only after its
   * request.
   */
  void skip(HttpObject part) {
    discardedBytes += readableBytes(part);
    if (part.decoderResult().isFailure() || discardedBytes > maxSkippedBytes) {
      channel.close();
    } else if (part instanceof LastHttpContent) {
      skipping = false;
      discardedBytes = 0;
      decoder.onRequestCompleted(); // following input is the next request
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
