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

  /**
   * Least mean rate (bytes per ms) at which an overdue response of unknown length counts as being
   * written: an eighth of what the slowest sender of the protocol sends.
   */
  private static final double MIN_OVERDUE_BYTES_PER_MILLI = 8;

  /** Pause (ms) after which an overdue response of unknown length no longer counts as written. */
  private static final double MAX_OVERDUE_PAUSE_MILLIS = 2_000;

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

  /** Resumes reading a streamed response when the client's socket is writable again. */
  void onClientWritable() {
    if (!isOver() && connection() != null) {
      connection().channel().config().setAutoRead(true);
    }
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
      serverError = true;
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

  /**
   * Receives the body of a response that is served: it is streamed, or held until it is complete.
   */
  private void receiveBody(HttpResponse response) {
    head = response;
    headAtMillis = dispatcher().now();
    receivedAtMillis = headAtMillis;
    lengthBytes = HttpUtil.getContentLength(response, -1L);
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
    boolean isHeld = !isOver() && !streaming && !serverError && head != null && lengthBytes < 0;
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
    call.beginStream(this, head, lengthBytes);
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
    streamedBytes += bytes.readableBytes();
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
    receivedAtMillis = dispatcher().now();
    if (streaming) {
      if (streamedBytes + partBytes > upstreamConnection().protocol.maxStreamedResponseBytes()) {
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

  /** Resumes reading when memory for bodies is free. */
  private void resumeReading() {
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
      call.keepErrorResponse(head, completeBody, trailers);
      finish(AttemptOutcome.ERROR);
      return;
    }
    if (exchange.claim()) {
      call.sendResponse(head, completeBody, trailers);
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
    return lengthBytes > upstreamConnection().protocol.maxHeldResponseBytes()
        || streamedBytes > upstreamConnection().protocol.maxHeldResponseBytes()
        || isWaitingForClient()
        || overdueMillis < OVERDUE_GRACE_MILLIS
        || isBeingWritten();
  }

  /** Whether the host has kept up a rate that only a long response has, and has not stopped. */
  private boolean isBeingWritten() {
    double nowMillis = dispatcher().now();
    return nowMillis - receivedAtMillis < MAX_OVERDUE_PAUSE_MILLIS
        && streamedBytes >= MIN_OVERDUE_BYTES_PER_MILLI * (nowMillis - headAtMillis);
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

  /** Logs the end of a response that has begun and does not end as its framing says. */
  private void logCutOff(AttemptOutcome outcome) {
    double nowMillis = dispatcher().now();
    exchange
        .log()
        .event(
            "response cut off",
            "reason",
            outcome == AttemptOutcome.TIMEOUT ? "deadline" : "upstream",
            "forwarded",
            streamedBytes,
            "held",
            body == null ? 0 : body.size(),
            "length",
            lengthBytes < 0 ? null : lengthBytes,
            "ms",
            Math.round(nowMillis - headAtMillis),
            "pause",
            Math.round(nowMillis - receivedAtMillis),
            "server",
            exchange.lastServer(),
            "id",
            call.requestId());
  }

  @Override
  protected void releaseResponse(AttemptOutcome outcome) {
    boolean isCutOff = outcome == AttemptOutcome.TIMEOUT || outcome == AttemptOutcome.RESET;
    if (isCutOff && head != null && !serverError) {
      logCutOff(outcome);
    }
    dispatcher().bodyBudget().cancelAwait(resume);
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
