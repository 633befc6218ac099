package leadferry.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.socket.SocketChannel;
import leadferry.engine.Body;
import leadferry.engine.BodyBudget;

/**
 * The body of the present request while it is held whole: bounded by the listener's settings, and
 * by the memory that the process has for bodies. Where that is used up, reading waits for it.
 */
final class RequestBodyBuffer {
  /** What became of a part that was to be appended. */
  enum AppendResult {
    /** It is held; reading may wait for memory. */
    HELD,
    /** The body is longer than this request's may be. */
    TOO_LARGE,
    /** The part is not held: the body has to be forwarded while it comes. */
    MUST_STREAM,
    /** There is no memory, and none to wait for. */
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

  /** Bytes that are held. */
  long heldBytes() {
    return body == null ? 0 : body.size();
  }

  /** Whether reading waits for memory. */
  boolean isPaused() {
    return paused;
  }

  /** Appends part of the body of a request with this head; the bytes stay the caller's. */
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

  /** Hands over what is held, or null; the bytes are the caller's. */
  Body take() {
    Body held = body;
    body = null;
    return held;
  }

  /** The body has come whole: hands it over, and waits for memory no longer. */
  Body takeComplete() {
    budget.cancelAwait(resume);
    if (paused) {
      resumeReading();
    }
    Body whole = take();
    if (whole != null) {
      whole.onRequestComplete();
    }
    return whole;
  }

  /** Frees what is held, and waits for memory no longer. */
  void drop() {
    budget.cancelAwait(resume);
    paused = false;
    free(take());
  }

  /** Frees a body that was handed over, if there is one. */
  static void free(Body body) {
    if (body != null) {
      body.release();
    }
  }
}
