package leadferry.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import leadferry.engine.ReadLagTracker;

/**
 * Reads requests: tells since when part of one has come, reads heads by the letter, and stops
 * reading ahead where told.
 */
final class RequestDecoder extends HttpRequestDecoder {
  private final HeadScanner scanner = new HeadScanner();
  private boolean receiving;
  private long receivingSinceNanos;
  private boolean inHead = true;
  private int scannedBytes;
  private boolean removed;
  private boolean paused;

  /**
   * The turn of the loop in which its connection was accepted; 0 where loops don't count theirs.
   */
  private final long acceptedTurn = ReadLagTracker.loopIterations();

  RequestDecoder() {
    super(HttpProtocol.DECODER_CONFIG);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object msg) throws Exception {
    if (!receiving) {
      receiving = true;
      receivingSinceNanos = System.nanoTime();
    }
    super.channelRead(ctx, msg);
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
      throws Exception {
    if (paused) {
      return; // what has come stays as it is
    }
    if (inHead) {
      scan(buffer);
      if (scanner.isInvalid()) {
        buffer.skipBytes(buffer.readableBytes());
        HttpMessage faulty = createInvalidMessage();
        faulty.setDecoderResult(DecoderResult.failure(new IllegalArgumentException("head")));
        out.add(faulty);
        return;
      }
    }
    int from = buffer.readerIndex();
    super.decode(ctx, buffer, out);
    scannedBytes = Math.max(0, scannedBytes - (buffer.readerIndex() - from));
    if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
      scanner.reset();
      inHead = true;
      scannedBytes = 0;
    }
  }

  /** Reads on in the present head, from where it was left. */
  private void scan(ByteBuf buffer) {
    int from = buffer.readerIndex() + scannedBytes;
    int end = buffer.forEachByte(from, buffer.writerIndex() - from, scanner);
    scannedBytes = (end < 0 ? buffer.writerIndex() : end + 1) - buffer.readerIndex();
    inHead = !scanner.isDone();
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    // Guards against a request in the body of another: netty would drop one of the two lengths.
    throw new IllegalArgumentException("Content-Length with Transfer-Encoding");
  }

  /** Reads no further until {@link #resume}; what comes stands in the buffer. */
  void pause() {
    paused = true;
  }

  boolean isPaused() {
    return paused;
  }

  /** Reads on, beginning with what stands in the buffer. */
  void resume(ChannelHandlerContext ctx) throws Exception {
    if (paused) {
      paused = false;
      super.channelRead(ctx, Unpooled.EMPTY_BUFFER);
    }
  }

  /**
   * Whether what comes now was found at the first look at this connection: no poll before has known
   * of it.
   */
  boolean isFirstRead() {
    return acceptedTurn != 0 && ReadLagTracker.loopIterations() <= acceptedTurn + 1;
  }

  boolean isReceiving() {
    return receiving;
  }

  /** When (ns) the first byte of what is being received came. */
  long receivingSinceNanos() {
    return receivingSinceNanos;
  }

  /** Whether it still stands in the pipeline. */
  boolean isInPipeline() {
    return !removed;
  }

  @Override
  protected void handlerRemoved0(ChannelHandlerContext ctx) {
    removed = true;
  }

  /** The request has come whole; true if more bytes have come behind it. */
  boolean onRequestCompleted() {
    receiving = actualReadableBytes() > 0;
    receivingSinceNanos = System.nanoTime();
    return receiving;
  }
}
