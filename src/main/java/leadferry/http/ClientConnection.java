package leadferry.http;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * A client's connection, from its opening to its end. It owns the present request and the state of
 * the connection, and gives what it reads to the one whose turn it is: {@link RequestIntake} reads
 * requests, {@link PipelineQueue} keeps those that come ahead of a response, {@link
 * DisconnectDetector} notices that the client has gone, {@link ConnectionTimeouts} tells what takes
 * too long, {@link ResponseWriter} writes responses.
 *
 * <p>Used on the connection's event loop alone.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
  /** How long (ms) the end of a rejected message is awaited, so that its client sees its answer. */
  private static final long LINGER_MILLIS = 500;

  private final HttpServer server;
  private final SocketChannel channel;
  private final RequestDecoder decoder;
  private final ResponseWriter responses;
  private final RequestIntake intake;
  private final DiscardedInput discarded;
  private final ConnectionTimeouts timeouts;
  private final PipelineQueue pipeline;
  private final DisconnectDetector disconnects;
  private final RequestLog log;
  private ConnectionState state = ConnectionState.OPEN;
  private HttpCall call;
  private boolean rejectionLogged;

  /**
   * {@code acceptedAtNanos} is the earliest at which it can have been accepted: its client may have
   * written since then.
   */
  ClientConnection(
      HttpServer server, SocketChannel channel, RequestDecoder decoder, long acceptedAtNanos) {
    this.server = server;
    this.channel = channel;
    this.decoder = decoder;
    this.log = new RequestLog(server.log(), channel);
    this.timeouts = new ConnectionTimeouts(server, decoder, acceptedAtNanos);
    this.responses = new ResponseWriter(this, server, channel);
    this.disconnects = new DisconnectDetector(this, server, channel);
    this.intake = new RequestIntake(this, server, channel, decoder, responses);
    this.discarded = intake.discardedInput();
    int maxQueuedRequests = server.settings().pipeline() - 1;
    this.pipeline = new PipelineQueue(this, channel, decoder, intake, maxQueuedRequests);
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    server.connections().add(this);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    HttpCall unfinished = call;
    if (unfinished != null && !unfinished.exchange().isResolved()) {
      logOutcome("client-gone", null);
    }
    endCall();
    intake.close();
    pipeline.clear();
    server.connections().remove(this);
    if (unfinished != null) {
      unfinished.exchange().onClientDisconnect();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      server.log().failure("a client's connection failed", cause);
      if (call != null) {
        call.exchange().abandon();
      }
    } else {
      log.failed(cause, call);
    }
    channel.close();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (!state.takesRequests()) {
        discarded.discard(message);
      } else if (disconnects.discardsSentAhead()) {
        disconnects.discard(message);
      } else if (discarded.skipping()) {
        timeouts.markUsed();
        discarded.skip((HttpObject) message);
      } else if (intake.upload() != null || (call == null && pipeline.isEmpty())) {
        intake.take((HttpObject) message, timeouts.receivedAtNanos());
      } else if (server.settings().pipeline() > 1) {
        pipeline.add((HttpObject) message, timeouts.receivedAtNanos());
      } else {
        disconnects.startDiscarding();
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (call != null && channel.isWritable()) {
      responses.writable();
      call.writable();
    }
  }

  // --- the present request

  /** Whether requests are still taken. */
  boolean takesRequests() {
    return state.takesRequests();
  }

  /** The present request's response is to be the connection's last. */
  void endWithPresentResponse() {
    state = state.advance(ConnectionState.LAST_RESPONSE);
  }

  /**
   * The client has sent a request, or as much of one as it takes to believe it; whether it is the
   * first.
   */
  boolean markRequestSeen() {
    return timeouts.markRequestSeen();
  }

  /**
   * Whether the client has gone, of whom a whole request has come; its connection is closed then.
   */
  boolean closeIfGone() {
    return disconnects.closeIfGone();
  }

  /** The same, at any time at which the look at the socket does no harm. */
  boolean closeIfGoneBetweenRequests() {
    return disconnects.closeIfGoneBetweenRequests();
  }

  /** The engine is about to take the request. */
  void beginCall(HttpCall next) {
    call = next;
    server.callBegan();
  }

  private void endCall() {
    if (call != null) {
      call = null;
      server.callEnded();
    }
  }

  /** What the engine has, or null. */
  HttpCall call() {
    return call;
  }

  /** Whether the present request is one of HTTP/1.0. */
  boolean oldVersion() {
    return intake.oldVersion();
  }

  // --- the end of a response, and of the connection

  /** Decides whether the response that is about to go out is the connection's last. */
  boolean decideLastResponse() {
    // What a client has sent ahead is answered before it is asked to leave; what has not come whole
    // by the time of a response can't be told from the next request.
    if (((server.draining() || server.crowded()) && !pipeline.hasWholeRequest())
        || (intake.upload() != null && !intake.skips())) {
      endWithPresentResponse();
    }
    return state.closing();
  }

  /**
   * The response is on its way; true if the connection stays, and nothing of the request comes any
   * more.
   */
  boolean responded(ChannelFuture written) {
    endCall();
    intake.answered();
    timeouts.markUsed();
    if (discarded.skipping()) {
      channel.config().setAutoRead(true);
      return false;
    }
    if (state.closing()) {
      finish();
      pipeline.clear();
      channel.config().setAutoRead(true);
      written.addListener(f -> linger());
      return false;
    }
    pipeline.scheduleDrain();
    return true;
  }

  /** The rest of a request that was answered early has come. */
  void restDiscarded() {
    if (state.closing()) {
      finish();
      linger();
    }
  }

  /** Nothing more is taken, and nothing more is written. */
  void finish() {
    state = state.advance(ConnectionState.FINISHED);
  }

  /** Answers what can't be a request and ends the connection. */
  void reject(int status) {
    logOwnResponse(status);
    rejectionLogged = true;
    intake.drop();
    pipeline.clear();
    endWithPresentResponse();
    if (call != null) {
      call.exchange().abandon(); // its body can't be read to its end; this answers, once
      if (call != null) {
        responses.cut(); // a response that has begun
      } else {
        discardInput();
      }
      return;
    }
    discardInput();
    responses.answer(status, 0);
  }

  /** From here on whatever comes is thrown away unread: it may be much, or no HTTP at all. */
  private void discardInput() {
    state = state.advance(ConnectionState.DISCARDING);
    removeDecoder();
    channel.config().setAutoRead(true);
  }

  /** No more requests are decoded. */
  void removeDecoder() {
    if (decoder.active()) {
      channel.pipeline().remove(decoder);
    }
  }

  /**
   * Closes after a response. Guards against a reset that overtakes it: a close while bytes are
   * unread would be one, so the sending ends first and what still comes is thrown away.
   */
  private void linger() {
    if (!channel.isActive()) {
      return;
    }
    discardInput();
    channel.shutdownOutput();
    channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Closes it at once, for a reason that the log tells. */
  void close(CloseReason reason) {
    log.closed(reason, call);
    channel.close();
  }

  /** There is no more time: what is open is answered now, and what still comes is rejected. */
  void terminate() {
    if (call != null) {
      endWithPresentResponse();
      call.exchange().abandon();
    } else if (takesRequests() && decoder.receiving()) {
      reject(503);
    }
  }

  // --- the log

  /**
   * A response of our own is about to go out: logs why, unless it is the answer to a health check.
   */
  void logOwnResponse(int status) {
    FilterResult verdict = intake.filterResult();
    boolean healthCheck =
        verdict != null
            && verdict.status() == status
            && verdict.origin() == null
            && !verdict.closes();
    if (!healthCheck && !rejectionLogged) {
      logOutcome(RequestLog.outcome(status), status);
    }
  }

  /** Logs what became of the present request, if not served; {@code status} may be null. */
  void logOutcome(String outcome, Integer status) {
    FilterResult verdict = intake.filterResult();
    long since = verdict == null ? decoder.since() : intake.headReceivedAtNanos();
    log.request(outcome, status, call, verdict, since);
  }

  // --- housekeeping

  /** Whether it carries a request, or part of one, or a response that is not written yet. */
  boolean busy() {
    return call != null
        || !pipeline.isEmpty()
        || decoder.receiving()
        || responses.writing()
        || state.closing();
  }

  /** Whether it can be closed as a drain begins: a first request that is under way is awaited. */
  boolean closableAtDrain() {
    return !busy() && !timeouts.firstRequestMayBeUnderWay();
  }

  /**
   * Whether it can be closed where no more is expected: it carries nothing, and a new client had
   * time to send a request.
   */
  boolean closable(long nowNanos) {
    return !busy() && timeouts.hadTimeForRequest(nowNanos);
  }

  /** How readily it makes room for another connection. */
  EvictionOrder evictionOrder(long nowNanos) {
    if (call != null || responses.writing() || !channel.isOpen()) {
      return EvictionOrder.NEVER; // in use, or closed already and not yet taken off the list
    }
    return state == ConnectionState.DISCARDING
        ? EvictionOrder.RESPONDED
        : timeouts.evictionOrder(nowNanos);
  }

  /** Ends what takes too long; called a few times a second. */
  void enforceTimeouts(long nowNanos) {
    if (disconnects.discardsSentAhead() && takesRequests()) {
      channel.config().setAutoRead(true);
    }
    if (call != null
        && intake.upload() != null
        && intake.upload().stalled(nowNanos, timeouts.slowNanos())) {
      call.exchange().abandon(); // a body that does not come
    } else if (responses.streamStalled(nowNanos)) {
      responses.cut();
    } else if (state != ConnectionState.DISCARDING && call == null) {
      enforceTimeoutsWithoutCall(nowNanos);
    }
  }

  private void enforceTimeoutsWithoutCall(long nowNanos) {
    if (discarded.skipping()) {
      closeIf(timeouts.restTooSlow(nowNanos), CloseReason.SLOW);
    } else if (responses.writing()) {
      closeIf(responses.stalled(nowNanos), CloseReason.STALLED);
    } else if (decoder.receiving()) {
      if (timeouts.requestTooSlow(nowNanos, intake.bodySize())) {
        reject(intake.paused() ? 503 : 408);
      }
    } else {
      CloseReason reason = timeouts.idleCloseReason(nowNanos);
      closeIf(reason != null, reason);
    }
  }

  private void closeIf(boolean due, CloseReason reason) {
    if (due && channel.isOpen()) {
      close(reason);
    }
  }
}
