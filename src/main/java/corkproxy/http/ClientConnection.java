package corkproxy.http;

import corkproxy.engine.Body;
import corkproxy.engine.Dispatcher;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** A connection of the application's: reads its requests one by one and writes their answers. */
final class ClientConnection extends ChannelInboundHandlerAdapter {
  /** Tells since when part of a request has come, and reads heads by the letter. */
  static final class Decoder extends HttpRequestDecoder {
    private final HeadScanner scanner = new HeadScanner();
    private boolean receiving;
    private long since;
    private boolean inHead = true;
    private int scanned;
    private boolean removed;

    Decoder() {
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
      receiving = false;
      return actualReadableBytes() > 0;
    }
  }

  /** Ages (ns) from which those that have sent nothing, or not all, may have to make room. */
  private static final long SILENT_NANOS = 50_000_000L;

  private static final long PARTIAL_NANOS = 500_000_000L;

  /** How long (ms) and how much of a rejected message is read, so that its client sees its answer. */
  private static final long LINGER_MS = 500;

  private static final int LINGER_BYTES = 1 << 20;

  /** A client that takes nothing of its answer for so long (ns) has gone. */
  private static final long STALL_NANOS = 5_000_000_000L;

  private final Front front;
  private final SocketChannel channel;
  private final Decoder decoder;
  private final Runnable resume = this::resumeReading;
  private final long openedAt = System.nanoTime();
  private final long slowNanos;
  private HttpRequest head;
  private Verdict verdict;
  private Body body;
  private String openId;
  private HttpCall call;
  private boolean spoken;
  private boolean closing;
  private boolean rejected;
  private boolean paused;
  private int discarded;
  private long idleSince;
  private long writingSince;

  ClientConnection(Front front, SocketChannel channel, Decoder decoder) {
    this.front = front;
    this.channel = channel;
    this.decoder = decoder;
    this.slowNanos = front.settings().slowMs() * 1_000_000L;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    front.opened(this);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    HttpCall c = call;
    call = null;
    front.budget().forget(resume);
    dropRequest();
    releaseId();
    front.closed(this);
    if (c != null) {
      c.exchange().clientGone();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      front.log().failure("a client's connection failed", cause);
      if (call != null) {
        call.exchange().fail();
      }
    }
    channel.close();
  }

  // --- reading

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object msg) {
    try {
      if (rejected) {
        discard(msg);
      } else if (call != null) {
        // Guards against floods of requests sent at once: clients send one at a time, so what
        // comes ahead of an answer is thrown away, and the connection ends with that answer.
        closing = true;
        channel.config().setAutoRead(false);
      } else {
        take((HttpObject) msg);
      }
    } finally {
      ReferenceCountUtil.release(msg);
    }
  }

  private void discard(Object msg) {
    if (msg instanceof ByteBuf bytes) {
      discarded += bytes.readableBytes();
      if (discarded > LINGER_BYTES) {
        channel.close();
      }
    }
  }

  private void take(HttpObject part) {
    if (part.decoderResult().isFailure()) {
      Throwable cause = part.decoderResult().cause();
      reject(
          cause instanceof TooLongHttpLineException
              ? 414
              : cause instanceof TooLongHttpHeaderException ? 431 : 400);
      return;
    }
    if (part instanceof HttpRequest request) {
      begin(request);
    }
    if (part instanceof HttpContent content && !rejected) {
      ByteBuf bytes = content.content();
      if (bytes.isReadable()) {
        append(bytes);
      }
      if (part instanceof LastHttpContent && !rejected) {
        complete();
      }
    }
  }

  private void begin(HttpRequest request) {
    head = request;
    closing = !HttpUtil.isKeepAlive(request);
    int fault = Framing.fault(request, front.gate().judgesBy(), front.settings().maxBody());
    verdict =
        fault != 0
            ? Verdict.reject(fault)
            : front.gate().judge(request, channel.remoteAddress());
    if (verdict.closes()) {
      reject(verdict.status());
    } else if (verdict.status() == 0 && HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private void append(ByteBuf bytes) {
    if (verdict.status() != 0) {
      discarded += bytes.readableBytes();
      if (discarded > LINGER_BYTES) {
        reject(413); // not worth reading on for an answer that is known
      }
      return;
    }
    if (body == null) {
      body = verdict.target().newBody(HttpUtil.getContentLength(head, -1L), true);
    }
    if (body.size() + bytes.readableBytes() > front.settings().maxBody()) {
      reject(413);
      return;
    }
    body.append(bytes);
    if (front.budget().full(body.size())) {
      if (front.budget().stuck()) {
        // Guards against requests that wait for each other's memory: the one at hand gives way.
        front.refusedForMemory();
        reject(503);
      } else {
        paused = true;
        channel.config().setAutoRead(false);
        front.budget().await(resume);
      }
    }
  }

  private void resumeReading() {
    paused = false;
    channel.config().setAutoRead(true);
  }

  private void complete() {
    if (decoder.completed()) {
      reject(400); // a second request behind this one, whose client keeps to no order
      return;
    }
    spoken = true;
    front.budget().forget(resume);
    if (paused) {
      resumeReading();
    }
    HttpRequest request = head;
    Body whole = body;
    head = null;
    body = null;
    if (whole != null) {
      whole.completed();
    }
    if (verdict.status() != 0) {
      free(whole);
      discarded = 0;
      answer(verdict.status(), verdict.retryAfterMs());
      return;
    }
    if (front.settings().uniqueIds()) {
      String id = request.headers().get("X-Request-ID");
      if (!front.openId(id)) {
        free(whole);
        reject(409); // its answer could be taken for the other's
        return;
      }
      openId = id;
    }
    Dispatcher d = verdict.target();
    if (d.open() >= front.settings().maxOpen()) {
      front.refusedForSockets();
      free(whole);
      answer(503, 0);
      return;
    }
    call = new HttpCall(this, request, whole);
    d.take(call, verdict.arrival(), verdict.fallback());
  }

  private static void free(Body b) {
    if (b != null) {
      b.free();
    }
  }

  private void dropRequest() {
    free(body);
    body = null;
    head = null;
    releaseVerdict();
  }

  /** The request has its answer, or never gets one: what the gate counts it for is over. */
  private void releaseVerdict() {
    if (verdict != null) {
      Runnable done = verdict.done();
      verdict = null;
      done.run();
    }
  }

  private void releaseId() {
    if (openId != null) {
      front.closeId(openId);
      openId = null;
    }
  }

  // --- writing

  /** An answer of our own. */
  void answer(int status, double coolDownMs) {
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

  /** A host's answer that has come whole. */
  void answer(HttpResponse reply, Body whole) {
    HttpHeaders h = reply.headers();
    Headers.dropHopByHop(h);
    if (!call.isHead()) {
      h.set(HttpHeaderNames.CONTENT_LENGTH, whole == null ? 0 : whole.size());
    }
    ByteBuf bytes = whole == null ? Unpooled.EMPTY_BUFFER : joined(whole);
    DefaultFullHttpResponse r =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, reply.status(), bytes, h, Headers.NONE);
    markClose(r);
    ChannelFuture written = channel.writeAndFlush(r);
    if (whole != null) {
      written.addListener(f -> whole.free());
    }
    answered(written);
  }

  private static ByteBuf joined(Body whole) {
    ByteBuf[] blocks = whole.retained().toArray(ByteBuf[]::new);
    return blocks.length == 1 ? blocks[0] : Unpooled.wrappedBuffer(blocks);
  }

  private void markClose(HttpResponse r) {
    closing |= front.draining();
    if (closing) {
      r.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  private void answered(ChannelFuture written) {
    call = null;
    releaseId();
    releaseVerdict();
    idleSince = System.nanoTime();
    if (closing) {
      written.addListener(f -> linger());
    } else if (!written.isDone()) {
      writingSince = idleSince;
      written.addListener(f -> writingSince = 0);
    }
  }

  /** Answers what can't be a request and ends the connection. */
  private void reject(int status) {
    front.rejected(status, channel.remoteAddress());
    dropRequest();
    front.budget().forget(resume);
    paused = false;
    closing = true;
    stopDecoding();
    answer(status, 0);
  }

  /** From here on whatever comes is thrown away unread: it may be much, or no HTTP at all. */
  private void stopDecoding() {
    rejected = true;
    if (decoder.active()) {
      channel.pipeline().remove(decoder);
    }
    channel.config().setAutoRead(true);
  }

  /**
   * Closes after an answer. Guards against a reset that overtakes it: a close while bytes are
   * unread would be one, so the sending ends first and what still comes is thrown away.
   */
  private void linger() {
    if (!channel.isActive()) {
      return;
    }
    stopDecoding();
    channel.shutdownOutput();
    channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
  }

  // --- upkeep

  /** Whether it carries a request, or part of one, or an answer that is not written yet. */
  boolean busy() {
    return call != null || decoder.receiving || writingSince != 0 || closing;
  }

  /** Whether a request may be on its way that was sent before the client could know of a drain. */
  boolean fresh() {
    return !spoken && System.nanoTime() - openedAt < slowNanos;
  }

  void close() {
    channel.close();
  }

  /**
   * How readily it makes room for another, 0 first, or -1 if it may not. What was answered and only
   * lingers goes first, then what has never spoken: usual clients speak as soon as they connect.
   */
  int dispensable(long now) {
    if (call != null || writingSince != 0 || !channel.isOpen()) {
      return -1; // in use, or closed already and only not yet taken off the list
    }
    if (rejected) {
      return 0;
    }
    if (decoder.receiving) {
      return now - receivingSince() > PARTIAL_NANOS ? 3 : -1;
    }
    if (!spoken) {
      return now - openedAt > SILENT_NANOS ? 1 : -1;
    }
    return now - idleSince > front.settings().idleLeastMs() * 1_000_000L ? 2 : -1;
  }

  private long receivingSince() {
    return spoken ? decoder.since : openedAt;
  }

  void sweep(long now) {
    if (rejected || call != null) {
      return;
    }
    if (writingSince != 0) {
      if (now - writingSince > STALL_NANOS) {
        channel.close();
      }
    } else if (decoder.receiving) {
      if (now - receivingSince() > slowNanos) {
        reject(paused ? 503 : 408);
      }
    } else if (spoken ? now - idleSince > front.settings().idleMostMs() * 1_000_000L : now - openedAt > slowNanos) {
      channel.close();
    }
  }
}
