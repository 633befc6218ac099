package leadferry.http;

/**
 * Ends a client connection, or its current request, whose client or host has exceeded a time limit.
 *
 * <p>One rule comes first: a client that receives none of its pending output is ended, whatever the
 * connection waits for. A client that receives its output is never ended for other limits
 * meanwhile.
 *
 * <p>Used only on the connection's event loop.
 */
final class TimeoutEnforcer {
  private final ClientConnection client;
  private final RequestIntake intake;
  private final ResponseWriter responseWriter;
  private final ConnectionTimeouts timeouts;
  private final OutputProgress output;

  TimeoutEnforcer(
      ClientConnection client,
      RequestIntake intake,
      ResponseWriter responseWriter,
      ConnectionTimeouts timeouts,
      OutputProgress output) {
    this.client = client;
    this.intake = intake;
    this.responseWriter = responseWriter;
    this.timeouts = timeouts;
    this.output = output;
  }

  /** Checks all limits; called several times a second. */
  void enforce(long nowNanos) {
    if (!client.isOpen()) {
      return; // closed, and not yet removed
    }
    output.update();
    if (output.isStalled(nowNanos)) {
      endStalled();
    } else if (isUploadStalled(nowNanos)) {
      client.call().exchange().abandon();
    } else if (responseWriter.isStreamStalled(nowNanos)) {
      responseWriter.abortStream();
    } else if (client.call() == null && !client.isDiscardingInput()) {
      enforceWithoutCall(nowNanos);
    }
  }

  private void endStalled() {
    if (client.call() != null) {
      responseWriter.abortStream();
    } else {
      client.close(CloseReason.STALLED);
    }
  }

  /** Whether the rest of a request does not come; its client may read the response before it. */
  private boolean isUploadStalled(long nowNanos) {
    return client.call() != null
        && intake.upload() != null
        && !output.mayBeUnread(nowNanos)
        && intake.upload().isStalled(nowNanos, timeouts.receiveTimeoutNanos());
  }

  private void enforceWithoutCall(long nowNanos) {
    if (intake.discardedInput().isSkipping()) {
      if (!output.mayBeUnread(nowNanos) && timeouts.isRemainderTooSlow(nowNanos)) {
        client.close(CloseReason.SLOW);
      }
    } else if (output.isPending()) {
      return; // in use for as long as the client receives it
    } else if (timeouts.isReceiving()) {
      if (timeouts.isRequestTooSlow(nowNanos, intake.heldBodyBytes())) {
        client.reject(intake.isPaused() ? 503 : 408);
      }
    } else {
      CloseReason reason = timeouts.idleCloseReason(nowNanos);
      if (reason != null) {
        client.closeUnused(reason);
      }
    }
  }
}
