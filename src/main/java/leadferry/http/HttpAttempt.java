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
  private boolean uploadComplete;
  private boolean streaming;
  private long streamedBytes;
  private double headAtMillis;
  private double receivedAtMillis;
  private boolean serverError;

  HttpAttempt(HttpCall call, Exchange exchange, UpstreamHost host, int number, double now) {
    super(exchange, host, number, now);
    this.call = call;
  }

  private HttpUpstreamConnection upstreamConnection() {
    return (HttpUpstreamConnection) connection();
  }

  @Override
  protected ChannelFuture write(Channel channel) {
    if (call.isHead()) {
      upstreamConnection().expectNoBody();
    }
    ChannelFuture written = call.writeTo(channel, exchange.remainingMs());
    if (call.upload() == null) {
      return written;
    }
    // Its bytes follow; the first of them makes it one that may have run, so its head does.
    call.upload().attach(this);
    return written;
  }

  /** Part of a body that goes on while it comes; the bytes are this attempt's now. */
  void writeUploadContent(ByteBuf bytes) {
    if (isOver() || connection() == null) {
      bytes.release();
    } else {
      connection().channel().writeAndFlush(new DefaultHttpContent(bytes));
    }
  }

  /** The end of that body, with its trailers. */
  void writeUploadEnd(HttpHeaders trailers) {
    if (!isOver() && connection() != null) {
      connection()
          .channel()
          .writeAndFlush(HttpCall.lastContent(trailers))
          .addListener(
              f -> {
                uploadComplete = f.isSuccess();
                onLastByteSent();
              });
    }
  }

  /** Whether the host's socket takes more of the body. */
  boolean isUpstreamWritable() {
    return connection() != null && connection().channel().isWritable();
  }

  /** The host's socket takes more, or no more for now. */
  void onUpstreamWritabilityChanged() {
    if (call.upload() != null) {
      call.upload().updateFlowControl();
    }
  }

  /** Whether all of the request has gone out, so that its connection may carry another. */
  boolean isRequestFullySent() {
    return call.upload() == null ? isFullyWritten() : uploadComplete;
  }

  /** The client takes more of an answer that streams. */
  void onClientWritable() {
    if (!isOver() && connection() != null) {
      connection().channel().config().setAutoRead(true);
    }
  }

  @Override
  protected LoadReport loadReport() {
    return report;
  }

  /** The head of the final response. */
  void onResponseHead(HttpResponse response) {
    report = LoadReportHeaders.parse(response.headers().get(LoadReportHeaders.HEADER));
    int status = response.status().code();
    if (status == 200 || (upstreamConnection().protocol.forwardsAllBelow500() && status < 500)) {
      acceptResponse(response);
      return;
    }
    boolean notProcessed =
        (status == 503 || status == 504) && "1".equals(response.headers().get("X-Not-Processed"));
    if (status >= 500 && !notProcessed && shouldForwardError(response)) {
      serverError =
          true; // its body may be what the client gets; the module hears of it with its end
      head = response;
      lengthBytes = HttpUtil.getContentLength(response, -1L);
      return;
    }
    upstreamConnection().discardRemainder();
    if (status >= 400 && status < 500) {
      forwardClientError(status);
    } else {
      finish(outcomeOfError(notProcessed));
    }
  }

  private void acceptResponse(HttpResponse response) {
    if (!isFullyWritten()) {
      finish(AttemptOutcome.CONNECT_FAILED); // no host can serve what it has not been sent
    } else if (!upstreamConnection().isDelimited(response)) {
      onConnectionBroken();
    } else {
      receiveBody(response);
    }
  }

  /** Whether a server's error may be passed on to the client, with its body. */
  private boolean shouldForwardError(HttpResponse response) {
    return upstreamConnection().protocol.forwardsServerErrors()
        && isFullyWritten()
        && upstreamConnection().isDelimited(response)
        && HttpUtil.getContentLength(response, 0L)
            <= upstreamConnection().protocol.maxHeldResponseBytes();
  }

  /**
   * A host found fault with the request itself. Guards against a client's mistake that counts
   * against the host, or is carried on to the next one: the response is the client's.
   */
  private void forwardClientError(int status) {
    if (exchange.claim()) {
      call.sendLocalResponse(status);
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
  private void receiveBody(HttpResponse response) {
    head = response;
    headAtMillis = dispatcher().now();
    lengthBytes = HttpUtil.getContentLength(response, -1L);
    if (lengthBytes > upstreamConnection().protocol.maxStreamedResponseBytes()) {
      onConnectionBroken(); // no answer is so long
    } else if (!upstreamConnection().hasNoBody(response)
        && call.shouldStream(lengthBytes, upstreamConnection().protocol.maxHeldResponseBytes())) {
      startStreaming();
    } else if (lengthBytes > upstreamConnection().protocol.maxHeldResponseBytes()) {
      onConnectionBroken(); // no answer is so long
    }
  }

  /**
   * The answer goes on while it comes, beginning with what is held of it; false if there is
   * another.
   */
  private boolean startStreaming() {
    if (!claimResponse()) {
      finish(AttemptOutcome.CANCELLED);
      return false;
    }
    streaming = true;
    call.beginStream(this, head, lengthBytes);
    if (body != null) {
      body.retainedBlocks().forEach(this::writeToClient);
      body.release();
      body = null;
    }
    onResponseStarted();
    return streaming;
  }

  private void writeToClient(ByteBuf bytes) {
    streamedBytes += bytes.readableBytes();
    if (!call.writeStreamContent(bytes) && connection() != null) {
      connection().channel().config().setAutoRead(false);
    }
  }

  /** Part of the response's body. */
  void onResponseContent(HttpContent part) {
    int partBytes = part.content().readableBytes();
    if (partBytes == 0) {
      return;
    }
    receivedAtMillis = dispatcher().now();
    if (streaming) {
      if (streamedBytes + partBytes > upstreamConnection().protocol.maxStreamedResponseBytes()) {
        onConnectionBroken(); // it would never end
      } else {
        writeToClient(part.content().retain());
      }
    } else if (shouldStreamByTime()) {
      startStreamingWith(part);
    } else {
      appendToBody(part, partBytes);
    }
  }

  /** Whether a response of no told length has been coming for long enough to be passed on. */
  private boolean shouldStreamByTime() {
    return !serverError
        && lengthBytes < 0
        && dispatcher().now() - headAtMillis > STREAM_AFTER_MILLIS
        && call.shouldStreamOverflow();
  }

  private void startStreamingWith(HttpContent part) {
    if (startStreaming()) {
      writeToClient(part.content().retain());
    }
  }

  private void appendToBody(HttpContent part, int partBytes) {
    if (body == null) {
      body = dispatcher().newBody(lengthBytes, false);
    }
    if (body.size() + partBytes > upstreamConnection().protocol.maxHeldResponseBytes()) {
      if (serverError || !call.shouldStreamOverflow()) {
        onConnectionBroken(); // no response is so long: this one would never end
      } else {
        startStreamingWith(part);
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
  void onResponseEnd(HttpHeaders trailers) {
    Body whole = body;
    body = null;
    if (streaming) {
      streaming = false;
      call.finishStream(trailers);
      finish(AttemptOutcome.OK);
      return;
    }
    if (serverError) {
      call.keepErrorResponse(head, whole, trailers);
      finish(AttemptOutcome.ERROR);
      return;
    }
    if (exchange.claim()) {
      call.sendResponse(head, whole, trailers);
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
    return lengthBytes > upstreamConnection().protocol.maxHeldResponseBytes()
        || streamedBytes > upstreamConnection().protocol.maxHeldResponseBytes()
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
      call.upload().detach(this);
    }
    if (streaming) {
      streaming = false;
      call.abortStream(); // its client sees that the answer is not whole
    }
    if (body != null) {
      body.release();
      body = null;
    }
  }
}
