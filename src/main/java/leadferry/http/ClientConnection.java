package leadferry.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import leadferry.engine.Dispatcher;

/**
 * Client connection from its opening to its close. It owns the current request and the connection
 * state, and passes input to the component in charge: {@link RequestIntake} reads requests, {@link
 * PipelineQueue} queues pipelined requests, {@link DisconnectDetector} detects a disconnected
 * client, {@link ConnectionTimeouts} tracks time limits, and {@link ResponseWriter} writes
 * responses.
 *
 * <p>Used only on the connection's event loop.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
  private final HttpServer server;
  private final SocketChannel channel;
  private final RequestDecoder decoder;
  private final ResponseWriter responseWriter;
  private final RequestIntake intake;
  private final DiscardedInput discarded;
  private final ConnectionTimeouts timeouts;
  private final PipelineQueue pipeline;
  private final DisconnectDetector disconnectDetector;
  private final RequestLog log;
  private final OutputProgress output;
  private final LingeringClose lingeringClose;
  private final TimeoutEnforcer timeoutEnforcer;
  private ConnectionState state = ConnectionState.OPEN;
  private HttpCall call;
  private boolean rejectionLogged;

  /**
   * Creates the handler; {@code acceptedAtNanos} is the earliest time at which the connection can
   * have been accepted and its client can have sent data.
   */
  ClientConnection(
      HttpServer server, SocketChannel channel, RequestDecoder decoder, long acceptedAtNanos) {
    this.server = server;
    this.channel = channel;
    this.decoder = decoder;
    this.log = new RequestLog(server.log(), channel);
    this.output = OutputProgress.of(channel, server.transport());
    this.timeouts = new ConnectionTimeouts(server, decoder, output, acceptedAtNanos);
    this.responseWriter = new ResponseWriter(this, server, channel, output);
    this.disconnectDetector = new DisconnectDetector(this, server, channel);
    this.intake = new RequestIntake(this, server, channel, decoder, responseWriter);
    this.discarded = intake.discardedInput();
    this.lingeringClose = new LingeringClose(channel, output);
    this.timeoutEnforcer = new TimeoutEnforcer(this, intake, responseWriter, timeouts, output);
    int maxQueuedRequests = server.settings().maxPipelinedRequests() - 1;
    this.pipeline =
        new PipelineQueue(this, channel, decoder, intake, server.headBudget(), maxQueuedRequests);
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
    try {
      if (!(cause instanceof IOException)) {
        server.log().failure("client connection failed on an internal error", cause);
        if (call != null) {
          call.exchange().abandon();
        }
      } else {
        log.logFailed(cause, call);
      }
    } finally {
      channel.close();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (!state.acceptsRequests()) {
        discarded.discard(message);
      } else if (disconnectDetector.isDiscardingPipelined()) {
        disconnectDetector.discard(message);
      } else if (discarded.isSkipping()) {
        timeouts.markUsed();
        discarded.skip((HttpObject) message);
      } else if (intake.upload() != null
          || (call == null && pipeline.isEmpty() && !pipeline.mustWait((HttpObject) message))) {
        intake.onPart((HttpObject) message, timeouts.earliestReceiptNanos());
      } else if (server.settings().maxPipelinedRequests() > 1) {
        pipeline.add((HttpObject) message, timeouts.earliestReceiptNanos());
      } else {
        disconnectDetector.startDiscardingPipelined();
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    pipeline.onReadComplete();
    if (intake.upload() != null) {
      intake.upload().onReadComplete();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (!channel.isWritable()) {
      return;
    }
    if (call != null) {
      call.onClientWritable();
    } else {
      pipeline.scheduleDrain();
    }
  }

  // --- the current request

  boolean acceptsRequests() {
    return state.acceptsRequests();
  }

  /** Makes the response to the current request the last one of the connection. */
  void closeAfterCurrentResponse() {
    state = state.advance(ConnectionState.LAST_RESPONSE);
  }

  /**
   * Records that the client has sent a complete request or the start of a streamed one; returns
   * true for the first one.
   */
  boolean markRequestSeen() {
    if (server.settings().maxPipelinedRequests() <= 1) {
      output.markReceived(); // the client sends one request at a time
    }
    return timeouts.markRequestSeen();
  }

  /**
   * Closes the connection if the client of a complete request has disconnected; returns true then.
   */
  boolean closeIfDisconnected() {
    return disconnectDetector.closeIfDisconnected();
  }

  PipelineQueue pipeline() {
    return pipeline;
  }

  /** Starts a request that is about to be passed to the engine. */
  void beginCall(HttpCall newCall) {
    call = newCall;
    server.onCallStarted();
  }

  private void endCall() {
    if (call != null) {
      call = null;
      server.onCallEnded();
    }
  }

  /** Returns the request that was passed to the engine, or null. */
  HttpCall call() {
    return call;
  }

  /** Whether the current request uses HTTP/1.0. */
  boolean isHttp10() {
    return intake.isHttp10();
  }

  // --- the end of a response, and of the connection

  /** Decides whether the response that is about to be written is the last one of the connection. */
  boolean decideLastResponse() {
    // Complete pipelined requests get their responses before the client is asked to disconnect. An
    // incomplete request at the time of a response can't be distinguished from the next request.
    if (((server.isDraining() || server.isCrowded()) && !pipeline.hasCompleteRequest())
        || (intake.upload() != null && !intake.shouldSkipRemainder())) {
      closeAfterCurrentResponse();
    }
    return state.isClosing();
  }

  /** Handles a response whose end was passed to the channel. */
  void onResponseSubmitted(ChannelFuture writeFuture) {
    endCall();
    intake.onResponseSubmitted();
    timeouts.markUsed();
    if (discarded.isSkipping()) {
      channel.config().setAutoRead(true);
    } else if (state.isClosing()) {
      markFinished();
      pipeline.clear();
      channel.config().setAutoRead(true);
      writeFuture.addListener(f -> linger());
    } else {
      pipeline.scheduleDrain();
    }
  }

  /** Handles the end of a request whose remaining input was skipped after its response. */
  void onRemainderSkipped() {
    if (state.isClosing()) {
      markFinished();
      // Guards against a response that is dropped with the output: its end may not be written yet.
      channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> linger());
    }
  }

  /** Marks the connection as finished: it accepts no request and writes no response. */
  void markFinished() {
    state = state.advance(ConnectionState.FINISHED);
  }

  /** Rejects the current request with this status and closes the connection. */
  void reject(int status) {
    logLocalResponse(status);
    rejectionLogged = true;
    intake.dropRequest();
    pipeline.clear();
    closeAfterCurrentResponse();
    if (call != null) {
      call.exchange().abandon(); // the body can't be read to its end; this sends the only response
      if (call != null) {
        responseWriter.abortStream(); // a response that has started
      } else {
        startDiscardingInput();
      }
      return;
    }
    startDiscardingInput();
    responseWriter.send(status, 0);
  }

  /** Discards all further input undecoded: it may be large or not HTTP at all. */
  private void startDiscardingInput() {
    state = state.advance(ConnectionState.DISCARDING);
    removeDecoder();
    channel.config().setAutoRead(true);
  }

  void removeDecoder() {
    if (decoder.isInPipeline()) {
      channel.pipeline().remove(decoder);
    }
  }

  /** Closes the connection after a response that has been written; see {@link LingeringClose}. */
  private void linger() {
    if (channel.isActive()) {
      startDiscardingInput();
      lingeringClose.begin();
    }
  }

  /** Closes a connection between requests; its client receives the rest of its last response. */
  void closeUnused(CloseReason reason) {
    if (output.mayBeUnread(System.nanoTime())) {
      log.logClosed(reason, call);
      markFinished();
      linger();
    } else {
      close(reason);
    }
  }

  /** Closes the connection immediately and logs the reason. */
  void close(CloseReason reason) {
    log.logClosed(reason, call);
    if (output.isPending()) {
      log.logCutOff(reason, output.unsentBytes(), output.quietMillis());
    }
    channel.close();
  }

  /** Ends the current request with an error response, or rejects it if it is incomplete. */
  void terminate() {
    if (call != null) {
      closeAfterCurrentResponse();
      call.exchange().abandon();
    } else if (acceptsRequests() && decoder.isReceiving()) {
      reject(503);
    }
  }

  // --- the log

  /** Logs a response that the load balancer generates itself, except for health checks. */
  void logLocalResponse(int status) {
    FilterResult filterResult = intake.filterResult();
    boolean healthCheck = filterResult != null && filterResult.isHealthCheck(status);
    if (!healthCheck && !rejectionLogged) {
      logOutcome(RequestLog.outcome(status), status);
    }
  }

  /** Logs the outcome of a request that was not served; {@code status} may be null. */
  void logOutcome(String outcome, Integer status) {
    FilterResult filterResult = intake.filterResult();
    long sinceNanos =
        filterResult == null ? decoder.receivingSinceNanos() : intake.headReceivedAtNanos();
    log.logRequest(outcome, status, call, filterResult, sinceNanos);
  }

  /** Logs a request that is ended because part of its body was unread for its whole time. */
  void logUnreadBody(long receivedBytes, long unreadBytes, double unreadMillis) {
    log.logUnreadBody(call, receivedBytes, unreadBytes, unreadMillis);
  }

  /** Whether the connection carries part of a request or an unfinished response. */
  boolean isBusy() {
    return call != null
        || !pipeline.isEmpty()
        || decoder.isReceiving()
        || output.isPending()
        || state.isClosing();
  }

  /**
   * Returns the pool of the request that is being received before it enters the engine, or null if
   * there is no such request.
   */
  Dispatcher awaitingPool() {
    return intake.awaitingPool();
  }

  /** Whether the connection is idle and can have no first request in flight. */
  boolean isClosableAtDrain() {
    return !isBusy() && !timeouts.canFirstRequestBeInFlight();
  }

  /** Whether the connection is idle and its client had time to send a request. */
  boolean isClosable(long nowNanos) {
    return !isBusy() && timeouts.hasHadTimeForRequest(nowNanos);
  }

  /** Returns the eviction class of the connection. */
  EvictionOrder evictionOrder(long nowNanos) {
    if (call != null || output.isPending() || !channel.isOpen()) {
      return EvictionOrder.NEVER; // in use, or closed and not yet removed
    }
    return isDiscardingInput() ? EvictionOrder.RESPONDED : timeouts.evictionOrder(nowNanos);
  }

  /** Enforces the time limits of the connection; called several times a second. */
  void enforceTimeouts(long nowNanos) {
    timeoutEnforcer.enforce(nowNanos);
  }

  boolean isOpen() {
    return channel.isOpen();
  }

  /** Whether all further input is discarded undecoded. */
  boolean isDiscardingInput() {
    return state == ConnectionState.DISCARDING;
  }
}
