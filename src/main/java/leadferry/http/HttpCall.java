package leadferry.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;
import leadferry.engine.Attempt;
import leadferry.engine.Body;
import leadferry.engine.ClientCall;
import leadferry.engine.Exchange;
import leadferry.engine.UpstreamHost;

/** HTTP request of a client; kept until its last attempt is over. */
final class HttpCall implements ClientCall {
  private static final AsciiString TIMEOUT_HEADER = AsciiString.cached("X-Timeout-Ms");

  private final ResponseWriter client;
  private final HttpRequest head;
  private final HeadBudget.Reservation headMemory;
  private final Body body;
  private final RequestBodyUpload upload;
  private final HttpHeaders trailers;
  private final Streaming streaming;
  private final double announcedMillis;
  private final boolean chunked;
  private Exchange exchange;
  private HttpAttempt streamingAttempt;
  private HttpResponse errorResponse;
  private Body errorBody;
  private HttpHeaders errorTrailers;

  /**
   * Creates a call with a complete body, or with a body that is streamed as {@code upload}.
   *
   * @param headMemory memory of the head, which the call releases
   * @param body complete body, or null
   * @param upload streamed body, or null
   * @param streaming whether the response may be streamed
   * @param announcedMillis time budget (ms) that upstream hosts are given in {@code X-Timeout-Ms}
   *     while the body is still arriving; 0 to give them the time that remains of the request
   */
  HttpCall(
      ResponseWriter client,
      HttpRequest head,
      HeadBudget.Reservation headMemory,
      Body body,
      RequestBodyUpload upload,
      HttpHeaders trailers,
      Streaming streaming,
      double announcedMillis) {
    this.client = client;
    this.head = head;
    this.headMemory = headMemory;
    this.body = body;
    this.upload = upload;
    this.trailers = trailers;
    this.streaming = streaming;
    this.announcedMillis = announcedMillis;
    HttpHeaders headers = head.headers();
    boolean acceptsTrailers =
        headers.containsValue(HttpHeaderNames.TE, HttpHeaderValues.TRAILERS, true);
    this.chunked =
        upload != null ? !headers.contains(HttpHeaderNames.CONTENT_LENGTH) : !trailers.isEmpty();
    Headers.removeHopByHop(headers);
    if (chunked) {
      headers.remove(HttpHeaderNames.CONTENT_LENGTH);
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    } else if (body != null) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, body.size());
    }
    if (acceptsTrailers) {
      // TE is hop-by-hop. It is set again for the connection to the upstream host, because trailers
      // are forwarded.
      headers.set(HttpHeaderNames.TE, HttpHeaderValues.TRAILERS);
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderNames.TE);
    }
    headers.remove(HttpHeaderNames.EXPECT);
  }

  @Override
  public void onExchangeStarted(Exchange newExchange) {
    exchange = newExchange;
  }

  Exchange exchange() {
    return exchange;
  }

  @Override
  public String requestId() {
    return head.headers().get("X-Request-ID");
  }

  /** Whether a host may have run the request, and running it again would have a second effect. */
  boolean mayHaveHadEffect() {
    return exchange.mayHaveHadEffect();
  }

  boolean isHead() {
    return head.method().equals(HttpMethod.HEAD);
  }

  @Override
  public Attempt createAttempt(
      Exchange attemptExchange, UpstreamHost upstreamHost, int number, double nowMillis) {
    freeErrorResponse(); // only an error that ends the request is forwarded
    return new HttpAttempt(this, attemptExchange, upstreamHost, number, nowMillis);
  }

  @Override
  public boolean isReplayable() {
    return upload == null || upload.isReplayable();
  }

  @Override
  public boolean isIncomplete() {
    return upload != null && !upload.isComplete();
  }

  @Override
  public boolean hasClientDisconnected() {
    return (upload == null || upload.isComplete()) && client.closeIfDisconnected();
  }

  @Override
  public boolean isTimedToFirstByte() {
    return streaming == Streaming.LARGE;
  }

  RequestBodyUpload upload() {
    return upload;
  }

  /**
   * Restarts the deadline of the request when its body is complete, with the time budget that
   * upstream hosts were given in {@code X-Timeout-Ms}. Without such a budget the deadline stays.
   *
   * @param lastByteAgeMillis time for which the last byte was unread
   */
  void onUploadComplete(double lastByteAgeMillis) {
    if (announcedMillis == 0) {
      return;
    }
    if (lastByteAgeMillis < announcedMillis) {
      exchange.restartDeadline(announcedMillis - lastByteAgeMillis);
    } else {
      exchange.expire(); // the last byte must not be forwarded
    }
  }

  ChannelFuture writeTo(Channel channel, long remainingMillis) {
    HttpHeaders headers = head.headers();
    // An upstream host counts the time in X-Timeout-Ms from the last byte of the request.
    headers.set(
        TIMEOUT_HEADER,
        announcedMillis > 0 && isIncomplete() ? (long) announcedMillis : remainingMillis);
    if (upload != null) {
      return channel.writeAndFlush(
          new DefaultHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), headers));
    }
    if (!chunked && (body == null || body.size() == 0)) {
      return channel.writeAndFlush(
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              head.method(),
              head.uri(),
              Unpooled.EMPTY_BUFFER,
              headers,
              Headers.EMPTY));
    }
    List<ByteBuf> blocks = body == null ? List.of() : body.retainedBlocks();
    if (blocks.size() == 1 && !chunked) {
      return channel.writeAndFlush(
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              head.method(),
              head.uri(),
              blocks.get(0),
              headers,
              Headers.EMPTY));
    }
    channel.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), headers));
    for (ByteBuf block : blocks) {
      channel.write(new DefaultHttpContent(block));
    }
    return channel.writeAndFlush(lastContent(trailers));
  }

  /** Returns the last chunk of a body with its trailers. */
  static LastHttpContent lastContent(HttpHeaders trailers) {
    return trailers.isEmpty()
        ? LastHttpContent.EMPTY_LAST_CONTENT
        : new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER, trailers);
  }

  void sendResponse(HttpResponse response, Body responseBody, HttpHeaders responseTrailers) {
    client.send(
        response, response.status(), responseBody, Headers.forwardableTrailers(responseTrailers));
  }

  // --- streamed response

  /**
   * Whether a response of this length (-1 if unknown) is streamed. At most {@code maxHeldBytes} of
   * it can be held in memory.
   */
  boolean shouldStream(long lengthBytes, int maxHeldBytes) {
    return client.canStream(lengthBytes)
        && (streaming == Streaming.ALWAYS
            || (streaming == Streaming.LARGE && lengthBytes > maxHeldBytes));
  }

  /** Whether a response of unknown length is streamed once it is too long to be held in memory. */
  boolean shouldStreamOverflow() {
    return streaming == Streaming.LARGE && client.canStream(-1);
  }

  void beginStream(HttpAttempt attempt, HttpResponse response, long lengthBytes) {
    streamingAttempt = attempt;
    client.beginStream(response, lengthBytes);
  }

  boolean writeStreamContent(ByteBuf bytes) {
    return client.writeStreamContent(bytes);
  }

  void finishStream(HttpHeaders responseTrailers) {
    streamingAttempt = null;
    client.finishStream(Headers.forwardableTrailers(responseTrailers));
  }

  void abortStream() {
    streamingAttempt = null;
    client.abortStream();
  }

  /** Resumes the streamed response when the client's socket is writable again. */
  void onClientWritable() {
    if (streamingAttempt != null) {
      streamingAttempt.resumeReading();
    }
  }

  // --- error response of an upstream host that may end the request

  void keepErrorResponse(HttpResponse response, Body responseBody, HttpHeaders responseTrailers) {
    errorResponse = response;
    errorBody = responseBody;
    errorTrailers = responseTrailers;
  }

  private void freeErrorResponse() {
    errorResponse = null;
    if (errorBody != null) {
      errorBody.release();
      errorBody = null;
    }
  }

  /**
   * Forwards the error response. Guards the rule that no effect of a request happens twice (rule 2
   * of package {@code engine}) against a 503 of an upstream host: a 503 tells the client that a
   * retry is harmless. That holds only if requests of the class may be repeated or if no attempt
   * has run. Otherwise the 503 becomes a 502.
   */
  private void forwardErrorResponse(boolean isRefused) {
    HttpResponse response = errorResponse;
    Body responseBody = errorBody;
    errorResponse = null;
    errorBody = null;
    HttpResponseStatus status =
        response.status().code() == 503 && !isRefused
            ? HttpResponseStatus.BAD_GATEWAY
            : response.status();
    client.sendError(response, status, responseBody, Headers.forwardableTrailers(errorTrailers));
  }

  void sendLocalResponse(int status) {
    client.send(status, 0);
  }

  @Override
  public void sendRejection(double coolDownMillis) {
    if (errorResponse != null) {
      // The attempts are used up, and the last response gives the reason.
      forwardErrorResponse(true);
    } else {
      client.send(503, coolDownMillis);
    }
  }

  @Override
  public void sendFailure(boolean timedOut) {
    if (errorResponse != null && !timedOut) {
      forwardErrorResponse(false);
    } else {
      client.send(timedOut ? 504 : 502, 0);
    }
  }

  /** Returns the budget for message heads. */
  HeadBudget headBudget() {
    return client.headBudget();
  }

  @Override
  public void free() {
    headMemory.release();
    freeErrorResponse();
    if (body != null) {
      body.release();
    }
    if (upload != null) {
      upload.releaseReplayBuffer();
    }
  }
}
