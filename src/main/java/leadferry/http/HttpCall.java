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

/** An HTTP request, kept until its last attempt is over. */
final class HttpCall implements ClientCall {
  private static final AsciiString TIMEOUT_HEADER = AsciiString.cached("X-Timeout-Ms");

  private final ResponseWriter client;
  private final HttpRequest head;
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
   * A request whose body has come whole, or comes as {@code upload}; {@code streaming} tells
   * whether its answer may go on while it comes, {@code announcedMillis} (ms) what hosts are told
   * of its time, 0 for what is left.
   */
  HttpCall(
      ResponseWriter client,
      HttpRequest head,
      Body body,
      RequestBodyUpload upload,
      HttpHeaders trailers,
      Streaming streaming,
      double announcedMillis) {
    this.client = client;
    this.head = head;
    this.body = body;
    this.upload = upload;
    this.trailers = trailers;
    this.streaming = streaming;
    this.announcedMillis = announcedMillis;
    HttpHeaders headers = head.headers();
    boolean takesTrailers =
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
    if (takesTrailers) {
      // Ours to this host: trailers are passed on.
      headers.set(HttpHeaderNames.TE, HttpHeaderValues.TRAILERS);
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderNames.TE);
    }
    headers.remove(HttpHeaderNames.EXPECT);
  }

  @Override
  public void onExchangeStarted(Exchange by) {
    exchange = by;
  }

  Exchange exchange() {
    return exchange;
  }

  @Override
  public String requestId() {
    return head.headers().get("X-Request-ID");
  }

  boolean isHead() {
    return head.method().equals(HttpMethod.HEAD);
  }

  @Override
  public Attempt createAttempt(Exchange by, UpstreamHost host, int number, double now) {
    freeErrorResponse(); // only an error that ends the request is passed on
    return new HttpAttempt(this, by, host, number, now);
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

  /** The body has come whole. */
  void onUploadComplete() {
    if (announcedMillis > 0) {
      exchange.restartDeadline(announcedMillis);
    }
  }

  ChannelFuture writeTo(Channel channel, long remainingMs) {
    HttpHeaders headers = head.headers();
    headers.set(
        TIMEOUT_HEADER,
        announcedMillis > 0 && isIncomplete()
            ? (long) announcedMillis
            : remainingMs); // a host counts from the last byte
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

  /** The end of a chunked body, with its trailers. */
  static LastHttpContent lastContent(HttpHeaders trailers) {
    return trailers.isEmpty()
        ? LastHttpContent.EMPTY_LAST_CONTENT
        : new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER, trailers);
  }

  void sendResponse(HttpResponse response, Body whole, HttpHeaders responseTrailers) {
    client.send(response, response.status(), whole, Headers.forwardableTrailers(responseTrailers));
  }

  // --- an answer that streams

  /**
   * Whether an answer goes on while it comes whose length is this (-1 for not told), and of which
   * more than {@code maxHeldBytes} can't be held.
   */
  boolean shouldStream(long lengthBytes, int maxHeldBytes) {
    return client.canStream(lengthBytes)
        && (streaming == Streaming.ALWAYS
            || (streaming == Streaming.LARGE && lengthBytes > maxHeldBytes));
  }

  /** Whether an answer of no told length goes on while it comes once it is too long to be held. */
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

  /** The client takes more of the answer. */
  void onClientWritable() {
    if (streamingAttempt != null) {
      streamingAttempt.onClientWritable();
    }
  }

  // --- an error of a host's that may end the request

  void keepErrorResponse(HttpResponse response, Body whole, HttpHeaders responseTrailers) {
    errorResponse = response;
    errorBody = whole;
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
   * Passes the error on. Guards rule 2 against a host's own 503: to a client it says that sending
   * again is harmless, which holds only where the class may be repeated or nothing has run.
   */
  private void forwardErrorResponse(boolean refused) {
    HttpResponse response = errorResponse;
    Body whole = errorBody;
    errorResponse = null;
    errorBody = null;
    HttpResponseStatus status =
        response.status().code() == 503 && !refused
            ? HttpResponseStatus.BAD_GATEWAY
            : response.status();
    client.sendError(response, status, whole, Headers.forwardableTrailers(errorTrailers));
  }

  void sendLocalResponse(int status) {
    client.send(status, 0);
  }

  @Override
  public void sendRejection(double coolDownMs) {
    if (errorResponse != null) {
      forwardErrorResponse(true); // its attempts are used up, and the last of them says why
    } else {
      client.send(503, coolDownMs);
    }
  }

  @Override
  public void sendFailure(boolean timeUp) {
    if (errorResponse != null && !timeUp) {
      forwardErrorResponse(false);
    } else {
      client.send(timeUp ? 504 : 502, 0);
    }
  }

  @Override
  public void free() {
    freeErrorResponse();
    if (body != null) {
      body.release();
    }
    if (upload != null) {
      upload.free();
    }
  }
}
