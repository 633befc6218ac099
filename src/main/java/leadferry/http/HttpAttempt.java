package leadferry.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.concurrent.TimeUnit;
import leadferry.engine.Attempt;
import leadferry.engine.Body;
import leadferry.engine.Exchange;
import leadferry.engine.Transport;
import leadferry.engine.UpstreamHost;
import leadferry.loadbalancer.AttemptOutcome;
import leadferry.loadbalancer.LoadReport;

/** Attempt to send an HTTP request to an upstream host and to read its response. */
final class HttpAttempt extends Attempt {
  /**
   * Time (ms) after which a response of unknown length is streamed if streaming is allowed. Such a
   * response may be long, and the client waits for its first bytes.
   */
  private static final long STREAM_AFTER_MILLIS = 50;

  private final HttpCall call;
  private final Runnable resume = this::resumeReading;
  private LoadReport report;
  private ResponseHead head;
  private Body body;
  private ResponseProgress progress;
  private boolean uploadComplete;
  private boolean streaming;
  private boolean serverError;

  HttpAttempt(
      HttpCall call, Exchange exchange, UpstreamHost upstreamHost, int number, double nowMillis) {
    super(exchange, upstreamHost, number, nowMillis);
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
    ChannelFuture writeFuture = call.writeTo(channel, exchange.remainingMs());
    if (call.upload() == null) {
      return writeFuture;
    }
    // The body follows the head. The upstream host may process the request as soon as the first
    // byte of the body arrives, so the write of the head counts as the write of the request.
    call.upload().attach(this);
    return writeFuture;
  }

  /** Writes part of a streamed request body; takes ownership of the bytes. */
  void writeUploadContent(ByteBuf bytes) {
    if (isOver() || connection() == null) {
      bytes.release();
    } else {
      connection().channel().writeAndFlush(new DefaultHttpContent(bytes));
    }
  }

  /** Writes the end of a streamed request body with its trailers. */
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

  /** Returns the progress of what is sent to the upstream host; the attempt has a connection. */
  OutputProgress upstreamOutput(Transport transport) {
    return OutputProgress.of(connection().channel(), transport);
  }

  /** Whether the upstream socket is writable. */
  boolean isUpstreamWritable() {
    return connection() != null && connection().channel().isWritable();
  }

  /** Called when the upstream socket becomes writable or stops being writable. */
  void onUpstreamWritabilityChanged() {
    if (call.upload() != null) {
      call.upload().updateFlowControl();
    }
  }

  /** Whether the request was written completely, so that its connection can be reused. */
  boolean isRequestFullySent() {
    return call.upload() == null ? isFullyWritten() : uploadComplete;
  }

  @Override
  protected LoadReport loadReport() {
    return report;
  }

  /** Handles the head of the final response. */
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
      // The body may be forwarded to the client. The load balancer records the outcome when the
      // response ends.
      serverError = beginResponse(response);
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
      // No upstream host can serve a request that was not sent.
      finish(AttemptOutcome.CONNECT_FAILED);
    } else if (!upstreamConnection().isDelimited(response)) {
      onConnectionBroken();
    } else {
      receiveBody(response);
    }
  }

  /**
   * Whether an error response of the upstream host, with its body, can be forwarded to the client.
   */
  private boolean shouldForwardError(HttpResponse response) {
    return upstreamConnection().protocol.forwardsServerErrors()
        && isFullyWritten()
        && upstreamConnection().isDelimited(response)
        && HttpUtil.getContentLength(response, 0L)
            <= upstreamConnection().protocol.maxHeldResponseBytes();
  }

  /**
   * Forwards the status of a client error (4xx). Guards against an attempt that counts a client's
   * mistake as a failure of the upstream host or repeats the request at another one.
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

  /** Holds the head of the response; returns false if there is no memory for it. */
  private boolean beginResponse(HttpResponse response) {
    head = ResponseHead.hold(response, call.headBudget());
    if (head == null) {
      onConnectionBroken();
      return false;
    }
    progress =
        new ResponseProgress(
            HttpUtil.getContentLength(response, -1L),
            upstreamConnection().protocol.maxHeldResponseBytes(),
            dispatcher().now());
    return true;
  }

  /**
   * Receives the body of a response that is served: it is streamed, or held until it is complete.
   */
  private void receiveBody(HttpResponse response) {
    if (!beginResponse(response)) {
      return;
    }
    long lengthBytes = progress.lengthBytes();
    if (lengthBytes > upstreamConnection().protocol.maxStreamedResponseBytes()) {
      onConnectionBroken(); // exceeds the maximum length
    } else if (!upstreamConnection().hasNoBody(response)
        && call.shouldStream(lengthBytes, upstreamConnection().protocol.maxHeldResponseBytes())) {
      startStreaming();
    } else if (lengthBytes > upstreamConnection().protocol.maxHeldResponseBytes()) {
      onConnectionBroken(); // exceeds the maximum length
    } else if (lengthBytes < 0 && call.shouldStreamOverflow()) {
      // Guards against a response that stays held while its host pauses: no part of it arrives that
      // could start its stream.
      dispatcher()
          .loop()
          .schedule(this::startStreamingByTime, STREAM_AFTER_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Starts to stream what is held of the response; its head alone stays held for a retry. */
  private void startStreamingByTime() {
    if (body != null && body.size() > 0) {
      startHeldResponse();
    }
  }

  @Override
  protected void startHeldResponse() {
    boolean isHeld =
        !isOver() && !streaming && !serverError && head != null && progress.lengthBytes() < 0;
    if (isHeld && call.shouldStreamOverflow()) {
      startStreaming();
    }
  }

  /**
   * Starts to stream the response, beginning with the part that is held; returns false if another
   * attempt supplies the response.
   */
  private boolean startStreaming() {
    if (!claimResponse()) {
      finish(AttemptOutcome.CANCELLED);
      return false;
    }
    streaming = true;
    call.beginStream(this, head.message(), progress.lengthBytes());
    head.release();
    dispatcher().bodyBudget().cancelAwait(resume);
    resumeReading(); // it may be paused until memory is free
    if (body != null) {
      body.retainedBlocks().forEach(this::writeToClient);
      body.release();
      body = null;
    }
    onResponseStarted();
    return streaming;
  }

  private void writeToClient(ByteBuf bytes) {
    progress.onForwarded(bytes.readableBytes());
    if (!call.writeStreamContent(bytes) && connection() != null) {
      connection().channel().config().setAutoRead(false);
    }
  }

  /** Handles part of the response body. */
  void onResponseContent(HttpContent part) {
    int partBytes = part.content().readableBytes();
    if (partBytes == 0) {
      return;
    }
    progress.onReceived(dispatcher().now());
    if (streaming) {
      if (progress.forwardedBytes() + partBytes
          > upstreamConnection().protocol.maxStreamedResponseBytes()) {
        onConnectionBroken(); // exceeds the maximum length
      } else {
        writeToClient(part.content().retain());
      }
    } else if (shouldStreamByTime()) {
      startStreamingWith(part);
    } else {
      appendToBody(part, partBytes);
    }
  }

  /** Whether a response of unknown length has been arriving for long enough to be streamed. */
  private boolean shouldStreamByTime() {
    return !serverError
        && progress.lengthBytes() < 0
        && progress.ageMillis(dispatcher().now()) > STREAM_AFTER_MILLIS
        && call.shouldStreamOverflow();
  }

  private void startStreamingWith(HttpContent part) {
    if (startStreaming()) {
      writeToClient(part.content().retain());
    }
  }

  private void appendToBody(HttpContent part, int partBytes) {
    if (body == null) {
      body = dispatcher().newBody(progress.lengthBytes(), false);
    }
    if (body.size() + partBytes > upstreamConnection().protocol.maxHeldResponseBytes()) {
      if (serverError || !call.shouldStreamOverflow()) {
        onConnectionBroken(); // exceeds the maximum length
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

  /** Resumes reading when memory for bodies is free, or the client's socket is writable again. */
  void resumeReading() {
    if (!isOver() && connection() != null) {
      connection().channel().config().setAutoRead(true);
    }
  }

  /** Handles the end of the response. */
  void onResponseEnd(HttpHeaders trailers) {
    Body completeBody = body;
    body = null;
    if (streaming) {
      streaming = false;
      call.finishStream(trailers);
      finish(AttemptOutcome.OK);
      return;
    }
    if (serverError) {
      call.keepErrorResponse(head.message(), completeBody, trailers);
      finish(AttemptOutcome.ERROR);
      return;
    }
    if (exchange.claim()) {
      call.sendResponse(head.message(), completeBody, trailers);
    } else if (completeBody != null) {
      completeBody.release();
    }
    finish(AttemptOutcome.OK);
  }

  @Override
  protected boolean isWaitingForClient() {
    return streaming && connection() != null && !connection().channel().config().isAutoRead();
  }

  /**
   * Whether the streamed response may continue past the deadline of the request: a long response
   * has to meet the deadline only with its first byte. A response of unknown length is long once
   * more of it has come than is held in memory. Until then it may continue while its client is not
   * reading, and otherwise for {@link #OVERDUE_GRACE_MILLIS} and for as long as it is being
   * written. Guards against a response that never ends: its client waits for it, and no other
   * response is possible once its stream has begun.
   */
  @Override
  protected boolean canOutliveDeadline(double overdueMillis) {
    return progress.isLong()
        || isWaitingForClient()
        || overdueMillis < OVERDUE_GRACE_MILLIS
        || progress.isBeingWritten(dispatcher().now());
  }

  /**
   * Ends the attempt after a malformed or incomplete response. The attempt may have run, and the
   * load report of such a response is discarded.
   */
  @Override
  protected void onConnectionBroken() {
    report = null;
    super.onConnectionBroken();
  }

  @Override
  protected void releaseResponse(AttemptOutcome outcome) {
    boolean isCutOff = outcome == AttemptOutcome.TIMEOUT || outcome == AttemptOutcome.RESET;
    if (isCutOff && progress != null && !serverError) {
      progress.logCutOff(exchange, outcome, body == null ? 0 : body.size(), dispatcher().now());
    }
    dispatcher().bodyBudget().cancelAwait(resume);
    if (head != null) {
      head.release();
    }
    if (call.upload() != null) {
      call.upload().detach(this);
    }
    if (streaming) {
      streaming = false;
      call.abortStream(); // the client detects the incomplete response
    }
    if (body != null) {
      body.release();
      body = null;
    }
  }
}
