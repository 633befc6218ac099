package leadferry.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.socket.SocketChannel;
import leadferry.engine.Body;
import leadferry.engine.BodyBudget;

/**
 * Holds the body of the current request in memory, limited by the listener's settings and by the
 * process-wide memory budget for bodies. Reading pauses while the budget is exhausted.
 */
final class RequestBodyBuffer {
  /** Result of appending part of a body. */
  enum AppendResult {
    /** The part is held; reading may be paused until memory is free. */
    HELD,
    /** The body exceeds the limit of its request. */
    TOO_LARGE,
    /** The part is not held; the body has to be streamed. */
    MUST_STREAM,
    /** The memory budget is exhausted, and waiting would not free memory. */
    OUT_OF_MEMORY
  }

  private final SocketChannel channel;
  private final BodyBudget budget;
  private final int maxHeldBytes;
  private final Runnable resume = this::resumeReading;
  private Body body;
  private boolean paused;

  RequestBodyBuffer(HttpServer server, SocketChannel channel) {
    this.channel = channel;
    this.budget = server.budget();
    this.maxHeldBytes = server.settings().maxHeldBodyBytes();
  }

  /** Returns the number of held bytes. */
  long heldBytes() {
    return body == null ? 0 : body.size();
  }

  /** Whether reading is paused until memory is free. */
  boolean isPaused() {
    return paused;
  }

  /**
   * Appends part of the body of a request with this head; the caller keeps ownership of the bytes.
   */
  AppendResult append(ByteBuf bytes, RequestHead head) {
    if (body == null) {
      body = head.filterResult().target().newBody(head.contentLength(), true);
    }
    long size = body.size() + bytes.readableBytes();
    if (size > maxHeldBytes && head.filterResult().streaming() == Streaming.NEVER) {
      return AppendResult.TOO_LARGE;
    }
    if (size > maxHeldBytes && !budget.hasAmpleRoom(size)) {
      return AppendResult.MUST_STREAM;
    }
    body.append(bytes);
    if (!budget.isFull(body.size())) {
      return AppendResult.HELD;
    }
    if (budget.isDeadlocked()) {
      return AppendResult.OUT_OF_MEMORY;
    }
    paused = true;
    channel.config().setAutoRead(false);
    budget.awaitRoom(resume);
    return AppendResult.HELD;
  }

  private void resumeReading() {
    paused = false;
    channel.config().setAutoRead(true);
  }

  /** Returns the held body, or null, and transfers its ownership to the caller. */
  Body takeBody() {
    Body heldBody = body;
    body = null;
    return heldBody;
  }

  /**
   * Returns the complete body, or null, and transfers its ownership to the caller. Stops waiting
   * for memory.
   */
  Body takeComplete() {
    budget.cancelAwait(resume);
    if (paused) {
      resumeReading();
    }
    Body completeBody = takeBody();
    if (completeBody != null) {
      completeBody.onRequestComplete();
    }
    return completeBody;
  }

  /** Frees the held body and stops waiting for memory. */
  void discard() {
    budget.cancelAwait(resume);
    paused = false;
    release(takeBody());
  }

  /** Frees a body unless it is null. */
  static void release(Body body) {
    if (body != null) {
      body.release();
    }
  }
}
