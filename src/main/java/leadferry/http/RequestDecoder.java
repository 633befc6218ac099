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
  private long since;
  private boolean inHead = true;
  private int scanned;
  private boolean removed;
  private boolean held;

  /**
   * The turn of the loop in which its connection was accepted; 0 where loops don't count theirs.
   */
  private final long acceptedIn = ReadLagTracker.loopIterations();

  RequestDecoder() {
    super(HttpProtocol.DECODER);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object msg) throws Exception {
    if (!receiving) {
      receiving = true;
      since = System.nanoTime();
    }
    super.channelRead(ctx, msg);
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
      throws Exception {
    if (held) {
      return; // what has come stays as it is
    }
    if (inHead) {
      scan(buffer);
      if (scanner.faulty()) {
        buffer.skipBytes(buffer.readableBytes());
        HttpMessage faulty = createInvalidMessage();
        faulty.setDecoderResult(DecoderResult.failure(new IllegalArgumentException("head")));
        out.add(faulty);
        return;
      }
    }
    int from = buffer.readerIndex();
    super.decode(ctx, buffer, out);
    scanned = Math.max(0, scanned - (buffer.readerIndex() - from));
    if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
      scanner.reset();
      inHead = true;
      scanned = 0;
    }
  }

  /** Reads on in the present head, from where it was left. */
  private void scan(ByteBuf buffer) {
    int from = buffer.readerIndex() + scanned;
    int end = buffer.forEachByte(from, buffer.writerIndex() - from, scanner);
    scanned = (end < 0 ? buffer.writerIndex() : end + 1) - buffer.readerIndex();
    inHead = !scanner.done();
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    // Guards against a request in the body of another: netty would drop one of the two lengths.
    throw new IllegalArgumentException("Content-Length with Transfer-Encoding");
  }

  /** Reads no further until {@link #resume}; what comes stands in the buffer. */
  void hold() {
    held = true;
  }

  boolean holds() {
    return held;
  }

  /** Reads on, beginning with what stands in the buffer. */
  void resume(ChannelHandlerContext ctx) throws Exception {
    if (held) {
      held = false;
      super.channelRead(ctx, Unpooled.EMPTY_BUFFER);
    }
  }

  /**
   * Whether what comes now was found at the first look at this connection: no poll before has known
   * of it.
   */
  boolean firstLook() {
    return acceptedIn != 0 && ReadLagTracker.loopIterations() <= acceptedIn + 1;
  }

  boolean receiving() {
    return receiving;
  }

  /** When (ns) the first byte of what is being received came. */
  long since() {
    return since;
  }

  /** Whether it still stands in the pipeline. */
  boolean active() {
    return !removed;
  }

  @Override
  protected void handlerRemoved0(ChannelHandlerContext ctx) {
    removed = true;
  }

  /** The request has come whole; true if more bytes have come behind it. */
  boolean completed() {
    receiving = actualReadableBytes() > 0;
    since = System.nanoTime();
    return receiving;
  }
}
