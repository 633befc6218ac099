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
    int maxQueuedRequests = server.settings().maxPipelinedRequests() - 1;
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
    intake.onClientClosed();
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
      log.logFailed(cause, call);
    }
    channel.close();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (!state.acceptsRequests()) {
        discarded.discard(message);
      } else if (disconnects.isDiscardingPipelined()) {
        disconnects.discard(message);
      } else if (discarded.isSkipping()) {
        timeouts.markUsed();
        discarded.skip((HttpObject) message);
      } else if (intake.upload() != null || (call == null && pipeline.isEmpty())) {
        intake.onPart((HttpObject) message, timeouts.earliestReceiptNanos());
      } else if (server.settings().maxPipelinedRequests() > 1) {
        pipeline.add((HttpObject) message, timeouts.earliestReceiptNanos());
      } else {
        disconnects.startDiscardingPipelined();
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (call != null && channel.isWritable()) {
      responses.onWritable();
      call.onClientWritable();
    }
  }

  // --- the present request

  /** Whether requests are still taken. */
  boolean acceptsRequests() {
    return state.acceptsRequests();
  }

  /** The present request's response is to be the connection's last. */
  void closeAfterCurrentResponse() {
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
  boolean closeIfDisconnected() {
    return disconnects.closeIfDisconnected();
  }

  /** The same, at any time at which the look at the socket does no harm. */
  boolean closeIfDisconnectedBetweenRequests() {
    return disconnects.closeIfDisconnectedBetweenRequests();
  }

  /** The engine is about to take the request. */
  void beginCall(HttpCall next) {
    call = next;
    server.onCallStarted();
  }

  private void endCall() {
    if (call != null) {
      call = null;
      server.onCallEnded();
    }
  }

  /** What the engine has, or null. */
  HttpCall call() {
    return call;
  }

  /** Whether the present request is one of HTTP/1.0. */
  boolean isHttp10() {
    return intake.isHttp10();
  }

  // --- the end of a response, and of the connection

  /** Decides whether the response that is about to go out is the connection's last. */
  boolean decideLastResponse() {
    // What a client has sent ahead is answered before it is asked to leave; what has not come whole
    // by the time of a response can't be told from the next request.
    if (((server.isDraining() || server.isCrowded()) && !pipeline.hasWholeRequest())
        || (intake.upload() != null && !intake.shouldSkipRemainder())) {
      closeAfterCurrentResponse();
    }
    return state.isClosing();
  }

  /**
   * The response is on its way; true if the connection stays, and nothing of the request comes any
   * more.
   */
  boolean onResponseSubmitted(ChannelFuture written) {
    endCall();
    intake.onResponseSubmitted();
    timeouts.markUsed();
    if (discarded.isSkipping()) {
      channel.config().setAutoRead(true);
      return false;
    }
    if (state.isClosing()) {
      markFinished();
      pipeline.clear();
      channel.config().setAutoRead(true);
      written.addListener(f -> linger());
      return false;
    }
    pipeline.scheduleDrain();
    return true;
  }

  /** The rest of a request that was answered early has come. */
  void onRemainderSkipped() {
    if (state.isClosing()) {
      markFinished();
      linger();
    }
  }

  /** Nothing more is taken, and nothing more is written. */
  void markFinished() {
    state = state.advance(ConnectionState.FINISHED);
  }

  /** Answers what can't be a request and ends the connection. */
  void reject(int status) {
    logLocalResponse(status);
    rejectionLogged = true;
    intake.dropRequest();
    pipeline.clear();
    closeAfterCurrentResponse();
    if (call != null) {
      call.exchange().abandon(); // its body can't be read to its end; this answers, once
      if (call != null) {
        responses.abortStream(); // a response that has begun
      } else {
        startDiscardingInput();
      }
      return;
    }
    startDiscardingInput();
    responses.send(status, 0);
  }

  /** From here on whatever comes is thrown away unread: it may be much, or no HTTP at all. */
  private void startDiscardingInput() {
    state = state.advance(ConnectionState.DISCARDING);
    removeDecoder();
    channel.config().setAutoRead(true);
  }

  /** No more requests are decoded. */
  void removeDecoder() {
    if (decoder.isInPipeline()) {
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
    startDiscardingInput();
    channel.shutdownOutput();
    channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Closes it at once, for a reason that the log tells. */
  void close(CloseReason reason) {
    log.logClosed(reason, call);
    channel.close();
  }

  /** There is no more time: what is open is answered now, and what still comes is rejected. */
  void terminate() {
    if (call != null) {
      closeAfterCurrentResponse();
      call.exchange().abandon();
    } else if (acceptsRequests() && decoder.isReceiving()) {
      reject(503);
    }
  }

  // --- the log

  /**
   * A response of our own is about to go out: logs why, unless it is the answer to a health check.
   */
  void logLocalResponse(int status) {
    FilterResult filterResult = intake.filterResult();
    boolean healthCheck =
        filterResult != null
            && filterResult.status() == status
            && filterResult.origin() == null
            && !filterResult.closesConnection();
    if (!healthCheck && !rejectionLogged) {
      logOutcome(RequestLog.outcome(status), status);
    }
  }

  /** Logs what became of the present request, if not served; {@code status} may be null. */
  void logOutcome(String outcome, Integer status) {
    FilterResult filterResult = intake.filterResult();
    long sinceNanos =
        filterResult == null ? decoder.receivingSinceNanos() : intake.headReceivedAtNanos();
    log.logRequest(outcome, status, call, filterResult, sinceNanos);
  }

  // --- housekeeping

  /** Whether it carries a request, or part of one, or a response that is not written yet. */
  boolean isBusy() {
    return call != null
        || !pipeline.isEmpty()
        || decoder.isReceiving()
        || responses.isWriting()
        || state.isClosing();
  }

  /** Whether it can be closed as a drain begins: a first request that is under way is awaited. */
  boolean isClosableAtDrain() {
    return !isBusy() && !timeouts.canFirstRequestBeInFlight();
  }

  /**
   * Whether it can be closed where no more is expected: it carries nothing, and a new client had
   * time to send a request.
   */
  boolean isClosable(long nowNanos) {
    return !isBusy() && timeouts.hasHadTimeForRequest(nowNanos);
  }

  /** How readily it makes room for another connection. */
  EvictionOrder evictionOrder(long nowNanos) {
    if (call != null || responses.isWriting() || !channel.isOpen()) {
      return EvictionOrder.NEVER; // in use, or closed already and not yet taken off the list
    }
    return state == ConnectionState.DISCARDING
        ? EvictionOrder.RESPONDED
        : timeouts.evictionOrder(nowNanos);
  }

  /** Ends what takes too long; called a few times a second. */
  void enforceTimeouts(long nowNanos) {
    if (disconnects.isDiscardingPipelined() && acceptsRequests()) {
      channel.config().setAutoRead(true);
    }
    if (call != null
        && intake.upload() != null
        && intake.upload().isStalled(nowNanos, timeouts.receiveTimeoutNanos())) {
      call.exchange().abandon(); // a body that does not come
    } else if (responses.isStreamStalled(nowNanos)) {
      responses.abortStream();
    } else if (state != ConnectionState.DISCARDING && call == null) {
      enforceTimeoutsWithoutCall(nowNanos);
    }
  }

  private void enforceTimeoutsWithoutCall(long nowNanos) {
    if (discarded.isSkipping()) {
      closeWhenDue(timeouts.isRemainderTooSlow(nowNanos), CloseReason.SLOW);
    } else if (responses.isWriting()) {
      closeWhenDue(responses.isStalled(nowNanos), CloseReason.STALLED);
    } else if (decoder.isReceiving()) {
      if (timeouts.isRequestTooSlow(nowNanos, intake.heldBodyBytes())) {
        reject(intake.isPaused() ? 503 : 408);
      }
    } else {
      CloseReason reason = timeouts.idleCloseReason(nowNanos);
      closeWhenDue(reason != null, reason);
    }
  }

  private void closeWhenDue(boolean due, CloseReason reason) {
    if (due && channel.isOpen()) {
      close(reason);
    }
  }
}
