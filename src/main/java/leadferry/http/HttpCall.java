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
  private static final AsciiString TIMEOUT = AsciiString.cached("X-Timeout-Ms");

  private final ResponseWriter client;
  private final HttpRequest head;
  private final Body body;
  private final RequestBodyUpload upload;
  private final HttpHeaders trailers;
  private final Streaming streaming;
  private final double announcedMillis;
  private final boolean chunked;
  private Exchange exchange;
  private HttpAttempt answering;
  private HttpResponse error;
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
    Headers.dropHopByHop(headers);
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
    forgetError(); // only an error that ends the request is passed on
    return new HttpAttempt(this, by, host, number, now);
  }

  @Override
  public boolean isReplayable() {
    return upload == null || upload.replayable();
  }

  @Override
  public boolean isIncomplete() {
    return upload != null && !upload.whole();
  }

  @Override
  public boolean hasClientDisconnected() {
    return (upload == null || upload.whole()) && client.abandoned();
  }

  @Override
  public boolean isTimedToFirstByte() {
    return streaming == Streaming.LARGE;
  }

  RequestBodyUpload upload() {
    return upload;
  }

  /** The body has come whole. */
  void whole() {
    if (announcedMillis > 0) {
      exchange.restartDeadline(announcedMillis);
    }
  }

  ChannelFuture writeTo(Channel channel, long remainingMs) {
    HttpHeaders headers = head.headers();
    headers.set(
        TIMEOUT,
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
              Headers.NONE));
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
              Headers.NONE));
    }
    channel.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), headers));
    for (ByteBuf block : blocks) {
      channel.write(new DefaultHttpContent(block));
    }
    return channel.writeAndFlush(last(trailers));
  }

  /** The end of a chunked body, with its trailers. */
  static LastHttpContent last(HttpHeaders trailers) {
    return trailers.isEmpty()
        ? LastHttpContent.EMPTY_LAST_CONTENT
        : new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER, trailers);
  }

  void served(HttpResponse response, Body whole, HttpHeaders responseTrailers) {
    client.answer(response, response.status(), whole, Headers.passable(responseTrailers));
  }

  // --- an answer that streams

  /**
   * Whether an answer goes on while it comes whose length is this (-1 for not told), and of which
   * more than {@code maxHeldBytes} can't be held.
   */
  boolean streams(long lengthBytes, int maxHeldBytes) {
    return client.canStream(lengthBytes)
        && (streaming == Streaming.ALWAYS
            || (streaming == Streaming.LARGE && lengthBytes > maxHeldBytes));
  }

  /** Whether an answer of no told length goes on while it comes once it is too long to be held. */
  boolean overflows() {
    return streaming == Streaming.LARGE && client.canStream(-1);
  }

  void begin(HttpAttempt attempt, HttpResponse response, long lengthBytes) {
    answering = attempt;
    client.begin(response, lengthBytes);
  }

  boolean pass(ByteBuf bytes) {
    return client.pass(bytes);
  }

  void finish(HttpHeaders responseTrailers) {
    answering = null;
    client.finish(Headers.passable(responseTrailers));
  }

  void cut() {
    answering = null;
    client.cut();
  }

  /** The client takes more of the answer. */
  void writable() {
    if (answering != null) {
      answering.clientTakesMore();
    }
  }

  // --- an error of a host's that may end the request

  void keepError(HttpResponse response, Body whole, HttpHeaders responseTrailers) {
    error = response;
    errorBody = whole;
    errorTrailers = responseTrailers;
  }

  private void forgetError() {
    error = null;
    if (errorBody != null) {
      errorBody.release();
      errorBody = null;
    }
  }

  /**
   * Passes the error on. Guards rule 2 against a host's own 503: to a client it says that sending
   * again is harmless, which holds only where the class may be repeated or nothing has run.
   */
  private void passError(boolean refused) {
    HttpResponse response = error;
    Body whole = errorBody;
    error = null;
    errorBody = null;
    HttpResponseStatus status =
        response.status().code() == 503 && !refused
            ? HttpResponseStatus.BAD_GATEWAY
            : response.status();
    client.error(response, status, whole, Headers.passable(errorTrailers));
  }

  void answer(int status) {
    client.answer(status, 0);
  }

  @Override
  public void sendRejection(double coolDownMs) {
    if (error != null) {
      passError(true); // its attempts are used up, and the last of them says why
    } else {
      client.answer(503, coolDownMs);
    }
  }

  @Override
  public void sendFailure(boolean timeUp) {
    if (error != null && !timeUp) {
      passError(false);
    } else {
      client.answer(timeUp ? 504 : 502, 0);
    }
  }

  @Override
  public void free() {
    forgetError();
    if (body != null) {
      body.release();
    }
    if (upload != null) {
      upload.free();
    }
  }
}
