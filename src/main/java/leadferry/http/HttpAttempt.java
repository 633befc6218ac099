package leadferry.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
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
   * A response of no told length may be a long one, whose first bytes are awaited: it streams,
   * where it may, once it has been coming for so long (ms).
   */
  private static final double STREAM_AFTER_MILLIS = 50;

  private final HttpCall call;
  private final Runnable resume = this::resumeReading;
  private LoadReport report;
  private HttpResponse head;
  private Body body;
  private long lengthBytes;
  private boolean uploaded;
  private boolean streaming;
  private long streamedBytes;
  private double headAtMillis;
  private double receivedAtMillis;
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
    if (isOver() || connection() == null) {
      bytes.release();
    } else {
      connection().channel().writeAndFlush(new DefaultHttpContent(bytes));
    }
  }

  /** The end of that body, with its trailers. */
  void uploadEnds(HttpHeaders trailers) {
    if (!isOver() && connection() != null) {
      connection()
          .channel()
          .writeAndFlush(HttpCall.last(trailers))
          .addListener(
              f -> {
                uploaded = f.isSuccess();
                onLastByteSent();
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
    return call.upload() == null ? isFullyWritten() : uploaded;
  }

  /** The client takes more of an answer that streams. */
  void clientTakesMore() {
    if (!isOver() && connection() != null) {
      connection().channel().config().setAutoRead(true);
    }
  }

  @Override
  protected LoadReport loadReport() {
    return report;
  }

  /** The head of the final response. */
  void head(HttpResponse response) {
    report = LoadReportHeaders.read(response.headers().get(LoadReportHeaders.HEADER));
    int status = response.status().code();
    if (status == 200 || (wire().protocol.passAll() && status < 500)) {
      serve(response);
      return;
    }
    boolean notProcessed =
        (status == 503 || status == 504) && "1".equals(response.headers().get("X-Not-Processed"));
    if (status >= 500 && !notProcessed && passesError(response)) {
      error = true; // its body may be what the client gets; the module hears of it with its end
      head = response;
      lengthBytes = HttpUtil.getContentLength(response, -1L);
      return;
    }
    wire().discardRest();
    if (status >= 400 && status < 500) {
      answerClientError(status);
    } else {
      finish(outcomeOfError(notProcessed));
    }
  }

  private void serve(HttpResponse response) {
    if (!isFullyWritten()) {
      finish(AttemptOutcome.CONNECT_FAILED); // no host can serve what it has not been sent
    } else if (!wire().framed(response)) {
      onConnectionBroken();
    } else {
      collect(response);
    }
  }

  /** Whether a server's error may be passed on to the client, with its body. */
  private boolean passesError(HttpResponse response) {
    return wire().protocol.passErrors()
        && isFullyWritten()
        && wire().framed(response)
        && HttpUtil.getContentLength(response, 0L) <= wire().protocol.maxAnswer();
  }

  /**
   * A host found fault with the request itself. Guards against a client's mistake that counts
   * against the host, or is carried on to the next one: the response is the client's.
   */
  private void answerClientError(int status) {
    if (exchange.claim()) {
      call.answer(status);
    }
    finish(AttemptOutcome.CANCELLED);
  }

  private AttemptOutcome outcomeOfError(boolean notProcessed) {
    if (notProcessed) {
      return AttemptOutcome.FULL;
    }
    return isFullyWritten() ? AttemptOutcome.ERROR : AttemptOutcome.CONNECT_FAILED;
  }

  /** An answer that is served: passed on while it comes, or kept until it is whole. */
  private void collect(HttpResponse response) {
    head = response;
    headAtMillis = dispatcher().now();
    lengthBytes = HttpUtil.getContentLength(response, -1L);
    if (lengthBytes > wire().protocol.maxStreamed()) {
      onConnectionBroken(); // no answer is so long
    } else if (!wire().bodiless(response)
        && call.streams(lengthBytes, wire().protocol.maxAnswer())) {
      stream();
    } else if (lengthBytes > wire().protocol.maxAnswer()) {
      onConnectionBroken(); // no answer is so long
    }
  }

  /**
   * The answer goes on while it comes, beginning with what is held of it; false if there is
   * another.
   */
  private boolean stream() {
    if (!claimResponse()) {
      finish(AttemptOutcome.CANCELLED);
      return false;
    }
    streaming = true;
    call.begin(this, head, lengthBytes);
    if (body != null) {
      body.retainedBlocks().forEach(this::pass);
      body.release();
      body = null;
    }
    onResponseStarted();
    return streaming;
  }

  private void pass(ByteBuf bytes) {
    streamedBytes += bytes.readableBytes();
    if (!call.pass(bytes) && connection() != null) {
      connection().channel().config().setAutoRead(false);
    }
  }

  /** Part of the response's body. */
  void content(HttpContent part) {
    int partBytes = part.content().readableBytes();
    if (partBytes == 0) {
      return;
    }
    receivedAtMillis = dispatcher().now();
    if (streaming) {
      if (streamedBytes + partBytes > wire().protocol.maxStreamed()) {
        onConnectionBroken(); // it would never end
      } else {
        pass(part.content().retain());
      }
    } else if (streamsByTime()) {
      streamWith(part);
    } else {
      hold(part, partBytes);
    }
  }

  /** Whether a response of no told length has been coming for long enough to be passed on. */
  private boolean streamsByTime() {
    return !error
        && lengthBytes < 0
        && dispatcher().now() - headAtMillis > STREAM_AFTER_MILLIS
        && call.overflows();
  }

  private void streamWith(HttpContent part) {
    if (stream()) {
      pass(part.content().retain());
    }
  }

  private void hold(HttpContent part, int partBytes) {
    if (body == null) {
      body = dispatcher().newBody(lengthBytes, false);
    }
    if (body.size() + partBytes > wire().protocol.maxAnswer()) {
      if (error || !call.overflows()) {
        onConnectionBroken(); // no response is so long: this one would never end
      } else {
        streamWith(part);
      }
      return;
    }
    body.append(part.content());
    if (dispatcher().bodyBudget().isFull(body.size())) {
      connection().channel().config().setAutoRead(false);
      dispatcher().bodyBudget().awaitRoom(resume);
    }
  }

  /** Memory is free again. */
  private void resumeReading() {
    if (!isOver() && connection() != null) {
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
      whole.release();
    }
    finish(AttemptOutcome.OK);
  }

  @Override
  protected boolean isWaitingForClient() {
    return streaming && connection() != null && !connection().channel().config().isAutoRead();
  }

  /**
   * A long answer is timed to its first byte alone. Guards against one of no told length that never
   * ends: it is none of the long ones yet, its client waits, and to pass it on was the only answer
   * that the request gets.
   */
  @Override
  protected boolean canOutliveDeadline() {
    return lengthBytes > wire().protocol.maxAnswer()
        || streamedBytes > wire().protocol.maxAnswer()
        || isWaitingForClient()
        || dispatcher().now() - receivedAtMillis < STREAM_STALL_MILLIS;
  }

  /** A spoilt answer: a failed attempt that may have run, and whose report is as good as it is. */
  @Override
  protected void onConnectionBroken() {
    report = null;
    super.onConnectionBroken();
  }

  @Override
  protected void releaseResponse() {
    dispatcher().bodyBudget().cancelAwait(resume);
    if (call.upload() != null) {
      call.upload().endedBy(this);
    }
    if (streaming) {
      streaming = false;
      call.cut(); // its client sees that the answer is not whole
    }
    if (body != null) {
      body.release();
      body = null;
    }
  }
}
