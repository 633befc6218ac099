package leadferry.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import leadferry.engine.Body;
import leadferry.engine.Dispatcher;
import leadferry.loadbalancer.RequestArrival;

/**
 * The way into a client's connection: from the decoded parts of one request to the call that the
 * engine takes. {@link RequestHead} reads the head, {@link RequestBodyBuffer} holds the body,
 * {@link RequestAdmission} decides whether the request may enter the engine.
 *
 * <pre>
 *   head --> filter result --+--> body held whole ----------------> call
 *                            +--> call, body streams after it (RequestBodyUpload)
 *                            +--> answered at once; the rest of it is read and thrown away
 * </pre>
 *
 * <p>Used on the connection's event loop alone.
 */
final class RequestIntake {
  /** How long (ms) the longest body may take that streams ahead of its request's own time. */
  private static final double MAX_UPLOAD_MILLIS = 3_600_000;

  /** A request with less time left (ms) than this is rejected. */
  private static final double MIN_REMAINING_MILLIS = 1;

  private static final double NANOS_PER_MILLI = 1e6;

  private final ClientConnection client;
  private final HttpServer server;
  private final SocketChannel channel;
  private final RequestDecoder decoder;
  private final ResponseWriter responses;
  private final RequestHead head;
  private final RequestBodyBuffer buffer;
  private final RequestAdmission admission;
  private final DiscardedInput discarded;
  private RequestBodyUpload upload;

  RequestIntake(
      ClientConnection client,
      HttpServer server,
      SocketChannel channel,
      RequestDecoder decoder,
      ResponseWriter responses) {
    this.client = client;
    this.server = server;
    this.channel = channel;
    this.decoder = decoder;
    this.responses = responses;
    this.head = new RequestHead(server, channel);
    this.buffer = new RequestBodyBuffer(server, channel);
    this.admission = new RequestAdmission(client, server);
    this.discarded = new DiscardedInput(client, server, channel, decoder);
  }

  // --- the present request

  /** The present request's, or null. */
  FilterResult filterResult() {
    return head.filterResult();
  }

  /** The body that is forwarded while it comes, or null. */
  RequestBodyUpload upload() {
    return upload;
  }

  /** Whether the present request is one of HTTP/1.0. */
  boolean isHttp10() {
    return head.isHttp10();
  }

  /** When ({@link System#nanoTime}) the present request's head had come. */
  long headReceivedAtNanos() {
    return head.receivedAtNanos();
  }

  /** What of the connection is read only to be thrown away. */
  DiscardedInput discardedInput() {
    return discarded;
  }

  /** Whether reading waits for memory. */
  boolean isPaused() {
    return buffer.isPaused();
  }

  /** Bytes of the present body that are held. */
  long heldBodyBytes() {
    return buffer.heldBytes();
  }

  /**
   * Whether the rest of a request that still comes is read and thrown away, so that its connection
   * can stay.
   */
  boolean shouldSkipRemainder() {
    return upload != null && head.filterResult().streaming() == Streaming.LARGE;
  }

  // --- reading

  /** Part of the present request, or of the next; {@code atNanos} is when it came. */
  void onPart(HttpObject part, long atNanos) {
    if (part.decoderResult().isFailure()) {
      client.reject(statusForFailure(part.decoderResult().cause()));
      return;
    }
    if (part instanceof HttpRequest request) {
      begin(request, atNanos);
    }
    if (upload != null
        && part instanceof LastHttpContent
        && client.closeIfDisconnectedBetweenRequests()) {
      return; // the last byte is not forwarded: its client left while a connection was waited for,
      // and its end was not read
    }
    if (part instanceof HttpContent content && client.acceptsRequests()) {
      ByteBuf bytes = content.content();
      if (bytes.isReadable()) {
        append(bytes);
      }
      if (part instanceof LastHttpContent last && client.acceptsRequests()) {
        complete(last.trailingHeaders(), atNanos);
      }
    }
  }

  /** The status of a request that can't be decoded. */
  private static int statusForFailure(Throwable decoderFailure) {
    if (decoderFailure instanceof TooLongHttpLineException) {
      return 414;
    }
    return decoderFailure instanceof TooLongHttpHeaderException ? 431 : 400;
  }

  private void begin(HttpRequest request, long atNanos) {
    if (!HttpUtil.isKeepAlive(request)) {
      client.closeAfterCurrentResponse();
    }
    int rejectedWith = head.read(request, atNanos);
    if (rejectedWith != 0) {
      client.reject(rejectedWith);
      return;
    }
    if (!head.isForwarded()) {
      return;
    }
    if (head.expectsContinue()) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
    if (head.shouldStreamFromStart()) {
      startStreaming();
    }
  }

  /** The body is forwarded while it comes: the request enters the engine ahead of its last byte. */
  private void startStreaming() {
    client.markRequestSeen();
    FilterResult result = head.filterResult();
    Dispatcher pool = result.target();
    switch (admission.decideStreamed(head.request(), pool)) {
      case POOL_FULL -> client.reject(503);
      case DUPLICATE_ID -> client.reject(409);
      default -> dispatchStreamed(result, pool);
    }
  }

  private void dispatchStreamed(FilterResult result, Dispatcher pool) {
    RequestArrival arrival = result.arrival();
    boolean large = result.streaming() == Streaming.LARGE;
    double announcedMillis = large ? arrival.budgetMillis() : 0;
    upload = new RequestBodyUpload(this, pool, buffer.take(), server.budget());
    HttpCall call =
        new HttpCall(
            responses,
            head.request(),
            null,
            upload,
            Headers.EMPTY,
            result.streaming(),
            announcedMillis);
    head.clearRequest();
    client.beginCall(call);
    pool.submit(
        call,
        large ? arrival.withBudget(arrival.budgetMillis() + MAX_UPLOAD_MILLIS) : arrival,
        result.fallback());
  }

  /** Reads on, or no longer: what an upload goes to, or the room that it has, tells. */
  void setReading(boolean enabled) {
    if (upload != null && !buffer.isPaused() && channel.config().isAutoRead() != enabled) {
      channel.config().setAutoRead(enabled);
    }
  }

  private void append(ByteBuf bytes) {
    if (upload != null) {
      appendToUpload(bytes);
    } else if (!head.isForwarded()) {
      if (discarded.countAndCheckLimit(bytes)) {
        client.reject(413); // not worth reading on for a response that is known
      }
    } else {
      appendToBuffer(bytes);
    }
  }

  private void appendToUpload(ByteBuf bytes) {
    if (upload.receivedBytes() + bytes.readableBytes() > server.settings().maxStreamedBodyBytes()) {
      client.reject(413);
    } else {
      upload.onContent(bytes);
    }
  }

  private void appendToBuffer(ByteBuf bytes) {
    switch (buffer.append(bytes, head)) {
      case HELD -> {}
      case TOO_LARGE -> client.reject(413);
      case MUST_STREAM -> {
        startStreaming();
        if (upload != null) {
          upload.onContent(bytes);
        }
      }
      case OUT_OF_MEMORY -> {
        // Guards against requests that wait for each other's memory: the one at hand gives way.
        server.recordMemoryRejection();
        client.reject(503);
      }
    }
  }

  private void complete(HttpHeaders trailers, long atNanos) {
    if (decoder.onRequestCompleted() && server.settings().maxPipelinedRequests() <= 1) {
      client.reject(400); // a second request behind this one, whose client keeps to no order
    } else if (!Headers.hasValidTrailers(trailers, server.filter().inspectedHeaders())) {
      client.reject(400); // a server may take one of them for a header that was judged
    } else if (upload != null) {
      completeUpload(trailers);
    } else {
      completeHeld(trailers, atNanos);
    }
  }

  private void completeUpload(HttpHeaders trailers) {
    RequestBodyUpload whole = upload;
    upload = null;
    // It may have waited for room; from here on its client's end is to be seen.
    channel.config().setAutoRead(true);
    if (client.call() != null) {
      client.call().onUploadComplete();
    }
    whole.onEnd(trailers);
  }

  private void completeHeld(HttpHeaders trailers, long atNanos) {
    boolean first = client.markRequestSeen();
    Body body = buffer.takeComplete();
    HttpRequest request = head.request();
    head.clearRequest();
    FilterResult result = head.filterResult();
    if (!head.isForwarded()) {
      RequestBodyBuffer.free(body);
      discarded.reset();
      responses.send(result.status(), result.retryAfterMillis());
      return;
    }
    switch (admission.decide(request, result.target(), first)) {
      case CLIENT_GONE -> RequestBodyBuffer.free(body);
      case DUPLICATE_ID -> {
        client.reject(409);
        RequestBodyBuffer.free(body);
      }
      case POOL_FULL -> rejectUnsent(body);
      case ADMITTED -> dispatch(request, body, trailers, atNanos);
    }
  }

  private void dispatch(HttpRequest request, Body body, HttpHeaders trailers, long atNanos) {
    FilterResult result = head.filterResult();
    double elapsedMillis = (System.nanoTime() - atNanos) / NANOS_PER_MILLI;
    double remainingMillis = result.arrival().budgetMillis() - elapsedMillis;
    if (remainingMillis < MIN_REMAINING_MILLIS) {
      rejectUnsent(body); // its time went by behind those that were sent ahead of it
      return;
    }
    HttpCall call = new HttpCall(responses, request, body, null, trailers, result.streaming(), 0);
    client.beginCall(call);
    result.target().submit(call, result.arrival().withBudget(remainingMillis), result.fallback());
  }

  /** Rejects a whole request that the engine has not been given. */
  private void rejectUnsent(Body body) {
    RequestBodyBuffer.free(body);
    responses.send(503, 0);
  }

  // --- ends

  /**
   * The present request has its response; what of it still comes is thrown away, or is not taken.
   */
  void onResponseSubmitted() {
    discarded.onResponseSubmitted(shouldSkipRemainder());
    upload = null;
    admission.releaseId();
    head.releaseFilterResult();
  }

  /** The present request is not taken any more. */
  void dropRequest() {
    buffer.drop();
    head.clearRequest();
    head.releaseFilterResult();
  }

  /** The client has gone. */
  void onClientClosed() {
    dropRequest();
    admission.releaseId();
  }
}
