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
 * The way into a client's connection: from the decoded parts of one request to its verdict, its
 * body and the call that the engine takes. The bounds of what is held, and of what is read for
 * nothing, are here.
 *
 * <pre>
 *   head --> verdict --+--> body held whole ----------------> call
 *                      +--> call, body streams after it (Upload)
 *                      +--> answered at once; the rest of it is read for nothing
 * </pre>
 */
final class RequestIntake {
  /** How long (ms) the longest body may take that streams ahead of its request's own time. */
  private static final double UPLOAD_MS = 3_600_000;

  /**
   * How much (bytes) of a message that is answered already is read, so that its client sees its
   * answer.
   */
  private static final int LINGER_BYTES = 1 << 20;

  private final ClientConnection client;
  private final HttpServer front;
  private final SocketChannel channel;
  private final RequestDecoder decoder;
  private final ResponseWriter answers;
  private final Runnable resume = this::resumeReading;
  private HttpRequest head;
  private FilterResult verdict;
  private Body body;
  private RequestBodyUpload upload;
  private boolean oldVersion;
  private boolean skipping;
  private String openId;
  private boolean paused;
  private long discarded;
  private long since;

  RequestIntake(
      ClientConnection client,
      HttpServer front,
      SocketChannel channel,
      RequestDecoder decoder,
      ResponseWriter answers) {
    this.client = client;
    this.front = front;
    this.channel = channel;
    this.decoder = decoder;
    this.answers = answers;
  }

  // --- what it stands at

  /** The present request's, or null. */
  FilterResult verdict() {
    return verdict;
  }

  /** The body that goes on while it comes, or null. */
  RequestBodyUpload upload() {
    return upload;
  }

  /** Whether the present request is one of HTTP/1.0. */
  boolean oldVersion() {
    return oldVersion;
  }

  /** When (ns) the present request's head had come. */
  long since() {
    return since;
  }

  /** Whether the rest of a request that has its answer is read for nothing. */
  boolean skipping() {
    return skipping;
  }

  /** Whether reading waits for memory. */
  boolean paused() {
    return paused;
  }

  /** Bytes of the present body that are held. */
  long bodySize() {
    return body == null ? 0 : body.size();
  }

  /**
   * Whether the rest of a request that comes still is read for nothing, so that its connection can
   * stay.
   */
  boolean skips() {
    return upload != null && verdict.streaming() == Streaming.LARGE;
  }

  // --- reading

  /** What comes behind the last answer. */
  void discard(Object msg) {
    discarded +=
        msg instanceof ByteBuf bytes
            ? bytes.readableBytes()
            : msg instanceof HttpContent c ? c.content().readableBytes() : 0;
    if (discarded > LINGER_BYTES) {
      channel.close();
    }
  }

  /**
   * The rest of a request that has been answered before all of it came. Guards against a close that
   * overtakes the answer: who writes slowly reads it only then.
   */
  void skip(HttpObject part) {
    discarded += part instanceof HttpContent c ? c.content().readableBytes() : 0;
    if (part.decoderResult().isFailure() || discarded > front.settings().maxStreamed()) {
      channel.close();
    } else if (part instanceof LastHttpContent) {
      skipping = false;
      discarded = 0;
      decoder.completed(); // its client has its answer, so what comes behind is in order
      client.restDiscarded();
    }
  }

  /** Part of the present request, or of the next; {@code at} (ns) is when it came. */
  void take(HttpObject part, long at) {
    if (part.decoderResult().isFailure()) {
      Throwable cause = part.decoderResult().cause();
      client.reject(
          cause instanceof TooLongHttpLineException
              ? 414
              : cause instanceof TooLongHttpHeaderException ? 431 : 400);
      return;
    }
    if (part instanceof HttpRequest request) {
      begin(request, at);
    }
    if (upload != null && part instanceof LastHttpContent && client.closeIfGoneBetweenRequests()) {
      return; // the last byte is not sent on: its client left while a connection was waited for,
      // and its end was not read
    }
    if (part instanceof HttpContent content && client.takesRequests()) {
      ByteBuf bytes = content.content();
      if (bytes.isReadable()) {
        append(bytes);
      }
      if (part instanceof LastHttpContent last && client.takesRequests()) {
        complete(last.trailingHeaders(), at);
      }
    }
  }

  private void begin(HttpRequest request, long at) {
    head = request;
    since = at;
    if (!HttpUtil.isKeepAlive(request)) {
      client.endWithPresentResponse();
    }
    oldVersion = request.protocolVersion().equals(HttpVersion.HTTP_1_0);
    int fault = Framing.fault(request, front.gate().judgesBy(), front.settings().daemon());
    verdict =
        fault != 0
            ? FilterResult.reject(fault)
            : front.gate().judge(request, channel.remoteAddress());
    long length = HttpUtil.getContentLength(request, 0L);
    if (fault == 0 && length > mostBody()) {
      client.reject(413);
    } else if (verdict.closes()) {
      client.reject(verdict.status());
    } else if (verdict.status() == 0 && HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
    if (client.takesRequests()
        && verdict.status() == 0
        && verdict.streaming() == Streaming.ALWAYS
        && (length > 0 || HttpUtil.isTransferEncodingChunked(request))) {
      stream();
    }
  }

  /** Bytes of the present request's body that may come at all. */
  private long mostBody() {
    return verdict.streaming() == Streaming.NEVER
        ? front.settings().maxBody()
        : front.settings().maxStreamed();
  }

  /** The body goes on while it comes: the request enters the engine ahead of its last byte. */
  private void stream() {
    client.markRequestSeen();
    Dispatcher d = verdict.target();
    if (full(d)) {
      client.reject(503);
      return;
    }
    if (!takeId(head)) {
      return;
    }
    RequestArrival a = verdict.arrival();
    boolean large = verdict.streaming() == Streaming.LARGE;
    upload = new RequestBodyUpload(this, d, body, front.budget());
    body = null;
    HttpCall call =
        new HttpCall(
            answers, head, null, upload, Headers.NONE, verdict.streaming(), large ? a.budget() : 0);
    head = null;
    client.beginCall(call);
    d.take(call, large ? a.within(a.budget() + UPLOAD_MS) : a, verdict.fallback());
  }

  /**
   * Takes the request's id where it must be the only one that is open; else turns the request away.
   */
  private boolean takeId(HttpRequest request) {
    if (!front.settings().uniqueIds()) {
      return true;
    }
    String id = request.headers().get("X-Request-ID");
    if (!front.openId(id)) {
      client.reject(409); // its answer could be taken for the other's
      return false;
    }
    openId = id;
    return true;
  }

  /**
   * Whether the pool has as many requests open as it may, or the process has; one more is refused.
   */
  private boolean full(Dispatcher pool) {
    if (pool.open() < front.settings().maxOpen() && front.roomForRequest()) {
      return false;
    }
    front.refusedForSockets();
    return true;
  }

  /** Reads on, or no longer: what an upload goes to, or the room that it has, tells. */
  void reading(boolean on) {
    if (upload != null && !paused && channel.config().isAutoRead() != on) {
      channel.config().setAutoRead(on);
    }
  }

  private void append(ByteBuf bytes) {
    if (upload != null) {
      if (upload.received() + bytes.readableBytes() > front.settings().maxStreamed()) {
        client.reject(413);
      } else {
        upload.content(bytes);
      }
      return;
    }
    if (verdict.status() != 0) {
      discarded += bytes.readableBytes();
      if (discarded > LINGER_BYTES) {
        client.reject(413); // not worth reading on for an answer that is known
      }
      return;
    }
    if (body == null) {
      body = verdict.target().newBody(HttpUtil.getContentLength(head, -1L), true);
    }
    long size = body.size() + bytes.readableBytes();
    if (size > front.settings().maxBody() && verdict.streaming() == Streaming.NEVER) {
      client.reject(413);
      return;
    }
    if (size > front.settings().maxBody() && !front.budget().ample(size)) {
      stream();
      if (upload != null) {
        upload.content(bytes);
      }
      return;
    }
    body.append(bytes);
    if (front.budget().full(body.size())) {
      if (front.budget().stuck()) {
        // Guards against requests that wait for each other's memory: the one at hand gives way.
        front.refusedForMemory();
        client.reject(503);
      } else {
        paused = true;
        channel.config().setAutoRead(false);
        front.budget().await(resume);
      }
    }
  }

  private void resumeReading() {
    paused = false;
    channel.config().setAutoRead(true);
  }

  private void complete(HttpHeaders trailers, long at) {
    if (decoder.completed() && front.settings().pipeline() <= 1) {
      client.reject(400); // a second request behind this one, whose client keeps to no order
      return;
    }
    if (!Headers.soundTrailers(trailers, front.gate().judgesBy())) {
      client.reject(400); // a host may take one of them for a header that was judged
      return;
    }
    if (upload != null) {
      RequestBodyUpload whole = upload;
      upload = null;
      channel
          .config()
          .setAutoRead(
              true); // it may have waited for room; from here on its client's end is to be seen
      if (client.call() != null) {
        client.call().whole();
      }
      whole.end(trailers);
      return;
    }
    boolean first = client.markRequestSeen();
    front.budget().forget(resume);
    if (paused) {
      resumeReading();
    }
    HttpRequest request = head;
    Body whole = body;
    head = null;
    body = null;
    if (whole != null) {
      whole.completed();
    }
    if (verdict.status() != 0) {
      free(whole);
      discarded = 0;
      answers.answer(verdict.status(), verdict.retryAfterMs());
      return;
    }
    if ((first || !front.settings().daemon()) && client.closeIfGone()) {
      free(whole);
      return;
    }
    if (!takeId(request)) {
      free(whole);
      return;
    }
    Dispatcher d = verdict.target();
    if (full(d)) {
      free(whole);
      answers.answer(503, 0);
      return;
    }
    double left = verdict.arrival().budget() - (System.nanoTime() - at) / 1e6;
    if (left < 1) {
      free(whole);
      answers.answer(503, 0); // its time went by behind those that were sent ahead of it
      return;
    }
    HttpCall call = new HttpCall(answers, request, whole, null, trailers, verdict.streaming(), 0);
    client.beginCall(call);
    d.take(call, verdict.arrival().within(left), verdict.fallback());
  }

  // --- ends

  /** The present request has its answer; what of it comes still is read for nothing, or is none. */
  void answered() {
    skipping = skips();
    discarded = 0;
    upload = null;
    releaseId();
    releaseVerdict();
  }

  /** The request that comes is none that is taken any more. */
  void drop() {
    front.budget().forget(resume);
    paused = false;
    free(body);
    body = null;
    head = null;
    releaseVerdict();
  }

  /** The client has gone. */
  void close() {
    drop();
    releaseId();
  }

  private static void free(Body b) {
    if (b != null) {
      b.free();
    }
  }

  /** The request has its answer, or never gets one: what the gate counts it for is over. */
  private void releaseVerdict() {
    if (verdict != null) {
      Runnable done = verdict.done();
      verdict = null;
      done.run();
    }
  }

  private void releaseId() {
    if (openId != null) {
      front.closeId(openId);
      openId = null;
    }
  }
}
