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
import leadferry.engine.Body;
import leadferry.engine.Dispatcher;
import leadferry.loadbalancer.RequestArrival;

/**
 * Assembles one request of a client connection from its decoded parts and passes it to the engine
 * as a call. {@link RequestHead} evaluates the head, {@link RequestBodyBuffer} holds the body, and
 * {@link RequestAdmission} decides whether the request may enter the engine.
 *
 * <pre>
 *   head --> filter result --+--> complete body held in memory -----> call
 *                            +--> call, body streamed after it (RequestBodyUpload)
 *                            +--> local response; the remaining input is read and discarded
 * </pre>
 *
 * <p>Used only on the connection's event loop.
 */
final class RequestIntake {
  /**
   * Maximum time (ms) for a streamed body to arrive, in addition to the time budget of its request.
   */
  private static final double MAX_UPLOAD_MILLIS = 3_600_000;

  /** Minimum remaining time (ms) of a request that is forwarded; with less, it is rejected. */
  static final double MIN_REMAINING_MILLIS = 1;

  private static final double NANOS_PER_MILLI = 1e6;

  private final ClientConnection client;
  private final HttpServer server;
  private final SocketChannel channel;
  private final RequestDecoder decoder;
  private final ResponseWriter responseWriter;
  private final RequestHead head;
  private final RequestBodyBuffer buffer;
  private final RequestAdmission admission;
  private final DiscardedInput discarded;
  private final UnreadBodyDeadline unreadDeadline;
  private RequestBodyUpload upload;

  RequestIntake(
      ClientConnection client,
      HttpServer server,
      SocketChannel channel,
      RequestDecoder decoder,
      ResponseWriter responseWriter) {
    this.client = client;
    this.server = server;
    this.channel = channel;
    this.decoder = decoder;
    this.responseWriter = responseWriter;
    this.head = new RequestHead(server, channel);
    this.buffer = new RequestBodyBuffer(server, channel);
    this.admission = new RequestAdmission(client, server);
    this.discarded = new DiscardedInput(client, server, channel, decoder);
    this.unreadDeadline = new UnreadBodyDeadline(client, server, channel);
  }

  // --- the current request

  /** Returns the filter result of the current request, or null. */
  FilterResult filterResult() {
    return head.filterResult();
  }

  /**
   * Returns the pool of the request whose body is being received before it enters the engine, or
   * null if there is no such request.
   */
  Dispatcher awaitingPool() {
    FilterResult result = head.filterResult();
    return head.request() == null || result == null ? null : result.target();
  }

  /** Returns the streamed body of the current request, or null. */
  RequestBodyUpload upload() {
    return upload;
  }

  /** Whether the current request uses HTTP/1.0. */
  boolean isHttp10() {
    return head.isHttp10();
  }

  /** Returns the {@link System#nanoTime} at which the head of the current request was received. */
  long headReceivedAtNanos() {
    return head.receivedAtNanos();
  }

  /** Returns the component that discards input after a response. */
  DiscardedInput discardedInput() {
    return discarded;
  }

  /** Whether reading is paused until memory for bodies is free. */
  boolean isPaused() {
    return buffer.isPaused();
  }

  /** Returns the number of bytes of the current body that are held in memory. */
  long heldBodyBytes() {
    return buffer.heldBytes();
  }

  /**
   * Whether the remaining input of the request is read and discarded after its response, so that
   * the connection stays usable.
   */
  boolean shouldSkipRemainder() {
    return upload != null && head.filterResult().streaming() == Streaming.LARGE;
  }

  // --- reading

  /**
   * Handles part of the current request or of the next one, which arrived at {@code
   * receivedAtNanos}.
   */
  void onPart(HttpObject part, long receivedAtNanos) {
    if (part.decoderResult().isFailure()) {
      rejectUnreadable(part.decoderResult().cause());
      return;
    }
    if (part instanceof HttpRequest request) {
      beginRequest(request, receivedAtNanos);
    }
    if (upload != null && part instanceof LastHttpContent && client.closeIfDisconnected()) {
      // The last byte is not forwarded: the client disconnected while the request waited for an
      // upstream connection, and the end of its stream was not read.
      return;
    }
    if (part instanceof HttpContent content && client.acceptsRequests()) {
      ByteBuf bytes = content.content();
      if (bytes.isReadable()) {
        append(bytes);
      }
      if (part instanceof LastHttpContent last && client.acceptsRequests()) {
        complete(last.trailingHeaders(), receivedAtNanos);
      }
    }
  }

  private void rejectUnreadable(Throwable decoderFailure) {
    if (decoderFailure instanceof HeadMemoryException) {
      server.recordHeadRejection();
    }
    client.reject(RequestDecoder.statusOf(decoderFailure));
  }

  private void beginRequest(HttpRequest request, long receivedAtNanos) {
    if (!HttpUtil.isKeepAlive(request)) {
      client.closeAfterCurrentResponse();
    }
    int rejectionStatus = head.evaluate(request, receivedAtNanos);
    if (rejectionStatus != 0) {
      client.reject(rejectionStatus);
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

  /** Starts to stream the body: the request enters the engine before its last byte has arrived. */
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
    boolean isLarge = result.streaming() == Streaming.LARGE;
    double announcedMillis = isLarge ? arrival.budgetMillis() : 0;
    upload = new RequestBodyUpload(this, pool, buffer.takeBody(), server, channel.alloc());
    HttpCall call =
        new HttpCall(
            responseWriter,
            head.request(),
            head.takeMemory(),
            null,
            upload,
            Headers.EMPTY,
            result.streaming(),
            announcedMillis);
    long totalBytes = head.contentLength();
    head.clearRequest();
    admission.onCallStarted(call);
    client.beginCall(call);
    pool.submit(
        call,
        isLarge ? arrival.withBudget(arrival.budgetMillis() + MAX_UPLOAD_MILLIS) : arrival,
        result.fallback());
    if (isLarge && upload != null) {
      unreadDeadline.startForUpload(upload, totalBytes, arrival.budgetMillis());
    }
  }

  /** Enables or disables reading from the client, depending on whether the upload has capacity. */
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
        client.reject(413); // not worth reading on: the response is already decided
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
      case HELD -> {
        if (buffer.isPaused()) {
          unreadDeadline.startForHeldBody(
              buffer, head.contentLength(), head.filterResult().arrival().budgetMillis());
        }
      }
      case TOO_LARGE -> client.reject(413);
      case MUST_STREAM -> {
        startStreaming();
        if (upload != null) {
          upload.onContent(bytes);
        }
      }
      case OUT_OF_MEMORY -> {
        // Guards against a deadlock of requests that wait for each other's memory: the current
        // request is rejected.
        server.recordMemoryRejection();
        client.reject(503);
      }
    }
  }

  private void complete(HttpHeaders trailers, long receivedAtNanos) {
    if (decoder.onRequestCompleted() && server.settings().maxPipelinedRequests() <= 1) {
      client.reject(400); // a pipelined request where pipelining is disabled
    } else if (!Headers.hasValidTrailers(trailers, server.filter().inspectedHeaders())) {
      client.reject(400); // an upstream host could take such a trailer for an inspected header
    } else if (upload != null) {
      completeUpload(trailers);
    } else {
      double lastByteAgeMillis = unreadDeadline.onLastByteRead();
      completeHeld(trailers, receivedAtNanos, lastByteAgeMillis);
    }
  }

  private void completeUpload(HttpHeaders trailers) {
    RequestBodyUpload completedUpload = upload;
    upload = null;
    // Reading may be paused for lack of capacity. It resumes here, so that a disconnect of the
    // client is detected.
    channel.config().setAutoRead(true);
    double lastByteAgeMillis = unreadDeadline.onLastByteRead();
    if (client.call() != null) {
      client.call().onUploadComplete(lastByteAgeMillis);
    }
    completedUpload.onEnd(trailers);
  }

  private void completeHeld(HttpHeaders trailers, long receivedAtNanos, double lastByteAgeMillis) {
    boolean isFirst = client.markRequestSeen();
    Body body = buffer.takeComplete();
    HttpRequest request = head.request();
    head.clearRequest();
    FilterResult result = head.filterResult();
    if (!head.isForwarded()) {
      RequestBodyBuffer.release(body);
      discarded.reset();
      responseWriter.send(result.status(), result.retryAfterMillis());
      return;
    }
    switch (admission.decide(request, result.target(), isFirst)) {
      case CLIENT_GONE -> RequestBodyBuffer.release(body);
      case DUPLICATE_ID -> {
        client.reject(409);
        RequestBodyBuffer.release(body);
      }
      case POOL_FULL -> rejectUnsent(body);
      case ADMITTED ->
          dispatch(
              request, body, trailers, Math.max(lastByteAgeMillis, millisSince(receivedAtNanos)));
    }
  }

  private static double millisSince(long nanos) {
    return (System.nanoTime() - nanos) / NANOS_PER_MILLI;
  }

  private void dispatch(
      HttpRequest request, Body body, HttpHeaders trailers, double elapsedMillis) {
    FilterResult result = head.filterResult();
    double remainingMillis = result.arrival().budgetMillis() - elapsedMillis;
    if (remainingMillis < MIN_REMAINING_MILLIS) {
      rejectUnsent(body); // its time elapsed while it was queued behind pipelined requests
      return;
    }
    HttpCall call =
        new HttpCall(
            responseWriter,
            request,
            head.takeMemory(),
            body,
            null,
            trailers,
            result.streaming(),
            0);
    admission.onCallStarted(call);
    client.beginCall(call);
    result.target().submit(call, result.arrival().withBudget(remainingMillis), result.fallback());
  }

  /** Rejects a complete request that was not passed to the engine. */
  private void rejectUnsent(Body body) {
    RequestBodyBuffer.release(body);
    responseWriter.send(503, 0);
  }

  // --- completion

  /**
   * Handles the end of the response: remaining input of the request is skipped, or no longer
   * accepted.
   */
  void onResponseSubmitted() {
    unreadDeadline.stop();
    discarded.onResponseSubmitted(shouldSkipRemainder());
    upload = null;
    admission.releaseId();
    head.releaseFilterResult();
  }

  /** Drops the current request without forwarding it. */
  void dropRequest() {
    unreadDeadline.stop();
    buffer.discard();
    head.clearRequest();
    head.releaseFilterResult();
  }

  /**
   * Releases everything that belongs to the connection's current request after the client has
   * disconnected.
   */
  void onClientClosed() {
    dropRequest();
    admission.releaseIdAfterDisconnect();
  }
}
