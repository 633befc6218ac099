package leadferry.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.List;
import leadferry.engine.ReadLagTracker;

/**
 * Request decoder that validates heads strictly (see {@link HeadScanner}), tracks since when a
 * request is being received, and can be paused so that pipelined requests stay undecoded.
 *
 * <p>A head is decoded once it is complete. Guards against heads that never are: decoded fields
 * take many times their length in memory.
 */
final class RequestDecoder extends HttpRequestDecoder {
  /** Number of bytes up to which an incomplete head stays undecoded. */
  private static final int MAX_UNDECODED_HEAD_BYTES = 16 * 1024;

  private final HeadScanner scanner = new HeadScanner();
  private final HeadBudget.Reservation undecodedHead;
  private boolean receiving;
  private long receivingSinceNanos;
  private boolean inHead = true;
  private int scannedBytes;
  private boolean removed;
  private boolean paused;

  /**
   * Iteration of the event loop in which the connection was accepted; 0 if the event loop does not
   * count its iterations.
   */
  private final long acceptedIteration = ReadLagTracker.loopIterations();

  RequestDecoder(HeadBudget headBudget) {
    super(HttpProtocol.DECODER_CONFIG);
    this.undecodedHead = headBudget.open();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    if (!receiving) {
      receiving = true;
      receivingSinceNanos = System.nanoTime();
    }
    super.channelRead(ctx, message);
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
      throws Exception {
    if (paused) {
      return; // input stays undecoded
    }
    if (inHead) {
      scan(buffer);
      if (scanner.isInvalid()) {
        reject(buffer, out, invalidHead());
        return;
      }
      if (!scanner.isDone() && buffer.readableBytes() <= MAX_UNDECODED_HEAD_BYTES) {
        if (!undecodedHead.resize(buffer.readableBytes())) {
          reject(buffer, out, new HeadMemoryException());
        }
        return;
      }
      if (scanner.isDone()) {
        undecodedHead.release();
      }
    }
    int startIndex = buffer.readerIndex();
    super.decode(ctx, buffer, out);
    scannedBytes = Math.max(0, scannedBytes - (buffer.readerIndex() - startIndex));
    if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
      scanner.reset();
      inHead = true;
      scannedBytes = 0;
    }
  }

  private Exception invalidHead() {
    return scanner.hasTooManyFields()
        ? new TooLongHttpHeaderException("request head has too many fields")
        : new IllegalArgumentException("request head is invalid");
  }

  /** Discards the input and passes on a message that can't be read for this reason. */
  private void reject(ByteBuf buffer, List<Object> out, Exception reason) {
    undecodedHead.release();
    buffer.skipBytes(buffer.readableBytes());
    HttpMessage invalidMessage = createInvalidMessage();
    invalidMessage.setDecoderResult(DecoderResult.failure(reason));
    out.add(invalidMessage);
  }

  /** Continues to scan the current head behind the bytes that are already scanned. */
  private void scan(ByteBuf buffer) {
    int startIndex = buffer.readerIndex() + scannedBytes;
    int stopIndex = buffer.forEachByte(startIndex, buffer.writerIndex() - startIndex, scanner);
    scannedBytes = (stopIndex < 0 ? buffer.writerIndex() : stopIndex + 1) - buffer.readerIndex();
    inHead = !scanner.isDone();
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    // Guards against request smuggling: netty would drop one of the two lengths.
    throw new IllegalArgumentException("Content-Length with Transfer-Encoding");
  }

  /** Returns the response status for a request that can't be decoded for this reason. */
  static int statusOf(Throwable failure) {
    if (failure instanceof HeadMemoryException) {
      return 503;
    }
    if (failure instanceof TooLongHttpLineException) {
      return 414;
    }
    return failure instanceof TooLongHttpHeaderException ? 431 : 400;
  }

  /** Stops decoding until {@link #resume}; input stays in the buffer. */
  void pause() {
    paused = true;
  }

  boolean isPaused() {
    return paused;
  }

  /** Takes back a {@link #pause} since which no input has arrived. */
  void unpause() {
    paused = false;
  }

  /** Returns the number of bytes of input that are not decoded. */
  int bufferedBytes() {
    return actualReadableBytes();
  }

  /** Resumes decoding, beginning with the buffered input. */
  void resume(ChannelHandlerContext ctx) throws Exception {
    if (paused) {
      paused = false;
      super.channelRead(ctx, Unpooled.EMPTY_BUFFER);
    }
  }

  /**
   * Whether the current input was found by the first poll of this connection, so that no earlier
   * poll bounds its arrival time.
   */
  boolean isFirstRead() {
    return acceptedIteration != 0 && ReadLagTracker.loopIterations() <= acceptedIteration + 1;
  }

  boolean isReceiving() {
    return receiving;
  }

  /**
   * Returns the {@link System#nanoTime} of the first byte of the request that is being received.
   */
  long receivingSinceNanos() {
    return receivingSinceNanos;
  }

  /** Whether this decoder is still part of the channel's pipeline. */
  boolean isInPipeline() {
    return !removed;
  }

  @Override
  protected void handlerRemoved0(ChannelHandlerContext ctx) {
    removed = true;
    undecodedHead.release();
  }

  /** Handles the end of a request; returns true if further input follows it. */
  boolean onRequestCompleted() {
    receiving = actualReadableBytes() > 0;
    receivingSinceNanos = System.nanoTime();
    return receiving;
  }
}
