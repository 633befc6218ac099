package leadferry.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import leadferry.engine.Attempt;
import leadferry.engine.Body;
import leadferry.engine.Exchange;
import leadferry.engine.UpstreamHost;
import leadferry.loadbalancer.AttemptOutcome;
import leadferry.loadbalancer.LoadReport;

/** One send of an HTTP request to a host, and how its answer is read. */
final class HttpAttempt extends Attempt {
  /**
   * An answer of no told length may be a long one, whose first bytes are awaited: it streams, where
   * it may, once it has been coming for so long (ms).
   */
  private static final double EARLY_MS = 50;

  private final HttpCall call;
  private final Runnable resume = this::resumeReading;
  private LoadReport report;
  private HttpResponse head;
  private Body body;
  private long length;
  private boolean uploaded;
  private boolean streaming;
  private long streamed;
  private double headAt;
  private double cameAt;
  private boolean error;

  HttpAttempt(HttpCall call, Exchange exchange, UpstreamHost host, int number, double now) {
    super(exchange, host, number, now);
    this.call = call;
  }

  private HttpUpstreamConnection wire() {
    return (HttpUpstreamConnection) connection();
  }

  @Override
  protected ChannelFuture write(Channel channel) {
    if (call.isHead()) {
      wire().expectNoBody();
    }
    ChannelFuture written = call.writeTo(channel, exchange.remainingMs());
    if (call.upload() == null) {
      return written;
    }
    // Its bytes follow; the first of them makes it one that may have run, so its head does.
    call.upload().startedBy(this);
    return written;
  }

  /** Part of a body that goes on while it comes; the bytes are this attempt's now. */
  void upload(ByteBuf bytes) {
    if (over() || connection() == null) {
      bytes.release();
    } else {
      connection().channel().writeAndFlush(new DefaultHttpContent(bytes));
    }
  }

  void uploadEnds(HttpHeaders trailers) {
    if (!over() && connection() != null) {
      connection()
          .channel()
          .writeAndFlush(HttpCall.last(trailers))
          .addListener(
              f -> {
                uploaded = f.isSuccess();
                sent();
              });
    }
  }

  /** Whether the host's socket takes more of the body. */
  boolean takesMore() {
    return connection() != null && connection().channel().isWritable();
  }

  /** The host's socket takes more, or no more for now. */
  void hostWritable() {
    if (call.upload() != null) {
      call.upload().flow();
    }
  }

  /** Whether all of the request has gone out, so that its connection may carry another. */
  boolean sentWhole() {
    return call.upload() == null ? mayHaveRun() : uploaded;
  }

  /** The client takes more of an answer that streams. */
  void clientTakesMore() {
    if (!over() && connection() != null) {
      connection().channel().config().setAutoRead(true);
    }
  }

  @Override
  protected LoadReport report() {
    return report;
  }

  /** The head of the final answer. */
  void head(HttpResponse reply) {
    report = LoadReportHeaders.read(reply.headers().get(LoadReportHeaders.HEADER));
    int status = reply.status().code();
    HttpProtocol protocol = wire().protocol;
    if (status == 200 || (protocol.passAll() && status < 500)) {
      if (!mayHaveRun()) {
        finish(AttemptOutcome.CONNECT_FAILED); // no host can serve what it has not been sent
      } else if (!framed(reply)) {
        broken();
      } else {
        collect(reply);
      }
      return;
    }
    boolean turnedAway =
        (status == 503 || status == 504) && "1".equals(reply.headers().get("X-Not-Processed"));
    if (status >= 500
        && protocol.passErrors()
        && !turnedAway
        && mayHaveRun()
        && framed(reply)
        && HttpUtil.getContentLength(reply, 0L) <= protocol.maxAnswer()) {
      error = true; // its body may be what the client gets; the module hears of it with its end
      head = reply;
      length = HttpUtil.getContentLength(reply, -1L);
      return;
    }
    wire().discardRest();
    if (status >= 400 && status < 500) {
      // A host found fault with the request itself. Guards against a client's mistake that counts
      // against the host, or is carried on to the next one: the answer is the client's.
      if (exchange.claim()) {
        call.answer(status);
      }
      finish(AttemptOutcome.CANCELLED);
    } else {
      finish(
          turnedAway
              ? AttemptOutcome.FULL
              : mayHaveRun() ? AttemptOutcome.ERROR : AttemptOutcome.CONNECT_FAILED);
    }
  }

  /** An answer that is served: passed on while it comes, or kept until it is whole. */
  private void collect(HttpResponse reply) {
    head = reply;
    headAt = dispatcher().now();
    length = HttpUtil.getContentLength(reply, -1L);
    if (length > wire().protocol.maxStreamed()) {
      broken(); // no answer is so long
    } else if (!bodiless(reply) && call.streams(length, wire().protocol.maxAnswer())) {
      stream();
    } else if (length > wire().protocol.maxAnswer()) {
      broken(); // no answer is so long
    }
  }

  /**
   * The answer goes on while it comes, beginning with what is held of it; false if there is
   * another.
   */
  private boolean stream() {
    if (!claimAnswer()) {
      finish(AttemptOutcome.CANCELLED);
      return false;
    }
    streaming = true;
    call.begin(this, head, length);
    if (body != null) {
      body.retained().forEach(this::pass);
      body.free();
      body = null;
    }
    answerBegun();
    return streaming;
  }

  private void pass(ByteBuf bytes) {
    streamed += bytes.readableBytes();
    if (!call.pass(bytes) && connection() != null) {
      connection().channel().config().setAutoRead(false);
    }
  }

  private boolean bodiless(HttpResponse reply) {
    int status = reply.status().code();
    return wire().expectsNoBody() || status == 204 || status == 304;
  }

  /** Whether the end of the answer can be told from its connection's. */
  private boolean framed(HttpResponse reply) {
    HttpHeaders h = reply.headers();
    if (bodiless(reply)) {
      return true;
    }
    boolean chunked = h.contains(HttpHeaderNames.TRANSFER_ENCODING);
    boolean sized = h.contains(HttpHeaderNames.CONTENT_LENGTH);
    if (!chunked && !sized && wire().protocol.untilClose() && !HttpUtil.isKeepAlive(reply)) {
      wire().endsWithConnection();
      return true;
    }
    return chunked != sized && (!chunked || HttpUtil.isTransferEncodingChunked(reply));
  }

  /** Part of the answer's body. */
  void content(HttpContent part) {
    int n = part.content().readableBytes();
    if (n == 0) {
      return;
    }
    cameAt = dispatcher().now();
    if (streaming) {
      if (streamed + n > wire().protocol.maxStreamed()) {
        broken(); // it would never end
      } else {
        pass(part.content().retain());
      }
      return;
    }
    if (!error && length < 0 && dispatcher().now() - headAt > EARLY_MS && call.overflows()) {
      if (stream()) {
        pass(part.content().retain());
      }
      return;
    }
    if (body == null) {
      body = dispatcher().newBody(length, false);
    }
    if (body.size() + n > wire().protocol.maxAnswer()) {
      if (error || !call.overflows()) {
        broken(); // no answer is so long: this one would never end
      } else if (stream()) {
        pass(part.content().retain());
      }
      return;
    }
    body.append(part.content());
    if (dispatcher().budget().full(body.size())) {
      connection().channel().config().setAutoRead(false);
      dispatcher().budget().await(resume);
    }
  }

  /** Memory is free again. */
  private void resumeReading() {
    if (!over() && connection() != null) {
      connection().channel().config().setAutoRead(true);
    }
  }

  /** The answer is whole. */
  void end(HttpHeaders trailers) {
    Body whole = body;
    body = null;
    if (streaming) {
      streaming = false;
      call.finish(trailers);
      finish(AttemptOutcome.OK);
      return;
    }
    if (error) {
      call.keepError(head, whole, trailers);
      finish(AttemptOutcome.ERROR);
      return;
    }
    if (exchange.claim()) {
      call.served(head, whole, trailers);
    } else if (whole != null) {
      whole.free();
    }
    finish(AttemptOutcome.OK);
  }

  @Override
  protected boolean waitsForClient() {
    return streaming && connection() != null && !connection().channel().config().isAutoRead();
  }

  /**
   * A long answer is timed to its first byte alone. Guards against one of no told length that never
   * ends: it is none of the long ones yet, its client waits, and to pass it on was the only answer
   * that the request gets.
   */
  @Override
  protected boolean goesOn() {
    return length > wire().protocol.maxAnswer()
        || streamed > wire().protocol.maxAnswer()
        || waitsForClient()
        || dispatcher().now() - cameAt < STILL_MS;
  }

  /** A spoilt answer: a failed attempt that may have run, and whose report is as good as it is. */
  @Override
  protected void broken() {
    report = null;
    super.broken();
  }

  @Override
  protected void release() {
    dispatcher().budget().forget(resume);
    if (call.upload() != null) {
      call.upload().endedBy(this);
    }
    if (streaming) {
      streaming = false;
      call.cut(); // its client sees that the answer is not whole
    }
    if (body != null) {
      body.free();
      body = null;
    }
  }
}
